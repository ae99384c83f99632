package replica

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// limiterUnderTest is a limiter whose handler blocks calls until release is closed.
type limiterUnderTest struct {
	*inFlightLimiter
	release           chan struct{}
	started, finished sync.WaitGroup
}

func newLimiterUnderTest() *limiterUnderTest {
	under := &limiterUnderTest{release: make(chan struct{})}
	under.inFlightLimiter = newInFlightLimiter(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Waits") != "" {
			under.started.Done()
			<-under.release
		}
	}), quorum.NewRejecter())
	return under
}

// call makes one call and returns its status.
func (l *limiterUnderTest) call(path string, blocks bool) int {
	request := httptest.NewRequest(http.MethodPost, path, nil)
	if blocks {
		request.Header.Set("Waits", "1")
	}
	recorder := httptest.NewRecorder()
	l.ServeHTTP(recorder, request)
	return recorder.Code
}

// occupy makes calls that block.
func (l *limiterUnderTest) occupy(path string, count int) {
	l.started.Add(count)
	for range count {
		l.finished.Go(func() { l.call(path, true) })
	}
	l.started.Wait()
}

const appendPath = replicav1connect.ReplicaServiceAppendProcedure

func TestCallsBeyondInFlightLimitAreRefused(t *testing.T) {
	limiter := newLimiterUnderTest()
	limiter.occupy(appendPath, maxInFlight)
	require.Equal(t, http.StatusTooManyRequests, limiter.call(appendPath, false))
	require.Equal(t, http.StatusOK, limiter.call(replicav1connect.ReplicaServiceDirectoryProcedure, false), "Directory calls are exempt")
	close(limiter.release)
	limiter.finished.Wait()
	require.Equal(t, http.StatusOK, limiter.call(appendPath, false))
	require.Equal(t, int64(1), limiter.refused())
}

func TestRecoveryIsNotRejectedBecauseGatewaysCallTooMuch(t *testing.T) {
	limiter := newLimiterUnderTest()
	limiter.occupy(appendPath, maxInFlight)
	for _, path := range []string{
		replicav1connect.ReplicaServicePullProcedure, replicav1connect.ReplicaServiceAnnounceProcedure, replicav1connect.ReplicaServiceAgreeProcedure,
	} {
		require.Equal(t, http.StatusOK, limiter.call(path, false), path)
	}
	close(limiter.release)
	limiter.finished.Wait()
}

func TestCallsOfMembersAreBoundedToo(t *testing.T) {
	limiter := newLimiterUnderTest()
	limiter.occupy(replicav1connect.ReplicaServicePullProcedure, maxMemberCallsInFlight)
	require.Equal(t, http.StatusTooManyRequests, limiter.call(replicav1connect.ReplicaServicePullProcedure, false))
	require.Equal(t, http.StatusOK, limiter.call(appendPath, false))
	close(limiter.release)
	limiter.finished.Wait()
}
