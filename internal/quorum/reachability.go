package quorum

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
)

const (
	// probeTimeout limits one probe of a replica that does not answer.
	probeTimeout = 250 * time.Millisecond
	// minProbeInterval and maxProbeInterval limit the time between two probes, which is the
	// duration of the replica's silence divided by probeIntervalDivisor. Probes thus become less
	// frequent during a long outage.
	minProbeInterval     = 25 * time.Millisecond
	maxProbeInterval     = 250 * time.Millisecond
	probeIntervalDivisor = 8
	// probeIdleLimit is how long a replica is probed after a round last needed it.
	probeIdleLimit = 3 * time.Second
	// SilenceTolerance is how long a replica may be silent before requests that need its answer
	// are refused immediately. The sync of a busy disk or the start of a process takes up to this
	// long; no request waits for the end of a longer silence.
	SilenceTolerance = time.Second
)

// reachability tracks replicas that do not answer. Each of them is probed by one goroutine, and
// every round that needs the replica waits for it. If each round polled for itself, it would
// detect recovery later and with many more calls.
type reachability struct {
	now   func() time.Time
	probe func(ctx context.Context, address string) error

	mutex sync.Mutex
	down  map[string]*downMember
	// lastAnswers is when each replica last answered.
	lastAnswers map[string]time.Time
}

// downMember is a replica that does not answer.
type downMember struct {
	since time.Time
	// refusesConnections is set if the last connection was refused: the machine is reachable, but
	// its process does not run.
	refusesConnections bool
	// lastFailure is the error of the last call that was not answered, or nil.
	lastFailure error
	// lastNeeded is when a round last needed the replica.
	lastNeeded time.Time
	// recovered is closed when the replica answers again or no round needs it any more.
	recovered chan struct{}
}

func newReachability(now func() time.Time, probe func(ctx context.Context, address string) error) *reachability {
	return &reachability{now: now, probe: probe, down: make(map[string]*downMember), lastAnswers: make(map[string]time.Time)}
}

// recordFailure records a failed call. An error returned by the replica itself counts as an
// answer.
func (r *reachability) recordFailure(address string, err error) {
	if !isUnanswered(err) {
		r.recordAnswer(address)
		return
	}
	r.markDown(address, err)
}

// markUnresponsive records that a replica does not answer directly although it may be running.
func (r *reachability) markUnresponsive(address string) { r.markDown(address, nil) }

// markDown records that a call was not answered. failure is its error, or nil.
func (r *reachability) markDown(address string, failure error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	member := r.down[address]
	if member == nil {
		now := r.now()
		member = &downMember{since: now, lastNeeded: now, recovered: make(chan struct{})}
		r.down[address] = member
		go r.probeUntilRecovered(address, member)
	}
	member.setFailure(failure)
}

// setFailure records the error of the last call that was not answered. The caller must hold the
// mutex.
func (m *downMember) setFailure(failure error) {
	m.lastFailure, m.refusesConnections = failure, errors.Is(failure, syscall.ECONNREFUSED)
}

// lastFailure returns the error of the last call to a replica that does not answer, or nil.
func (r *reachability) lastFailure(address string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if member := r.down[address]; member != nil {
		return member.lastFailure
	}
	return nil
}

// refusesConnections reports whether a replica's machine refused the last connection.
func (r *reachability) refusesConnections(address string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	member := r.down[address]
	return member != nil && member.refusesConnections
}

// isUnanswered reports whether a call reached no running replica. Other errors are the replica's
// own answers.
func isUnanswered(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeCanceled:
		return err != nil
	}
	return false
}

// recordAnswer records that a replica has answered.
func (r *reachability) recordAnswer(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastAnswers[address] = r.now()
	r.clearDown(address)
}

// anyAnsweredSince reports whether any replica has answered since the given time.
func (r *reachability) anyAnsweredSince(since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, answeredAt := range r.lastAnswers {
		if answeredAt.After(since) {
			return true
		}
	}
	return false
}

// answeredSince reports whether a replica has answered any call since the given time.
func (r *reachability) answeredSince(address string, since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lastAnswers[address].After(since)
}

// clearDown marks a replica as no longer down. The caller must hold the mutex.
func (r *reachability) clearDown(address string) {
	if member := r.down[address]; member != nil {
		delete(r.down, address)
		close(member.recovered)
	}
}

// silentFor returns how long a replica has not answered; 0 means that it answers.
func (r *reachability) silentFor(address string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	member := r.down[address]
	if member == nil {
		return 0
	}
	return r.now().Sub(member.since)
}

// isUnavailable reports whether a replica has been silent for SilenceTolerance or longer. A
// single slow call is enough to mark a replica as down until it answers a probe.
func (r *reachability) isUnavailable(address string) bool {
	return r.silentFor(address) >= SilenceTolerance
}

func (r *reachability) isDown(address string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.down[address] != nil
}

// waitToRetry waits before a replica is called again, for at most maxWait or until the replica
// answers. If its machine refuses connections, the limit is probeIdleLimit. It returns false when
// ctx ends.
func (r *reachability) waitToRetry(ctx context.Context, address string, maxWait time.Duration) bool {
	r.mutex.Lock()
	var recovered <-chan struct{}
	if member := r.down[address]; member != nil {
		member.lastNeeded = r.now()
		recovered = member.recovered
		if member.refusesConnections {
			maxWait = probeIdleLimit
		}
	}
	r.mutex.Unlock()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-recovered:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *reachability) probeUntilRecovered(address string, member *downMember) {
	for {
		time.Sleep(probeInterval(r.now().Sub(member.since)))
		r.mutex.Lock()
		idle := r.now().Sub(member.lastNeeded) > probeIdleLimit
		if idle {
			r.clearDown(address)
		}
		r.mutex.Unlock()
		if idle {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := r.probe(ctx, address)
		cancel()
		if !isUnanswered(err) {
			r.recordAnswer(address)
			return
		}
		r.mutex.Lock()
		member.setFailure(err)
		r.mutex.Unlock()
		select {
		case <-member.recovered:
			return
		default:
		}
	}
}

// probeInterval returns the time between two probes of a replica that has been silent for the
// given time.
func probeInterval(silentFor time.Duration) time.Duration {
	return min(maxProbeInterval, max(minProbeInterval, silentFor/probeIntervalDivisor))
}
