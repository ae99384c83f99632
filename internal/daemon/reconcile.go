package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/plan"
	"github.com/barleyshelf/barleyshelf/internal/replication"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	reconcileInterval = 500 * time.Millisecond
	// campaignTimeout bounds one search for a leader of a shard that nobody
	// asks for, but that may have duties.
	campaignTimeout = 2 * time.Second
	// campaignStep spreads the members of a group: each waits one step longer
	// than the one before it.
	campaignStep = 300 * time.Millisecond
)

// runReconcile keeps the groups that this daemon leads at their wanted members,
// tells where they are, and looks for a leader where one has died.
func (d *Daemon) runReconcile() {
	published := map[structs.ShardID]uint64{}
	watch := newLeaderWatch()
	for pause.For(d.context, reconcileInterval) {
		running := d.core.Load()
		if running == nil {
			continue
		}
		configuration := d.store.InForce()
		if configuration == nil {
			continue
		}
		nodes := plan.ApplyZoneDraining(configuration.Declarations, d.cluster.View().Nodes)
		for _, status := range running.host.Statuses() {
			d.reconcileShard(running, status, configuration, nodes)
			if status.Serving {
				d.publishChange(running, status, published)
				continue
			}
			d.replaceLeader(running, status)
		}
		watch.look(time.Now(), d.leaderless(running, configuration))
	}
}

// publishChange tells where a shard is after its membership changed.
func (d *Daemon) publishChange(running *core, status replication.Status, published map[structs.ShardID]uint64) {
	version := status.Term<<termShift + status.MembershipIndex
	if published[status.Shard] == version {
		return
	}
	published[status.Shard] = version
	d.publishShard(running, status.Shard)
}

// reconcileShard asks for members in the place of those that have left. Every
// member of the group keeps the wish, so that whoever leads acts on it, and a
// daemon that is stopping knows which groups must first go on without it.
// Nodes in a zone that drains are given as leaving.
func (d *Daemon) reconcileShard(running *core, status replication.Status, configuration *structs.Configuration, nodes []structs.Node) {
	domain, known := placement.DomainOfShard(configuration.Domains, status.Shard)
	if !known {
		return
	}
	size := configuration.Declarations.Deployment.Replicas
	if size <= 0 {
		size = defaultReplicas
	}
	current := nodeIDs(status.Members)
	wanted := placement.DesiredMembers(domain, status.Shard, current, nodes, size)
	if sameNodes(wanted, current) {
		wanted = placement.ImproveZoneSpread(domain, status.Shard, current, nodes)
	}
	running.host.ReconcileMembers(status.Shard, wantedMembers(wanted, status.Members))
}

func nodeIDs(members []replication.Member) []structs.NodeID {
	ids := make([]structs.NodeID, 0, len(members))
	for _, member := range members {
		// Two lives of a daemon may be members for the time of a change.
		if !slices.Contains(ids, member.Node) {
			ids = append(ids, member.Node)
		}
	}
	return ids
}

func sameNodes(wanted []structs.Node, current []structs.NodeID) bool {
	if len(wanted) != len(current) {
		return false
	}
	for _, node := range wanted {
		if !slices.Contains(current, node.ID) {
			return false
		}
	}
	return true
}

// wantedMembers gives the wanted nodes as members. A node that this daemon's
// view does not show stays the member that it is.
func wantedMembers(wanted []structs.Node, current []replication.Member) []replication.Member {
	members := membersOf(wanted)
	for position, member := range members {
		if member.Incarnation != 0 {
			continue
		}
		for _, held := range current {
			if held.Node == member.Node {
				members[position] = held
			}
		}
	}
	return members
}

// replaceLeader looks for a leader of a shard whose leader has died, so that
// its duties are met though no caller asks. An idle shard with a live leader
// costs nothing.
func (d *Daemon) replaceLeader(running *core, status replication.Status) {
	if status.Removed || !d.leaderLost(status) {
		return
	}
	d.task(func() {
		if !pause.For(d.context, campaignStep*time.Duration(rankOf(running.node.ID, status.Members))) {
			return
		}
		ctx, cancel := context.WithTimeout(d.context, campaignTimeout)
		defer cancel()
		_, _ = running.host.EnsureLeader(ctx, status.Shard)
	})
}

// leaderLost reports whether the shard's leader is none of the live members.
func (d *Daemon) leaderLost(status replication.Status) bool {
	if status.Leader == "" {
		return true
	}
	leader, known := d.cluster.View().Node(status.Leader)
	if !known || leader.State == structs.NodeDead {
		return true
	}
	for _, member := range status.Members {
		if member.Node == status.Leader {
			return member.Incarnation != leader.Memory
		}
	}
	return true
}

func rankOf(self structs.NodeID, members []replication.Member) int {
	rank := 0
	for _, member := range members {
		if member.Node < self {
			rank++
		}
	}
	return rank
}
