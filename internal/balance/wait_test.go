package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAWaitIsUsualUntilItIsFarBeyondThoseSeen(t *testing.T) {
	const least = 300 * time.Millisecond
	waits := NewWaits()
	require.Equal(t, least, waits.Limit("s", least))
	for range 50 {
		waits.Observe("s", 20*time.Millisecond)
	}
	require.Equal(t, least, waits.Limit("s", least))
	for range 50 {
		waits.Observe("s", 500*time.Millisecond)
		waits.Observe("s", 900*time.Millisecond)
	}
	require.Greater(t, waits.Limit("s", least), 1500*time.Millisecond, "it grows when all wait longer")
	require.Equal(t, least, waits.Limit("other", least))
}

func TestOneSilentWorkerDoesNotChangeWhatIsUsualMuch(t *testing.T) {
	const least = 100 * time.Millisecond
	waits := NewWaits()
	for i := range 200 {
		took := 20 * time.Millisecond
		if i%30 == 0 {
			took = waits.Limit("s", least)
		}
		waits.Observe("s", took)
		require.Less(t, waits.Limit("s", least), time.Second)
	}
}
