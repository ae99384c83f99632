package replication

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Propose appends data to the shard's log and returns nil when it is committed
// and applied here. The error is *failure.NotLeader, *failure.ShardUnavailable,
// *failure.Overloaded or *failure.DiskFailed when data will never be
// committed, and *failure.ProposalUnknown when it may be.
func (h *Host) Propose(ctx context.Context, id structs.ShardID, data []byte) error {
	found, exists := h.shard(id)
	if !exists {
		return h.absent(id)
	}
	waiting := newWaiter()
	found.worker.post(&inputPropose{shard: found, data: encodeRecord(data), waiter: waiting})
	return waiting.wait(ctx, h, id)
}

// ProposeInTerm is Propose for data that was decided on in a term of this
// daemon's leadership: it appends nothing in any other term, because records of
// another leader may lie between the decision and the append. The error is then
// a *failure.NotLeader.
func (h *Host) ProposeInTerm(ctx context.Context, id structs.ShardID, term uint64, data []byte) error {
	found, exists := h.shard(id)
	if !exists {
		return h.absent(id)
	}
	waiting := newWaiter()
	found.worker.post(&inputPropose{shard: found, term: term, data: encodeRecord(data), waiter: waiting})
	return waiting.wait(ctx, h, id)
}

// ConfirmLeadership returns nil when a majority confirmed, after the call,
// that this daemon leads the shard; all that was committed before the call is
// then applied here.
func (h *Host) ConfirmLeadership(ctx context.Context, id structs.ShardID) error {
	found, exists := h.shard(id)
	if !exists {
		return h.absent(id)
	}
	waiting := newWaiter()
	found.worker.post(&inputConfirm{shard: found, waiter: waiting})
	if err := waiting.wait(ctx, h, id); err != nil {
		if failure.IsType(err, (&failure.ProposalUnknown{}).Type()) {
			return &failure.ShardUnavailable{Shard: uint32(id)}
		}
		return err
	}
	return nil
}

// EnsureLeader returns the node that leads the shard and is ready to serve, if
// it is this one, or that answered as its leader. It campaigns where no leader
// is known, and where the leader is suspected or does not answer. The error is
// *failure.ShardUnavailable, or *failure.NotLeader at a daemon that is no voter.
func (h *Host) EnsureLeader(ctx context.Context, id structs.ShardID) (structs.NodeID, error) {
	found, exists := h.shard(id)
	if !exists {
		return "", h.absent(id)
	}
	waiting := newWaiter()
	found.worker.post(&inputEnsure{shard: found, waiter: waiting})
	if err := waiting.wait(ctx, h, id); err != nil {
		if failure.IsType(err, (&failure.ProposalUnknown{}).Type()) {
			return "", &failure.ShardUnavailable{Shard: uint32(id)}
		}
		return "", err
	}
	return waiting.leader, nil
}

// absent is the answer about a shard that has no replica here.
func (h *Host) absent(id structs.ShardID) error {
	if failed := h.failed.Load(); failed != nil {
		return failed
	}
	status, _ := h.Status(id)
	return &failure.NotLeader{Shard: uint32(id), Leader: string(status.Leader)}
}
