package weights_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/weights"
)

func start(t *testing.T, rate int64) (*emulator.Weights, *weights.Client) {
	t.Helper()
	store := emulator.NewWeights(emulator.WeightsConfig{BytesPerSecond: rate})
	require.NoError(t, store.Start())
	t.Cleanup(store.Close)
	return store, weights.NewClient(store.Address(), &http.Client{Transport: &http.Transport{}})
}

func TestUrgentFetchGoesFirst(t *testing.T) {
	store, client := start(t, 1<<30)
	store.Faults.Stall.Store(true)
	var group sync.WaitGroup
	for _, priority := range []int{2, 0, 1} {
		group.Go(func() {
			fetch := weights.Fetch{Model: "swap-agent", Version: "1", Bytes: 1 << 20, Priority: priority}
			// Failures show in the ledger.
			_ = client.Fetch(context.Background(), fetch)
		})
	}
	for waiting := 0; waiting < 3; {
		load, err := client.Load(t.Context())
		require.NoError(t, err)
		waiting = load.Fetches
		require.LessOrEqual(t, load.QueuedBytes, int64(3<<20))
	}
	store.Faults.Stall.Store(false)
	group.Wait()
	var order []int
	for _, fetch := range store.Ledger() {
		order = append(order, fetch.Priority)
	}
	require.Equal(t, []int{0, 1, 2}, order)
}

func TestFetchThatIsGivenUpLeavesTheQueue(t *testing.T) {
	store, client := start(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := client.Fetch(ctx, weights.Fetch{Model: "swap-agent", Version: "1", Bytes: 1 << 40})
	require.IsType(t, &failure.WeightsUnavailable{}, err)
	for left := 1; left > 0; {
		load, err := client.Load(t.Context())
		require.NoError(t, err)
		left = load.Fetches
	}
	require.Empty(t, store.Ledger())
}

func TestStoreThatIsDownSendsNothing(t *testing.T) {
	store, client := start(t, 1<<30)
	store.Faults.Down.Store(true)
	require.IsType(t, &failure.WeightsUnavailable{}, client.Fetch(t.Context(), weights.Fetch{Bytes: 1}))
	require.IsType(t, &failure.WeightsUnavailable{}, weights.NewClient("http://[", http.DefaultClient).Fetch(t.Context(), weights.Fetch{Bytes: 1}))
}
