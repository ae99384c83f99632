package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/requestkey"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

const (
	// maxSpreadDelay bounds how long a failure waits until the other gateways know that workers ended
	// under the request. The client may repeat the request at any of them at once.
	maxSpreadDelay = 300 * time.Millisecond
	// maxSpreadDelayOverdue is the same bound after the deadline of the request.
	maxSpreadDelayOverdue = 100 * time.Millisecond
	// firstQuarantineWait is how long a gateway that knows where replicas are holds requests until one has
	// told it which requests have ended workers.
	firstQuarantineWait = 500 * time.Millisecond
	// quarantineUpdateTimeout is the time without an answer of any replica after which this gateway may
	// lack the ends recorded by others. Replicas answer each poll within a second.
	quarantineUpdateTimeout = 2 * time.Second
)

// quarantineState is what a request knows of the workers that ended under it.
type quarantineState struct {
	// clientBody is the body as the client sent it.
	clientBody []byte
	// key is the key of the request's content; valid if hasKey is set.
	key    requestkey.Key
	hasKey bool
	// before is the count as the first attempt began; valid if begun is set.
	before quarantine.Record
	begun  bool
	// isolated is set if this gateway might not have known, as the first attempt began, which workers
	// had ended before.
	isolated bool
	// sequential is set if no other request can have the same content at the same time.
	sequential bool

	mutex sync.Mutex
	lost  []*lostAttempt
	// spread is closed when the other gateways know of the ends recorded last; nil if there are none.
	spread <-chan struct{}
	ends   int
	// endedAt is when the end of a worker was recorded last, by the worker's ID.
	endedAt map[string]time.Time
}

// lostAttempt is an attempt whose connection was lost.
type lostAttempt struct {
	// worker is the ID of the attempt's worker, and dialedAt when opening the attempt's connection began.
	worker   string
	dialedAt time.Time
	// examined is closed once the verdict is set.
	examined chan struct{}
	verdict  quarantine.Verdict
}

// contentKey returns the key of the request's content.
func (r *request) contentKey() requestkey.Key {
	state := &r.quarantine
	if !state.hasKey {
		content := requestkey.Content{
			Tenant: r.tenantName(), Method: r.incoming.Method, Host: r.incoming.Host, Target: r.incoming.RequestURI,
			Program: r.metadata.Program, Session: r.metadata.Session, PreviousTurn: r.metadata.PreviousTurnID, Body: state.clientBody,
		}
		for _, part := range r.metadata.Prompt {
			content.Prompt = append(content.Prompt, part.ID)
		}
		state.key, state.hasKey = requestkey.Of(directory.SystemOf(r.gateway.directory.Groups()), content), true
	}
	return state.key
}

// checkQuarantine fails if the request may not be sent to a worker any more, because too many have ended
// under it. It waits for the evidence on lost attempts if the decision depends on it.
func (r *request) checkQuarantine(ctx context.Context) error {
	if r.gateway.disabled(mechanism.Quarantine) {
		return nil
	}
	for {
		situation, pending := r.quarantineSituation()
		switch quarantine.Decide(situation) {
		case quarantine.Refuse:
			return &Quarantined{Ends: situation.Ends, Uncertain: situation.Uncertain, Isolated: situation.Isolated}
		case quarantine.Send:
			return nil
		}
		select {
		case <-pending.examined:
		case <-ctx.Done():
			return r.contextError(ctx)
		}
	}
}

// quarantineSituation returns what is known about the request, and one of the lost attempts that are
// still being examined.
func (r *request) quarantineSituation() (situation quarantine.Situation, pending *lostAttempt) {
	state := &r.quarantine
	if r.gateway.quarantine.Len() > 0 {
		situation.Ends = r.gateway.quarantine.Lookup(r.contentKey()).Total()
	}
	situation.Isolated = r.gateway.lacksQuarantineUpdates()
	situation.Pending, situation.Uncertain, pending = state.countLost()
	return situation, pending
}

// countLost returns how many workers are still being examined, of how many no evidence says whether they
// have ended, and one of the attempts that are still being examined. Several attempts at one worker count
// once, and none if it has ended or was alive after one of them.
func (s *quarantineState) countLost() (pending, uncertain int, awaited *lostAttempt) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.lost) == 0 {
		return 0, 0, nil
	}
	examining, unknown, alive := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, each := range s.lost {
		if s.endIsRecorded(each) {
			continue
		}
		select {
		case <-each.examined:
			unknown[each.worker] = unknown[each.worker] || each.verdict == quarantine.Unknown
			alive[each.worker] = alive[each.worker] || each.verdict == quarantine.Alive
		default:
			examining[each.worker] = true
			awaited = each
		}
	}
	for worker, isUnknown := range unknown {
		if isUnknown && !alive[worker] && !examining[worker] {
			uncertain++
		}
	}
	return len(examining), uncertain, awaited
}

