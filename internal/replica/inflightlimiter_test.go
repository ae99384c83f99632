package replica

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// Occupies the limit with calls that block, and then releases them.
func TestCallsBeyondInFlightLimitAreRefused(t *testing.T) {
	release := make(chan struct{})
	var started, finished sync.WaitGroup
	limiter := newInFlightLimiter(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Waits") != "" {
			started.Done()
			<-release
		}
	}))
	call := func(path string, blocks bool) int {
		request := httptest.NewRequest(http.MethodPost, path, nil)
		if blocks {
			request.Header.Set("Waits", "1")
		}
		recorder := httptest.NewRecorder()
		limiter.ServeHTTP(recorder, request)
		return recorder.Code
	}
	appendPath, directoryPath := replicav1connect.ReplicaServiceAppendProcedure, replicav1connect.ReplicaServiceDirectoryProcedure
	started.Add(maxInFlight)
	for range maxInFlight {
		finished.Go(func() { call(appendPath, true) })
	}
	started.Wait()
	require.Equal(t, http.StatusServiceUnavailable, call(appendPath, false))
	require.Equal(t, http.StatusOK, call(directoryPath, false), "Directory calls are exempt")
	close(release)
	finished.Wait()
	require.Equal(t, http.StatusOK, call(appendPath, false))
	require.Equal(t, int64(1), limiter.refused.Load())
}
