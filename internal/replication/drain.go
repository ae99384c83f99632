package replication

import (
	"context"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// drainPollInterval is the time between two checks of Drain.
// drainMembershipGrace is how long Drain waits for the leaders to notice that
// this daemon is leaving and to propose its removal.
const (
	drainPollInterval    = 50 * time.Millisecond
	drainMembershipGrace = 1500 * time.Millisecond
)

// Drain prepares a planned stop. It transfers the leadership of every shard to
// another voter and waits until this daemon is removed from each group whose
// leader wants to remove it. A group whose leader keeps this daemon, because no
// other node can replace it, stays unchanged. The error is a
// *failure.ShardUnavailable for the first shard that still needs this daemon
// when the context ends.
func (h *Host) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	graceTimer := time.After(drainMembershipGrace)
	graceElapsed := false
	for {
		remaining := h.shardsToDrain(graceElapsed)
		if len(remaining) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &failure.ShardUnavailable{Shard: uint32(remaining[0])}
		case <-h.closing:
			return &failure.ShardUnavailable{Shard: uint32(remaining[0])}
		case <-graceTimer:
			graceElapsed = true
		case <-ticker.C:
		}
	}
}

// shardsToDrain returns the shards that still need this daemon. Until
// graceElapsed it returns every shard of more than one member, because the
// leaders may not have noticed yet that this daemon is leaving.
func (h *Host) shardsToDrain(graceElapsed bool) []structs.ShardID {
	var remaining []structs.ShardID
	for _, s := range *h.shards.Load() {
		status := s.status.Load()
		if len(status.Members) < 2 {
			continue
		}
		if status.Role == journal.Leader || status.RemovalPending || !graceElapsed {
			s.worker.enqueue(&drainItem{shard: s})
			remaining = append(remaining, s.id)
		}
	}
	slices.Sort(remaining)
	return remaining
}