// awaitFirstQuarantineUpdate holds a request at a gateway that has just started, for a limited time, until a
// replica has answered. A gateway that knows of no replica holds nothing.
func (r *request) awaitFirstQuarantineUpdate(ctx context.Context) {
	knowsReplicas := len(r.gateway.options.Seeds) > 0 || len(r.gateway.directory.Groups()) > 0
	if !knowsReplicas {
		return
	}
	select {
	case <-r.gateway.poller.FirstQuarantineAnswer():
		return
	default:
	}
	now := time.Now()
	r.gateway.replicasKnownAt.CompareAndSwap(nil, &now)
	remaining := firstQuarantineWait - now.Sub(*r.gateway.replicasKnownAt.Load())
	if remaining <= 0 {
		return
	}
	defer r.startWait(waitForState)()
	timeout := time.NewTimer(remaining)
	defer timeout.Stop()
	select {
	case <-r.gateway.poller.FirstQuarantineAnswer():
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// endIsRecorded reports whether the end of the process that got an attempt is recorded already. A process
// that ends may reset one connection, accept another one and reset that too, or leave one that this process
// keeps for later. A connection that was dialed after the end was recorded leads to a new process. The
// mutex must be held.
func (s *quarantineState) endIsRecorded(lost *lostAttempt) bool {
	return lost.dialedAt.Before(s.endedAt[lost.worker])
}

// lacksQuarantineUpdates reports whether this gateway may not know of workers that ended at others.
func (g *Gateway) lacksQuarantineUpdates() bool {
	return !g.poller.QuarantineAnsweredWithin(quarantineUpdateTimeout)
}

// beginQuarantineCount notes the count as it is before the first attempt of the request.
func (r *request) beginQuarantineCount() {
	state := &r.quarantine
	if state.begun {
		return
	}
	state.begun, state.isolated = true, r.gateway.lacksQuarantineUpdates()
	// The turns of one line of a program follow one another.
	state.sequential = r.route.Kind == route.Streaming && r.metadata.Program != ""
	if r.gateway.quarantine.Len() > 0 {
		state.before = r.gateway.quarantine.Lookup(r.contentKey())
	}
}

// awaitQuarantineSpread waits, for a limited time, until the other gateways know which workers have
// ended under the request. It is called before the client learns that the request has failed.
func (r *request) awaitQuarantineSpread() {
	state := &r.quarantine
	state.mutex.Lock()
	lost := state.lost
	state.mutex.Unlock()
	if len(lost) == 0 {
		return
	}
	limit := maxSpreadDelay
	if time.Now().After(r.deadline) {
		limit = maxSpreadDelayOverdue
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for _, each := range lost {
		select {
		case <-each.examined:
		case <-timeout.C:
			return
		}
	}
	state.mutex.Lock()
	spread := state.spread
	state.mutex.Unlock()
	if spread == nil {
		return
	}
	select {
	case <-spread:
	case <-timeout.C:
	}
}

// clearQuarantine starts the count of the request's content again after a worker has run all of it
// without any end: the ends under the same content had other causes.
func (r *request) clearQuarantine() {
	if r.gateway.quarantine.Len() == 0 || len(r.quarantine.lost) > 0 || r.metadata.LastEventID != "" {
		return
	}
	if record, cleared := r.gateway.quarantine.Clear(r.contentKey()); cleared {
		r.addLogEntry(eventQuarantineCleared, "key", record.Key.String(), "generation", record.Generation)
		r.gateway.poller.SpreadQuarantine()
	}
}

// Quarantined reports a request that no worker gets any more because too many have ended under it.
type Quarantined struct {
	// Ends is how many workers have ended under the request, at all gateways.
	Ends int
	// Uncertain is how many more may have ended at this gateway.
	Uncertain int
	// Isolated is set if this gateway does not learn of ends at other gateways.
	Isolated bool
}

func (e *Quarantined) Error() string {
	message := fmt.Sprintf("%d workers ended while they ran this request; it is not sent to another one", e.Ends)
	if e.Uncertain > 0 {
		message += fmt.Sprintf(" (of %d more it is not known whether they ended)", e.Uncertain)
	}
	if e.Isolated {
		message += " (no replica answers this gateway)"
	}
	return message
}

// Type returns "request_ends_workers".
func (e *Quarantined) Type() failure.Type { return "request_ends_workers" }

// Outcome returns Ran: the workers that ended had begun to run the request.
func (e *Quarantined) Outcome() failure.Outcome { return failure.Ran }

// Retry forbids a retry.
func (e *Quarantined) Retry() failure.Retry { return failure.Retry{} }
