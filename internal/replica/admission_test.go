package replica

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// TestCallsBeyondInFlightLimitAreRefused fills a replica with calls that do not
// end, and then lets them go.
func TestCallsBeyondInFlightLimitAreRefused(t *testing.T) {
	release := make(chan struct{})
	var begun, ended sync.WaitGroup
	bound := newAdmission(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Waits") != "" {
			begun.Done()
			<-release
		}
	}))
	call := func(path string, waits bool) int {
		request := httptest.NewRequest(http.MethodPost, path, nil)
		if waits {
			request.Header.Set("Waits", "1")
		}
		recorder := httptest.NewRecorder()
		bound.ServeHTTP(recorder, request)
		return recorder.Code
	}
	appends, news := replicav1connect.ReplicaServiceAppendProcedure, replicav1connect.ReplicaServiceDirectoryProcedure
	begun.Add(maxInFlight)
	for range maxInFlight {
		ended.Go(func() { call(appends, true) })
	}
	begun.Wait()
	require.Equal(t, http.StatusServiceUnavailable, call(appends, false))
	require.Equal(t, http.StatusOK, call(news, false), "questions for news are not counted")
	close(release)
	ended.Wait()
	require.Equal(t, http.StatusOK, call(appends, false))
	require.Equal(t, int64(1), bound.refused.Load())
}
