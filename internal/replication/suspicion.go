package replication

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// nodesInterval is how often the view of the cluster is looked at for nodes
// that are suspected or alive again.
const nodesInterval = 200 * time.Millisecond

// flagLifetime is how long SuspectNode counts. A node that is gone is by then
// suspected in the view; one that is not must not be left out for ever, since
// it is heard only when it is sent something.
const flagLifetime = 2 * time.Second

// suspects holds the nodes that SuspectNode named and that were not heard
// since, and the last view of the cluster.
type suspects struct {
	flagged sync.Map // structs.NodeID -> flag
	count   atomic.Int64
	view    atomic.Pointer[map[structs.NodeID]structs.Node]
	// first and seen tell whether a view is the one looked at last.
	first *structs.Node
	seen  int
}

// flag is a suspicion of one life of a node.
type flag struct {
	since time.Time
	// incarnation is that of the suspected life, or 0 where it is not known.
	incarnation structs.Incarnation
}

// heard takes back a suspicion, and reports whether there was one: the node
// has sent something.
func (s *suspects) heard(from journal.MemberID) bool {
	if s.count.Load() == 0 {
		return false
	}
	_, was := s.flagged.LoadAndDelete(from.Node)
	if was {
		s.count.Add(-1)
	}
	return was
}

func (s *suspects) flag(id structs.NodeID) {
	raised := flag{since: time.Now()}
	if view := s.view.Load(); view != nil {
		raised.incarnation = (*view)[id].Incarnation
	}
	if _, was := s.flagged.Swap(id, raised); !was {
		s.count.Add(1)
	}
}

// expire takes back suspicions that are too old, and reports whether there
// were any.
func (s *suspects) expire(now time.Time) bool {
	expired := false
	if s.count.Load() == 0 {
		return expired
	}
	s.flagged.Range(func(id, raised any) bool {
		if now.Sub(raised.(flag).since) >= flagLifetime && s.flagged.CompareAndDelete(id, raised) {
			s.count.Add(-1)
			expired = true
		}
		return true
	})
	return expired
}

func (s *suspects) flaggedLife(member Member) bool {
	raised, flagged := s.flagged.Load(member.Node)
	if !flagged {
		return false
	}
	known := raised.(flag).incarnation
	return known == 0 || member.Incarnation <= known
}

// suspected reports whether the member is held to be gone.
func (s *suspects) suspected(member Member) bool {
	if s.flaggedLife(member) {
		return true
	}
	view := s.view.Load()
	if view == nil || len(*view) == 0 {
		return false
	}
	node, known := (*view)[member.Node]
	if !known || node.Incarnation > member.Incarnation {
		return true
	}
	return node.State == structs.NodeSuspect || node.State == structs.NodeDead
}

// update takes a view and reports whether a node's state or life changed. A
// view that is the very one seen before costs nothing.
func (s *suspects) update(nodes []structs.Node) bool {
	if len(nodes) > 0 && len(nodes) == s.seen && &nodes[0] == s.first {
		return false
	}
	s.seen, s.first = len(nodes), nil
	if len(nodes) > 0 {
		s.first = &nodes[0]
	}
	next := make(map[structs.NodeID]structs.Node, len(nodes))
	changed := false
	var previous map[structs.NodeID]structs.Node
	if held := s.view.Load(); held != nil {
		previous = *held
	}
	for _, node := range nodes {
		next[node.ID] = node
		earlier, known := previous[node.ID]
		if !known || earlier.State != node.State || earlier.Incarnation != node.Incarnation {
			changed = true
		}
	}
	changed = changed || len(next) != len(previous)
	s.view.Store(&next)
	return changed
}

// SuspectNode tells the host that the failure detector suspects a node. The
// suspicion lasts until the node is heard here again, and at most 2 s beyond
// what the view of the cluster says.
func (h *Host) SuspectNode(id structs.NodeID) {
	h.suspects.flag(id)
	h.refreshSuspicions()
}

func (h *Host) refreshSuspicions() {
	for _, w := range h.workers {
		w.post(&inputRefresh{})
	}
}

// watchNodes looks at the view now and then.
func (h *Host) watchNodes() {
	ticker := time.NewTicker(nodesInterval)
	defer ticker.Stop()
	for {
		expired := h.suspects.expire(time.Now())
		changed := h.options.Nodes != nil && h.suspects.update(h.options.Nodes())
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

// refreshSuspicion tells the replica what is held of its present and wanted
// members.
func (s *shard) refreshSuspicion() {
	s.membersIndex = s.replica.MembershipIndex()
	for _, member := range slices.Concat(s.replica.Members(), s.wanted) {
		if member.ID().WithoutAdmission() != s.host.self {
			s.replica.SetSuspected(member.ID(), s.host.suspects.suspected(member))
		}
	}
}
