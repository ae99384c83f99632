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
	// probeTimeout bounds one probe of a replica that does not answer.
	probeTimeout = 250 * time.Millisecond
	// firstProbePause and lastProbePause bound the time between two probes. It is
	// probeShare of the time that the replica has not answered for, so that probes
	// do not grow with the length of an outage.
	firstProbePause = 25 * time.Millisecond
	lastProbePause  = 250 * time.Millisecond
	probeShare      = 8
	// probeInterest is how long a replica is probed after a round last asked it.
	probeInterest = 3 * time.Second
	// SilenceTolerance is for how long a replica may be silent before what needs its word is refused
	// at once: as long as the sync of a busy disk or the start of a process takes. A longer
	// silence is one that no request waits out.
	SilenceTolerance = time.Second
)

// reach knows which replicas do not answer. Each of them is probed by one
// goroutine, and every round that needs it waits for that one: rounds that poll
// each for itself would find the replica later, and with many more calls.
type reach struct {
	now   func() time.Time
	probe func(ctx context.Context, address string) error

	mutex sync.Mutex
	down  map[string]*downMember
	// answers are when each replica answered last.
	answers map[string]time.Time
}

// downMember is a replica that does not answer.
type downMember struct {
	since time.Time
	// refuses is set if the last call was refused: the machine is reached, and its
	// process does not run.
	refuses bool
	// asked is when a round last needed the replica.
	asked time.Time
	// back is closed when the replica answers again, or nobody asks any more.
	back chan struct{}
}

func newReach(now func() time.Time, probe func(ctx context.Context, address string) error) *reach {
	return &reach{now: now, probe: probe, down: make(map[string]*downMember), answers: make(map[string]time.Time)}
}

// failed notes a call without an answer. A refusal by the replica itself is an
// answer.
func (r *reach) failed(address string, err error) {
	if !unanswered(err) {
		r.answered(address)
		return
	}
	r.mark(address, errors.Is(err, syscall.ECONNREFUSED))
}

// silent notes that a replica does not answer directly although it works.
func (r *reach) silent(address string) { r.mark(address, false) }

func (r *reach) mark(address string, refuses bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if member := r.down[address]; member != nil {
		member.refuses = refuses
		return
	}
	now := r.now()
	member := &downMember{since: now, asked: now, refuses: refuses, back: make(chan struct{})}
	r.down[address] = member
	go r.probeUntilBack(address, member)
}

// refuses reports whether a replica's machine refused the last call.
func (r *reach) refuses(address string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	member := r.down[address]
	return member != nil && member.refuses
}

// unanswered reports whether a call met no replica that works; other errors are a
// replica's own answer.
func unanswered(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeCanceled:
		return err != nil
	}
	return false
}

// answered notes an answer.
func (r *reach) answered(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.answers[address] = r.now()
	r.clear(address)
}

// anyAnsweredSince reports whether any replica has answered since a moment.
func (r *reach) anyAnsweredSince(moment time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, at := range r.answers {
		if at.After(moment) {
			return true
		}
	}
	return false
}

// answeredSince reports whether a replica has answered any call since a moment.
func (r *reach) answeredSince(address string, moment time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.answers[address].After(moment)
}

// clear ends the time in which a replica does not answer. The mutex is held.
func (r *reach) clear(address string) {
	if member := r.down[address]; member != nil {
		delete(r.down, address)
		close(member.back)
	}
}

// silentFor returns for how long a replica has not answered; 0 is that it answers.
func (r *reach) silentFor(address string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	member := r.down[address]
	if member == nil {
		return 0
	}
	return r.now().Sub(member.since)
}

// isAway reports whether a replica has been silent for longer than a moment. One call that takes
// longer than usual makes it silent until it answers a probe.
func (r *reach) isAway(address string) bool { return r.silentFor(address) >= SilenceTolerance }

func (r *reach) isDown(address string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.down[address] != nil
}

// pause waits before a replica is called again: until it answers, if its machine
// refuses calls, else for the time given at most. It returns false when ctx ends.
func (r *reach) pause(ctx context.Context, address string, wait time.Duration) bool {
	r.mutex.Lock()
	var back <-chan struct{}
	if member := r.down[address]; member != nil {
		member.asked = r.now()
		back = member.back
		if member.refuses {
			wait = probeInterest
		}
	}
	r.mutex.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-back:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *reach) probeUntilBack(address string, member *downMember) {
	for {
		time.Sleep(probePause(r.now().Sub(member.since)))
		r.mutex.Lock()
		idle := r.now().Sub(member.asked) > probeInterest
		if idle {
			r.clear(address)
		}
		r.mutex.Unlock()
		if idle {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := r.probe(ctx, address)
		cancel()
		if !unanswered(err) {
			r.answered(address)
			return
		}
		r.mutex.Lock()
		member.refuses = errors.Is(err, syscall.ECONNREFUSED)
		r.mutex.Unlock()
		select {
		case <-member.back:
			return
		default:
		}
	}
}

// probePause returns the time between two probes of a replica that has not
// answered for the given time.
func probePause(silent time.Duration) time.Duration {
	return min(lastProbePause, max(firstProbePause, silent/probeShare))
}
