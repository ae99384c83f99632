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
	// maxHops bounds how often a request is forwarded: once to a member of the
	// shard's group and once more from there to the leader.
	maxHops = 2
	// routeTimeout bounds the search for a leader that answers. Time spent in
	// an answer that is being sent does not count.
	routeTimeout = 8 * time.Second
	routeDelay   = 20 * time.Millisecond
	// acknowledgeTimeout is how soon a daemon says that it has a forwarded
	// request. One that does not may be frozen; the member asked next finds out.
	acknowledgeTimeout = 400 * time.Millisecond
	maxDelay           = 250 * time.Millisecond
)

// replySink takes what the leader sends back: a body, or parts of an answer.
type replySink struct {
	body func([]byte) error
	// parts is nil for operations without an answer.
	parts *cursorSink
}

// run carries an operation out at the leader of its shard, wherever that is,
// and tries again while the leader changes. The error is a failure.Failure, or
// the reader's own error.
func (e *Executor) run(ctx context.Context, op operation, sink replySink) error {
	shard, err := op.program.Shard()
	if err != nil {
		return &failure.UnknownProgram{Program: string(op.program)}
	}
	search := newSearch(shard)
	for {
		err := e.attempt(ctx, shard, op, sink, 0, search.excluded)
		if !search.again(ctx, err, sink) {
			return search.verdict(err)
		}
	}
}

// attempt carries the operation out here when this daemon leads the shard, and
// forwards it otherwise.
func (e *Executor) attempt(ctx context.Context, shard structs.ShardID, op operation, sink replySink, hops uint32, avoid map[structs.NodeID]bool) error {
	target, err := e.locate(ctx, shard, hops, avoid)
	if err != nil {
		return err
	}
	if target == e.options.Self.ID {
		return e.local(ctx, shard, op, sink)
	}
	err = e.forward(ctx, target, op.wire(hops+1, sink), sink)
	if err != nil && unreachable(err) {
		avoid[target] = true
	}
	return err
}

// forward runs the request at target. It is given up when target does not
// acknowledge it soon, or is suspected later.
func (e *Executor) forward(ctx context.Context, target structs.NodeID, request *peerv1.ForwardRequest, sink replySink) error {
	ctx, done := e.forwards.begin(ctx, target)
	defer done()
	unacknowledged := time.AfterFunc(acknowledgeTimeout, done)
	defer unacknowledged.Stop()
	return e.options.Forwarder.Forward(ctx, target, request, func(event *peerv1.ForwardEvent) error {
		unacknowledged.Stop()
		return sink.receive(event)
	})
}

// locate returns the node to ask: the leader where this daemon holds a replica,
// else a member of the group.
func (e *Executor) locate(ctx context.Context, shard structs.ShardID, hops uint32, avoid map[structs.NodeID]bool) (structs.NodeID, error) {
	if status, held := e.options.Replicator.Status(shard); held && !status.Removed {
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
		if node != e.options.Self.ID && !avoid[node] {
			return node, nil
		}
	}
	clear(avoid)
	return "", &failure.ShardUnavailable{Shard: uint32(shard)}
}

// search is the state of one request's search for a leader.
type search struct {
	shard    structs.ShardID
	excluded map[structs.NodeID]bool
	delay    time.Duration
	// deadline moves on whenever the reader made progress.
	deadline time.Time
	progress uint64
	// unknown is set once an attempt may have taken effect.
	unknown bool
}

func newSearch(shard structs.ShardID) *search {
	return &search{
		shard:    shard,
		excluded: map[structs.NodeID]bool{},
		delay:    routeDelay,
		deadline: time.Now().Add(routeTimeout),
	}
}

// again reports whether the operation is worth another attempt after err, and
// waits before it.
func (s *search) again(ctx context.Context, err error, sink replySink) bool {
	if err == nil || ctx.Err() != nil || sink.gone() || !searchable(err) {
		return false
	}
	if known, ok := failure.As(err); ok && known.Outcome() == failure.OutcomeUnknown {
		s.unknown = true
	}
	s.noteProgress(sink)
	if time.Now().After(s.deadline) {
		return false
	}
	timer := time.NewTimer(s.delay)
	defer timer.Stop()
	s.delay = min(2*s.delay, maxDelay)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *search) noteProgress(sink replySink) {
	if sink.parts == nil || sink.parts.cursor.Offset == s.progress {
		return
	}
	s.progress = sink.parts.cursor.Offset
	s.deadline = time.Now().Add(routeTimeout)
	s.delay = routeDelay
}

// verdict is what the caller is told. A search in which an attempt may have
// taken effect does not end as not run.
func (s *search) verdict(err error) error {
	if err == nil || !searchable(err) {
		return err
	}
	if s.unknown || failure.Classify(err).Outcome() == failure.OutcomeUnknown {
		return &failure.ProposalUnknown{Shard: uint32(s.shard)}
	}
	return &failure.ShardUnavailable{Shard: uint32(s.shard)}
}

// searchable reports whether another attempt may find a leader that answers.
func searchable(err error) bool {
	known, ok := failure.As(err)
	if !ok {
		return false
	}
	switch known.Type() {
	case (&failure.NotLeader{}).Type(),
		(&failure.ShardUnavailable{}).Type(),
		(&failure.ProposalUnknown{}).Type(),
		(&failure.DiskFailed{}).Type(),
		peerUnreachableType:
		return true
	}
	return false
}

func unreachable(err error) bool {
	return failure.IsType(err, peerUnreachableType)
}

func (s replySink) gone() bool {
	return s.parts != nil && s.parts.failed != nil
}

// readerGone reports whether err is the reader's own error.
func readerGone(err error, sink replySink) bool {
	return sink.gone() && errors.Is(err, sink.parts.failed)
}
