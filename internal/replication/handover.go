package replication

import (
	"context"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// handOverInterval is how often Drain looks again, handOverGrace how long it
// gives the leaders' daemons to notice that this one leaves.
const (
	handOverInterval = 50 * time.Millisecond
	handOverGrace    = 1500 * time.Millisecond
)

// Drain prepares a planned stop: it gives the leadership of every shard to
// another voter, and waits until those groups that are to go on without this
// daemon do. A group whose leader wants to keep this daemon, since there is no
// other place for it, is left as it is. The error is *failure.ShardUnavailable
// for the first shard that was not handed over when the context ended.
func (h *Host) Drain(ctx context.Context) error {
	ticker := time.NewTicker(handOverInterval)
	defer ticker.Stop()
	grace := time.After(handOverGrace)
	noticed := false
	for {
		left := h.toHandOver(noticed)
		if len(left) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &failure.ShardUnavailable{Shard: uint32(left[0])}
		case <-h.closing:
			return &failure.ShardUnavailable{Shard: uint32(left[0])}
		case <-grace:
			noticed = true
		case <-ticker.C:
		}
	}
}

// toHandOver returns the shards that still need this daemon, or, before the
// leaders can have noticed that it leaves, all that it holds.
func (h *Host) toHandOver(noticed bool) []structs.ShardID {
	var left []structs.ShardID
	for _, found := range *h.shards.Load() {
		status := found.status.Load()
		if len(status.Members) < 2 {
			continue
		}
		if status.Role == journal.Leader || status.RemovalPending || !noticed {
			found.worker.post(&inputHandOver{shard: found})
			left = append(left, found.id)
		}
	}
	slices.Sort(left)
	return left
}
