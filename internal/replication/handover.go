package replication

import (
	"context"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// handOverInterval is how often HandOver looks again.
const handOverInterval = 20 * time.Millisecond

// HandOver prepares a planned stop: it gives the leadership of every shard to
// another voter, and waits until the groups that are wanted without this
// daemon (Reconcile) go on without it. The error is *failure.ShardUnavailable
// for the first shard that was not handed over when the context ended.
func (h *Host) HandOver(ctx context.Context) error {
	ticker := time.NewTicker(handOverInterval)
	defer ticker.Stop()
	for {
		left := h.toHandOver()
		if len(left) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &failure.ShardUnavailable{Shard: uint32(left[0])}
		case <-h.closing:
			return &failure.ShardUnavailable{Shard: uint32(left[0])}
		case <-ticker.C:
		}
	}
}

// toHandOver returns the shards that still need this daemon, and begins the
// transfers that are possible.
func (h *Host) toHandOver() []structs.ShardID {
	var left []structs.ShardID
	for _, found := range *h.shards.Load() {
		status := found.status.Load()
		if status.Role == journal.Leader && len(status.Members) > 1 {
			found.worker.post(&inputTransfer{shard: found})
			left = append(left, found.id)
			continue
		}
		if found.leaving.Load() {
			left = append(left, found.id)
		}
	}
	slices.Sort(left)
	return left
}
