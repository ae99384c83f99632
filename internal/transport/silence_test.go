package transport_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
)

const (
	// silentTimeout bounds one call of the tests that follow.
	silentTimeout = 300 * time.Millisecond
	// connectTimeout bounds the calls that open the connections of a test. They wait for each
	// other, so that one that a busy machine holds up holds up all.
	connectTimeout = 10 * time.Second
)

// call makes one call, bounded by silentTimeout.
func call(client *http.Client, address string) error {
	return callWithin(silentTimeout, client, address)
}

func callWithin(timeout time.Duration, client *http.Client, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// connectMany makes so many calls at a time that as many connections are kept.
func connectMany(t *testing.T, client *http.Client, address string, arrived *sync.WaitGroup, count int) {
	arrived.Add(count)
	var calls sync.WaitGroup
	for range count {
		calls.Go(func() {
			if err := callWithin(connectTimeout, client, address); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
}

// TestKeptConnectionsThatFallSilentCostOneCall is about calls between daemons and to the
// platform's store: one that ends without an answer takes the peer's other kept connections
// with it, and the next call opens a new one.
func TestKeptConnectionsThatFallSilentCostOneCall(t *testing.T) {
	options := transport.Options{DialTimeout: time.Second, UserTimeout: time.Second}
	for name, client := range map[string]*http.Client{
		"between daemons": transport.NewPeerClient(options, 16), "to the store": transport.NewHTTPClient(options),
	} {
		t.Run(name, func(t *testing.T) {
			const kept = 6
			var arrived sync.WaitGroup
			var together atomic.Bool
			together.Store(true)
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if together.Load() {
					arrived.Done()
					arrived.Wait()
				}
			}))
			defer server.Close()
			proxy, err := transporttest.NewProxy(strings.TrimPrefix(server.URL, "http://"))
			require.NoError(t, err)
			defer proxy.Close()
			connectMany(t, client, proxy.Address(), &arrived, kept)
			require.Equal(t, kept, proxy.Open())
			together.Store(false)
			proxy.Silence()
			require.ErrorIs(t, call(client, proxy.Address()), context.DeadlineExceeded)
			require.NoError(t, call(client, proxy.Address()), "another silent connection was used")
		})
	}
}

func TestACallThatIsCancelledLeavesOtherConnections(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	proxy, err := transporttest.NewProxy(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer proxy.Close()
	client := transport.NewPeerClient(transport.Options{DialTimeout: time.Second, UserTimeout: time.Second}, 16)
	require.NoError(t, call(client, proxy.Address()))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+proxy.Address(), nil)
	require.NoError(t, err)
	_, err = client.Do(request)
	require.ErrorIs(t, err, context.Canceled)
	require.NoError(t, call(client, proxy.Address()))
	require.Equal(t, 1, proxy.Open())
}
