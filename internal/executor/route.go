package executor

import (
	"context"
	"errors"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// maxHops limits how often a request is forwarded: to a member of the shard's
	// group, and from there to the leader.
	maxHops = 2
	// routeTimeout limits the search for a leader that answers. Time during which the
	// answer makes progress does not count.
	routeTimeout  = 8 * time.Second
	minRouteDelay = 20 * time.Millisecond
	// acknowledgeTimeout is how long to wait for a daemon to acknowledge a forwarded
	// request. A daemon that does not may be frozen; the request is then sent to
	// another member, which finds the leader.
	acknowledgeTimeout = 400 * time.Millisecond
	maxRouteDelay      = 250 * time.Millisecond
)

// replySink receives the reply of the leader: a body, or the parts of an answer.
type replySink struct {
	onBody func([]byte) error
	// parts is nil for operations that return no answer.
	parts *cursorSink
}

// execute executes an operation at the leader of its shard, and retries while the
// leader changes. The error is a failure.Failure, or the error of the reader itself.
func (e *Executor) execute(ctx context.Context, op operation, sink replySink) error {
	shard, err := op.program.Shard()
	if err != nil {
		return &failure.UnknownProgram{Program: string(op.program)}
	}
	search := newLeaderSearch(shard)
	for {
		err := e.executeOnce(ctx, shard, op, sink, 0, search.avoidedNodes)
		if !search.awaitRetry(ctx, err, sink) {
			return search.finalError(err)
		}
	}
}

// executeOnce executes the operation locally if this daemon leads the shard, and
// forwards it otherwise.
func (e *Executor) executeOnce(ctx context.Context, shard structs.ShardID, op operation, sink replySink, hops uint32, avoidedNodes map[structs.NodeID]bool) error {
	target, err := e.locateTarget(ctx, shard, hops, avoidedNodes)
	if err != nil {
		return err
	}
	if target == e.options.Self.ID {
		return e.executeLocally(ctx, shard, op, sink)
	}
	err = e.forward(ctx, target, op.forwardRequest(hops+1, sink), sink)
	if err != nil && isPeerUnreachable(err) {
		avoidedNodes[target] = true
	}
	return err
}

// forward runs the request at target. It cancels the request if target does not
// acknowledge it within acknowledgeTimeout, or is suspected later.
func (e *Executor) forward(ctx context.Context, target structs.NodeID, request *peerv1.ForwardRequest, sink replySink) error {
	ctx, done := e.forwardTracker.track(ctx, target)
	defer done()
	acknowledgeTimer := time.AfterFunc(acknowledgeTimeout, done)
	defer acknowledgeTimer.Stop()
	return e.options.Forwarder.Forward(ctx, target, request, func(event *peerv1.ForwardEvent) error {
		acknowledgeTimer.Stop()
		return sink.receive(event)
	})
}

// locateTarget returns the node to send a request to: the leader if this daemon has a
// replica, and otherwise a member of the group.
func (e *Executor) locateTarget(ctx context.Context, shard structs.ShardID, hops uint32, avoidedNodes map[structs.NodeID]bool) (structs.NodeID, error) {
	if status, hasReplica := e.options.Replicator.Status(shard); hasReplica && !status.Removed {
		leader, err := e.options.Replicator.EnsureLeader(ctx, shard)
		if err != nil {
			return "", err
		}
		if leader != e.options.Self.ID && hops >= maxHops {
			return "", &failure.NotLeader{Shard: uint32(shard), Leader: string(leader)}
		}
		return leader, nil
	}
	if hops >= maxHops {
		return "", &failure.NotLeader{Shard: uint32(shard)}
	}
	for _, node := range e.options.Directory.Members(shard) {
		if node != e.options.Self.ID && !avoidedNodes[node] {
			return node, nil
		}
	}
	clear(avoidedNodes)
	return "", &failure.ShardUnavailable{Shard: uint32(shard)}
}

// leaderSearch is the state of the search for a leader that executes one request.
type leaderSearch struct {
	shard        structs.ShardID
	avoidedNodes map[structs.NodeID]bool
	nextDelay    time.Duration
	// deadline is extended whenever the reader makes progress.
	deadline   time.Time
	lastOffset uint64
	// mayHaveRun is set once an attempt may have taken effect.
	mayHaveRun bool
}

func newLeaderSearch(shard structs.ShardID) *leaderSearch {
	return &leaderSearch{
		shard:        shard,
		avoidedNodes: map[structs.NodeID]bool{},
		nextDelay:    minRouteDelay,
		deadline:     time.Now().Add(routeTimeout),
	}
}

// awaitRetry reports whether the operation should be retried after err, after waiting
// for the retry delay.
func (s *leaderSearch) awaitRetry(ctx context.Context, err error, sink replySink) bool {
	if err == nil || ctx.Err() != nil || sink.readerFailed() || !isRetriable(err) {
		return false
	}
	if classified, ok := failure.As(err); ok && classified.Outcome() == failure.OutcomeUnknown {
		s.mayHaveRun = true
	}
	s.extendOnProgress(sink)
	if time.Now().After(s.deadline) {
		return false
	}
	timer := time.NewTimer(s.nextDelay)
	defer timer.Stop()
	s.nextDelay = min(2*s.nextDelay, maxRouteDelay)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *leaderSearch) extendOnProgress(sink replySink) {
	if sink.parts == nil || sink.parts.cursor.Offset == s.lastOffset {
		return
	}
	s.lastOffset = sink.parts.cursor.Offset
	s.deadline = time.Now().Add(routeTimeout)
	s.nextDelay = minRouteDelay
}

// finalError returns the error for the caller. If an attempt may have taken effect,
// the outcome is reported as unknown and not as not run.
func (s *leaderSearch) finalError(err error) error {
	if err == nil || !isRetriable(err) {
		return err
	}
	if s.mayHaveRun || failure.Classify(err).Outcome() == failure.OutcomeUnknown {
		return &failure.ProposalUnknown{Shard: uint32(s.shard)}
	}
	return &failure.ShardUnavailable{Shard: uint32(s.shard)}
}

// isRetriable reports whether another attempt may find a leader that executes the
// operation.
func isRetriable(err error) bool {
	classified, ok := failure.As(err)
	if !ok {
		return false
	}
	switch classified.Type() {
	case (&failure.NotLeader{}).Type(),
		(&failure.ShardUnavailable{}).Type(),
		(&failure.ProposalUnknown{}).Type(),
		(&failure.DiskFailed{}).Type(),
		peerUnreachableType:
		return true
	}
	return false
}

func isPeerUnreachable(err error) bool {
	return failure.IsType(err, peerUnreachableType)
}

func (s replySink) readerFailed() bool {
	return s.parts != nil && s.parts.readerError != nil
}

// isReaderError reports whether err is the error of the reader itself.
func isReaderError(err error, sink replySink) bool {
	return sink.readerFailed() && errors.Is(err, sink.parts.readerError)
}
