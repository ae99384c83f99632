package replication

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Status is the state of a replica as this daemon knows it. It is immutable.
type Status struct {
	Shard structs.ShardID
	Role  journal.Role
	Term  uint64
	// Leader is the last known leader, or empty.
	Leader structs.NodeID
	// Serving is set when this daemon leads and has applied all entries
	// committed before.
	Serving bool
	// Members are the group's members as far as this daemon knows.
	Members []Member
	// MembershipIndex is higher for a newer membership.
	MembershipIndex           uint64
	CommitIndex, AppliedIndex uint64
	// RemovalPending is set when this daemon is about to be removed from the
	// group, according to ReconcileMembers or to the leader's last answer.
	RemovalPending bool
	// LeaderSearch is the progress of the search for a leader while none is known.
	LeaderSearch journal.LeaderSearch
	// Removed is set when the group no longer contains this daemon.
	Removed bool
}

// Status returns the state of one shard. For a shard whose replica was removed
// from this daemon it returns the last known members, with Removed set. The
// result is false if the daemon never had the shard.
func (h *Host) Status(id structs.ShardID) (Status, bool) {
	if s, exists := h.shard(id); exists {
		return *s.status.Load(), true
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	removed, existed := h.removed[id]
	return removed.status, existed
}

// Statuses returns the states of all shards with a replica here, ordered by ID.
func (h *Host) Statuses() []Status {
	shards := *h.shards.Load()
	statuses := make([]Status, 0, len(shards))
	for _, s := range shards {
		statuses = append(statuses, *s.status.Load())
	}
	slices.SortFunc(statuses, func(a, b Status) int { return int(a.Shard) - int(b.Shard) })
	return statuses
}
