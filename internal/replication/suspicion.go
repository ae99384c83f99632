package replication

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// nodesPollInterval is how often the view of the cluster is polled for nodes that
// became suspected or recovered.
const nodesPollInterval = 200 * time.Millisecond

// suspicionTTL is how long a suspicion reported through SuspectNode lasts. The
// cluster view shows a failed node as suspected by then. The suspicion of a live
// node must expire, because only a batch from that node clears it earlier, and
// a suspected node may be sent nothing that it would answer.
const suspicionTTL = 2 * time.Second

// suspicionTracker holds the nodes reported through SuspectNode from which nothing
// was received since, and the latest view of the cluster.
type suspicionTracker struct {
	reported      sync.Map // structs.NodeID -> suspicion
	reportedCount atomic.Int64
	nodes         atomic.Pointer[map[structs.NodeID]structs.Node]
	// lastFirstNode and lastNodeCount identify the slice that updateNodes
	// processed last.
	lastFirstNode *structs.Node
	lastNodeCount int
}

// suspicion is a report that one incarnation of a node is suspected.
type suspicion struct {
	reportedAt time.Time
	// incarnation is the suspected incarnation, or 0 if it is not known.
	incarnation structs.Incarnation
}

// clear removes the suspicion of a node from which a batch was received. It
// reports whether there was one.
func (s *suspicionTracker) clear(from journal.MemberID) bool {
	if s.reportedCount.Load() == 0 {
		return false
	}
	_, existed := s.reported.LoadAndDelete(from.Node)
	if existed {
		s.reportedCount.Add(-1)
	}
	return existed
}

func (s *suspicionTracker) add(id structs.NodeID) {
	reported := suspicion{reportedAt: time.Now()}
	if view := s.nodes.Load(); view != nil {
		reported.incarnation = (*view)[id].Incarnation
	}
	if _, existed := s.reported.Swap(id, reported); !existed {
		s.reportedCount.Add(1)
	}
}

// removeExpired removes expired suspicions and reports whether there were any.
func (s *suspicionTracker) removeExpired(now time.Time) bool {
	expired := false
	if s.reportedCount.Load() == 0 {
		return expired
	}
	s.reported.Range(func(id, reported any) bool {
		if now.Sub(reported.(suspicion).reportedAt) >= suspicionTTL && s.reported.CompareAndDelete(id, reported) {
			s.reportedCount.Add(-1)
			expired = true
		}
		return true
	})
	return expired
}

func (s *suspicionTracker) isReported(member Member) bool {
	reported, exists := s.reported.Load(member.Node)
	if !exists {
		return false
	}
	incarnation := reported.(suspicion).incarnation
	return incarnation == 0 || member.Incarnation <= incarnation
}

// isSuspected reports whether the member is suspected. That includes a member
// that is missing from the view or that the view lists with a later incarnation.
func (s *suspicionTracker) isSuspected(member Member) bool {
	if s.isReported(member) {
		return true
	}
	view := s.nodes.Load()
	if view == nil || len(*view) == 0 {
		return false
	}
	node, known := (*view)[member.Node]
	if !known || node.Incarnation > member.Incarnation {
		return true
	}
	return node.State == structs.NodeSuspect || node.State == structs.NodeDead
}

// updateNodes replaces the view of the cluster and reports whether the state or
// incarnation of a node changed. It returns immediately if nodes is the slice of
// the previous call.
func (s *suspicionTracker) updateNodes(nodes []structs.Node) bool {
	if len(nodes) > 0 && len(nodes) == s.lastNodeCount && &nodes[0] == s.lastFirstNode {
		return false
	}
	s.lastNodeCount, s.lastFirstNode = len(nodes), nil
	if len(nodes) > 0 {
		s.lastFirstNode = &nodes[0]
	}
	next := make(map[structs.NodeID]structs.Node, len(nodes))
	changed := false
	var previous map[structs.NodeID]structs.Node
	if current := s.nodes.Load(); current != nil {
		previous = *current
	}
	for _, node := range nodes {
		next[node.ID] = node
		earlier, known := previous[node.ID]
		if !known || earlier.State != node.State || earlier.Incarnation != node.Incarnation {
			changed = true
		}
	}
	changed = changed || len(next) != len(previous)
	s.nodes.Store(&next)
	return changed
}

// SuspectNode reports that the failure detector suspects a node. The suspicion
// lasts until a batch is received from the node, and expires after 2 s unless
// the cluster view shows the node as suspected.
func (h *Host) SuspectNode(id structs.NodeID) {
	h.suspicions.add(id)
	h.refreshSuspicions()
}

func (h *Host) refreshSuspicions() {
	for _, w := range h.workers {
		w.enqueue(&refreshSuspicionsItem{})
	}
}

// pollNodes regularly updates the view and removes expired suspicions.
func (h *Host) pollNodes() {
	ticker := time.NewTicker(nodesPollInterval)
	defer ticker.Stop()
	for {
		expired := h.suspicions.removeExpired(time.Now())
		changed := h.options.Nodes != nil && h.suspicions.updateNodes(h.options.Nodes())
		if changed || expired {
			h.refreshSuspicions()
		}
		select {
		case <-h.closing:
			return
		case <-ticker.C:
		}
	}
}

// setSuspectedMembers tells the replica which current and desired members are
// suspected.
func (s *shard) setSuspectedMembers() {
	s.suspicionMembershipIndex = s.replica.MembershipIndex()
	for _, member := range slices.Concat(s.replica.Members(), s.desiredMembers) {
		if member.ID().WithoutAdmission() != s.host.self {
			s.replica.SetSuspected(member.ID(), s.host.suspicions.isSuspected(member))
		}
	}
}
