package daemon

import (
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/replication"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// leaderlessFor is how long a shard may be without a leader before it is told: elections
	// and the first replicas take less.
	leaderlessFor = 5 * time.Second
	// leaderlessEvery is the least time between two lines.
	leaderlessEvery = 10 * time.Second
)

// lackReason is why a shard has no leader as far as this daemon knows.
type lackReason string

// The reasons.
const (
	// noReplica is that the place of the shard names this daemon, which has no replica of it.
	noReplica lackReason = "no_replica"
	// noLeader is that this daemon's replica knows of no leader.
	noLeader lackReason = "no_leader"
)

// leaderlessShard is a shard of this daemon without a leader.
type leaderlessShard struct {
	reason lackReason
	// status is that of the replica, where there is one.
	status replication.Status
}

// leaderless returns the shards that this daemon is to be a member of and that have no leader.
func (d *Daemon) leaderless(running *core, configuration *structs.Configuration) map[structs.ShardID]leaderlessShard {
	found := map[structs.ShardID]leaderlessShard{}
	for _, domain := range configuration.Domains {
		for number := range domain.ShardCount {
			shard := domain.FirstShard + structs.ShardID(number)
			status, held := running.host.Status(shard)
			switch {
			case held && !status.Removed && status.Leader == "":
				found[shard] = leaderlessShard{reason: noLeader, status: status}
			case !held && slices.Contains(d.directory.Members(shard), d.self.ID):
				found[shard] = leaderlessShard{reason: noReplica}
			}
		}
	}
	return found
}

// leaderWatch tells of shards that stay without a leader. It serves one goroutine.
type leaderWatch struct {
	since map[structs.ShardID]time.Time
	told  time.Time
}

func newLeaderWatch() *leaderWatch { return &leaderWatch{since: map[structs.ShardID]time.Time{}} }

// look takes the shards that have no leader now, and logs them if one has had none for long.
func (w *leaderWatch) look(now time.Time, lacking map[structs.ShardID]leaderlessShard) {
	longest, due := w.due(now, lacking)
	if !due {
		return
	}
	lack := lacking[longest]
	search := lack.status.LeaderSearch
	eventNoLeader.Log("shards", len(lacking), "longest", longest, "for_ms", now.Sub(w.since[longest]).Milliseconds(),
		"reason", string(lack.reason), "role", lack.status.Role.String(), "term", lack.status.Term, "rounds", search.Rounds,
		"granted", namesOf(search.Granted), "refused", namesOf(search.Refused), "silent", namesOf(search.Unanswered))
}

// due returns the shard that has had no leader for longest, and whether it is to be told now.
func (w *leaderWatch) due(now time.Time, lacking map[structs.ShardID]leaderlessShard) (longest structs.ShardID, due bool) {
	for shard := range w.since {
		if _, still := lacking[shard]; !still {
			delete(w.since, shard)
		}
	}
	first := now.Add(time.Nanosecond)
	for shard := range lacking {
		since, known := w.since[shard]
		if !known {
			since = now
			w.since[shard] = now
		}
		if since.Before(first) || since.Equal(first) && shard < longest {
			longest, first = shard, since
		}
	}
	if now.Sub(first) < leaderlessFor || now.Sub(w.told) < leaderlessEvery {
		return longest, false
	}
	w.told = now
	return longest, true
}

func namesOf(members []journal.MemberID) []structs.NodeID {
	names := make([]structs.NodeID, 0, len(members))
	for _, member := range members {
		names = append(names, member.Node)
	}
	return names
}
