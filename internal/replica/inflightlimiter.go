package replica

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// maxInFlight is the number of calls that a replica handles at a time. Further calls are rejected
// before they are read: after a power loss all gateways call at once, and queued calls would use
// memory without finishing sooner.
const maxInFlight = 256

// inFlightLimiter rejects calls beyond maxInFlight. Directory calls are exempt because they wait
// for changes by design.
type inFlightLimiter struct {
	next     http.Handler
	inFlight atomic.Int64
	refused  atomic.Int64
	counts   *callCounts
}

func newInFlightLimiter(next http.Handler) *inFlightLimiter {
	return &inFlightLimiter{next: next, counts: newCallCounts()}
}

// ServeHTTP forwards a call or rejects it with status 503.
func (l *inFlightLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == replicav1connect.ReplicaServiceDirectoryProcedure {
		l.next.ServeHTTP(w, r)
		return
	}
	counts := l.counts.of(r.URL.Path)
	defer l.inFlight.Add(-1)
	if l.inFlight.Add(1) > maxInFlight {
		l.refused.Add(1)
		counts.rejected.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	counts.inFlight.Add(1)
	defer counts.finish(time.Now())
	l.next.ServeHTTP(w, r)
}
