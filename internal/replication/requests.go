package replication

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Propose appends data to the shard's log and returns nil once it is committed
// and applied here. The error is a *failure.NotLeader, *failure.ShardUnavailable,
// *failure.Overloaded or *failure.DiskFailed if data will never be committed,
// and a *failure.ProposalUnknown if it may be.
func (h *Host) Propose(ctx context.Context, id structs.ShardID, data []byte) error {
	s, exists := h.shard(id)
	if !exists {
		return h.noReplicaError(id)
	}
	w := newWaiter()
	s.worker.enqueue(&proposeItem{shard: s, data: encodeFrame(data), waiter: w})
	return w.await(ctx, h, id)
}

// ProposeInTerm is Propose for data that depends on the state in one term of
// this daemon's leadership. In any other term it appends nothing, because
// records of another leader may have changed that state. The error is then a
// *failure.NotLeader.
func (h *Host) ProposeInTerm(ctx context.Context, id structs.ShardID, term uint64, data []byte) error {
	s, exists := h.shard(id)
	if !exists {
		return h.noReplicaError(id)
	}
	w := newWaiter()
	s.worker.enqueue(&proposeItem{shard: s, term: term, data: encodeFrame(data), waiter: w})
	return w.await(ctx, h, id)
}

// ConfirmLeadership returns nil if a majority confirmed after the call that
// this daemon leads the shard. All entries committed before the call are then
// applied here.
func (h *Host) ConfirmLeadership(ctx context.Context, id structs.ShardID) error {
	s, exists := h.shard(id)
	if !exists {
		return h.noReplicaError(id)
	}
	w := newWaiter()
	s.worker.enqueue(&confirmLeadershipItem{shard: s, waiter: w})
	if err := w.await(ctx, h, id); err != nil {
		if failure.IsType(err, (&failure.ProposalUnknown{}).Type()) {
			return &failure.ShardUnavailable{Shard: uint32(id)}
		}
		return err
	}
	return nil
}

// EnsureLeader returns the leader of the shard: this node once it is ready to
// serve, or a node that answered as leader. It campaigns if no leader is known,
// or if the leader is suspected or does not answer. The error is a
// *failure.ShardUnavailable, or a *failure.NotLeader if this daemon is not a
// voter.
func (h *Host) EnsureLeader(ctx context.Context, id structs.ShardID) (structs.NodeID, error) {
	s, exists := h.shard(id)
	if !exists {
		return "", h.noReplicaError(id)
	}
	w := newWaiter()
	s.worker.enqueue(&ensureLeaderItem{shard: s, waiter: w})
	if err := w.await(ctx, h, id); err != nil {
		if failure.IsType(err, (&failure.ProposalUnknown{}).Type()) {
			return "", &failure.ShardUnavailable{Shard: uint32(id)}
		}
		return "", err
	}
	return w.leader, nil
}

// noReplicaError returns the error for a shard that has no replica here.
func (h *Host) noReplicaError(id structs.ShardID) error {
	if cause := h.diskFailure.Load(); cause != nil {
		return cause
	}
	status, _ := h.Status(id)
	return &failure.NotLeader{Shard: uint32(id), Leader: string(status.Leader)}
}
