package transporttest

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// refusalTimeout is how long calls may take to be refused, and to end.
const refusalTimeout = 20 * time.Second

// ServePausing starts a listener that answers each request with a number of spaces and then pauses until the caller
// closes. It returns the base URL.
func ServePausing(t testing.TB, contentType string, length int) (baseURL string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		// The end of the connection is noticed once the body was read.
		_, _ = io.Copy(io.Discard, request.Body)
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, strings.Repeat(" ", length))
		_ = http.NewResponseController(w).Flush()
		<-request.Context().Done()
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// RequireMaxHeld makes calls at once, each for an answer of ServePausing, and requires that all but most of them
// fail. It then ends the others by their context.
func RequireMaxHeld(t testing.TB, calls, most int, call func(ctx context.Context) error) {
	ctx, endCalls := context.WithCancel(t.Context())
	defer endCalls()
	var ended, refused atomic.Int32
	for range calls {
		go func() {
			defer ended.Add(1)
			if err := call(ctx); err != nil && ctx.Err() == nil {
				refused.Add(1)
			}
		}()
	}
	require.Eventually(t, func() bool { return int(refused.Load()) >= calls-most }, refusalTimeout, time.Millisecond)
	endCalls()
	require.Eventually(t, func() bool { return int(ended.Load()) == calls }, refusalTimeout, time.Millisecond)
}
