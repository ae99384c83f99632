package replication

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Status is a replica as this daemon knows it. It is immutable.
type Status struct {
	Shard structs.ShardID
	Role  journal.Role
	Term  uint64
	// Leader is the believed leader, or empty.
	Leader structs.NodeID
	// Serving says that this daemon leads and has applied all that was committed.
	Serving bool
	// Members are the group's members as far as this daemon knows.
	Members []Member
	// MembershipIndex orders memberships: the higher one is newer.
	MembershipIndex           uint64
	CommitIndex, AppliedIndex uint64
	// RemovalPending says that the group is about to go on without this daemon, as far
	// as it was told.
	RemovalPending bool
	// LeaderSearch is how the search for a leader goes, where none is known.
	LeaderSearch journal.LeaderSearch
	// Removed says that the group goes on without this daemon.
	Removed bool
}

// Status returns the state of one shard. Of a shard that left this daemon it
// returns the members that were last known, with Removed set. It is false
// where the daemon never held the shard.
func (h *Host) Status(id structs.ShardID) (Status, bool) {
	if found, exists := h.shard(id); exists {
		return *found.status.Load(), true
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	former, existed := h.former[id]
	return former.status, existed
}

// Statuses returns the state of all shards that have a replica here, by number.
func (h *Host) Statuses() []Status {
	shards := *h.shards.Load()
	statuses := make([]Status, 0, len(shards))
	for _, found := range shards {
		statuses = append(statuses, *found.status.Load())
	}
	slices.SortFunc(statuses, func(a, b Status) int { return int(a.Shard) - int(b.Shard) })
	return statuses
}
