package replica

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	// maxInFlight is the number of calls for requests of clients that a replica handles at a time. Further
	// calls are rejected before they are read: after a power loss all gateways call at once, and queued
	// calls would use memory without finishing sooner. A replica answers the calls before one that it
	// accepts within quorum.OneRoundLimit.
	maxInFlight = 128
	// maxMemberCallsInFlight is the same for calls by which members recover and learn of each other. They
	// have a bound of their own, because they end the overload.
	maxMemberCallsInFlight = 64
)

// memberProcedures are the calls by which members recover, learn of each other, choose groups and agree
// on what has expired.
var memberProcedures = map[string]bool{
	replicav1connect.ReplicaServicePullProcedure:     true,
	replicav1connect.ReplicaServiceAnnounceProcedure: true,
	replicav1connect.ReplicaServiceAgreeProcedure:    true,
	replicav1connect.ReplicaServiceLastUseProcedure:  true,
}

// inFlightLimiter rejects calls beyond the limit of their kind. Directory calls are exempt because they
// wait for changes by design.
type inFlightLimiter struct {
	next             http.Handler
	rejecter         *quorum.Rejecter
	requests, member callKind
	counts           *callCounts
}

// callKind bounds the calls of one kind.
type callKind struct {
	limit    int64
	inFlight atomic.Int64
	refused  atomic.Int64
}

func newInFlightLimiter(next http.Handler, rejecter *quorum.Rejecter) *inFlightLimiter {
	limiter := &inFlightLimiter{next: next, rejecter: rejecter, counts: newCallCounts()}
	limiter.requests.limit, limiter.member.limit = maxInFlight, maxMemberCallsInFlight
	return limiter
}

// kindOf returns the kind of the call with a path.
func (l *inFlightLimiter) kindOf(path string) *callKind {
	if memberProcedures[path] {
		return &l.member
	}
	return &l.requests
}

// refused returns the number of rejected calls.
func (l *inFlightLimiter) refused() int64 { return l.requests.refused.Load() + l.member.refused.Load() }

// ServeHTTP forwards a call or rejects it.
func (l *inFlightLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == replicav1connect.ReplicaServiceDirectoryProcedure {
		l.next.ServeHTTP(w, r)
		return
	}
	counts, kind := l.counts.of(r.URL.Path), l.kindOf(r.URL.Path)
	defer kind.inFlight.Add(-1)
	if kind.inFlight.Add(1) > kind.limit {
		kind.refused.Add(1)
		counts.rejected.Add(1)
		// If the caller cannot be told, it has gone.
		_ = l.rejecter.Reject(w, r, &quorum.Overloaded{Limit: int(kind.limit)})
		return
	}
	counts.inFlight.Add(1)
	defer counts.finish(time.Now())
	l.next.ServeHTTP(w, r)
}
