package replication

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

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

// term returns the replica's present term.
func (s *shard) term() uint64 {
	_, term, _, _, _ := s.replica.Position()
	return term
}
