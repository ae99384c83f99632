package replica

import (
	"net/http"
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// maxInFlight is how many calls a replica works on at a time. More are refused
// before they are read: after a loss of power all gateways call at once, and what
// waits takes memory without getting done sooner.
const maxInFlight = 256

// admission refuses calls beyond maxInFlight. Questions for news wait by design
// and are left out.
type admission struct {
	next     http.Handler
	inFlight atomic.Int64
	refused  atomic.Int64
}

func newAdmission(next http.Handler) *admission { return &admission{next: next} }

// ServeHTTP passes a call on or refuses it.
func (a *admission) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == replicav1connect.ReplicaServiceDirectoryProcedure {
		a.next.ServeHTTP(w, r)
		return
	}
	defer a.inFlight.Add(-1)
	if a.inFlight.Add(1) > maxInFlight {
		a.refused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.next.ServeHTTP(w, r)
}
