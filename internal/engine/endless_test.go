package engine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

const (
	okHead     = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	endlessFor = 5 * time.Second
)

// Guards against bytes of an engine without end that fill a daemon's memory.
func TestBytesOfAnEngineWithoutEndAreNotTakenIn(t *testing.T) {
	calls := map[string]struct {
		beginning, part string
		bound           int64
		call            func(client *engine.Client, address string) error
	}{
		"stream": {okHead, "x", transport.MaxLineBytes, func(client *engine.Client, address string) error {
			stream, err := client.Resume(t.Context(), address, "id", 0)
			require.NoError(t, err)
			defer stream.Close()
			_, err = stream.Next()
			var broken *failure.StreamBroken
			require.ErrorAs(t, err, &broken)
			return err
		}},
		"load reports": {okHead, "x", transport.MaxLineBytes, func(client *engine.Client, address string) error {
			watch, err := client.WatchStatus(t.Context(), address, time.Second)
			require.NoError(t, err)
			defer watch.Close()
			_, err = watch.Next()
			return err
		}},
		"answer": {okHead, " ", transport.MaxResponseBytes, func(client *engine.Client, address string) error {
			_, err := client.Status(t.Context(), address)
			return err
		}},
	}
	for name, each := range calls {
		t.Run(name, func(t *testing.T) {
			address := transporttest.ServeEndlessly(t, each.beginning, each.part)
			var reads transporttest.CountedReads
			began := time.Now()
			require.Error(t, each.call(engine.NewClient(reads.NewClient()), address))
			require.Less(t, time.Since(began), endlessFor)
			require.Less(t, reads.Max(), transporttest.MaxRead(each.bound))
		})
	}
}
