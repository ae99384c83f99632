package journal

import (
	"fmt"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// action is one kind of step. weight determines how often it is chosen.
type action struct {
	name   string
	weight int
	run    func(s *simulation)
}

var actions = []action{
	{"deliver", 200, (*simulation).deliverRandomMessage},
	{"complete-write", 120, (*simulation).completeRandomWrite},
	{"tick", 25, func(s *simulation) { s.withRandomReplica(func(m *simulatedNode) { m.replica.Tick() }) }},
	{"ensure-leader", 10, func(s *simulation) { s.withRandomReplica(func(m *simulatedNode) { m.replica.EnsureLeader() }) }},
	{"propose", 20, (*simulation).proposeAtRandomLeader},
	{"read", 20, (*simulation).startRandomRead},
	{"drop", 5, (*simulation).dropMessage},
	{"duplicate", 4, (*simulation).duplicateMessage},
	{"suspect", 4, (*simulation).suspectRandomNode},
	{"reset-suspicions", 12, (*simulation).resetSuspicions},
	{"suspect-unreachable", 3, (*simulation).suspectUnreachable},
	{"block-link", 3, (*simulation).blockLink},
	{"isolate-node", 1, (*simulation).isolateNode},
	{"isolate-leader", 1, (*simulation).isolateLeaderAndCampaign},
	{"unblock-links", 6, func(s *simulation) { clear(s.blocked) }},
	{"pause", 4, (*simulation).pauseOrResume},
	{"crash", 2, func(s *simulation) { s.randomNode().crash() }},
	{"lose-memory", 1, (*simulation).loseMemory},
	{"compact", 3, func(s *simulation) { s.withRandomReplica(func(m *simulatedNode) { m.replica.Compact(0) }) }},
	{"set-desired-voters", 3, (*simulation).setRandomDesiredVoters},
	{"propose-changes", 2, (*simulation).proposeRandomChanges},
	{"transfer-leadership", 1, (*simulation).transferLeadership},
}

// profile overrides the weights of some actions.
type profile map[string]int

var profiles = []profile{
	{},
	{"set-desired-voters": 15, "propose-changes": 30, "suspect": 8, "lose-memory": 2},
	{"isolate-node": 12, "suspect-unreachable": 20, "read": 40, "unblock-links": 4},
	{"isolate-node": 6, "suspect-unreachable": 30, "propose-changes": 30, "unblock-links": 2, "ensure-leader": 30, "read": 40},
	{"isolate-leader": 15, "propose-changes": 0, "set-desired-voters": 0, "lose-memory": 0, "block-link": 0, "pause": 0, "suspect": 0, "unblock-links": 0},
}

func (p profile) weight(a action) int {
	if weight, found := p[a.name]; found {
		return weight
	}
	return a.weight
}

// step runs one action.
func (s *simulation) step() {
	s.stepCount++
	total := 0
	for _, a := range actions {
		total += s.profile.weight(a)
	}
	choice := s.choose(total)
	for _, a := range actions {
		if choice < s.profile.weight(a) {
			a.run(s)
			return
		}
		choice -= s.profile.weight(a)
	}
}

// run runs the given number of steps, or fewer if there is a violation, which
// it returns.
func (s *simulation) run(steps int) string {
	for range steps {
		s.step()
		if s.oracle.violation != "" {
			break
		}
	}
	return s.oracle.violation
}

func (s *simulation) randomNode() *simulatedNode {
	return s.nodes[s.nodeNames[s.choose(len(s.nodeNames))]]
}

// randomNodeWhere returns one of the running nodes that fit, or nil.
func (s *simulation) randomNodeWhere(fits func(m *simulatedNode) bool) *simulatedNode {
	var fitting []*simulatedNode
	for _, name := range s.nodeNames {
		if m := s.nodes[name]; m.replica != nil && !m.paused && fits(m) {
			fitting = append(fitting, m)
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	return fitting[s.choose(len(fitting))]
}

func (s *simulation) completeRandomWrite() {
	if m := s.randomNodeWhere(func(m *simulatedNode) bool { return len(m.pendingWrites) > 0 }); m != nil {
		m.completeWrite()
	}
}

func isServing(m *simulatedNode) bool { return m.replica.Serving() }

// withRandomReplica calls run for a running node, if there is one.
func (s *simulation) withRandomReplica(run func(m *simulatedNode)) {
	if m := s.randomNodeWhere(func(*simulatedNode) bool { return true }); m != nil {
		run(m)
		m.processReady()
	}
}

func (s *simulation) deliverRandomMessage() {
	if len(s.inTransit) == 0 {
		return
	}
	// Most messages arrive nearly in order, but some arrive long after others.
	window := len(s.inTransit)
	if s.choose(8) != 0 {
		window = min(window, reorderWindow)
	}
	s.deliverAt(s.choose(window))
}

const reorderWindow = 4

func (s *simulation) deliverAt(index int) {
	transit := s.inTransit[index]
	to := s.nodes[transit.to.Node]
	if to.paused {
		return
	}
	s.inTransit = slices.Delete(s.inTransit, index, index+1)
	if !s.blocked[[2]structs.NodeID{transit.from.Node, transit.to.Node}] {
		to.receive(transit)
	}
}

func (s *simulation) dropMessage() {
	if len(s.inTransit) > 0 {
		index := s.choose(len(s.inTransit))
		s.inTransit = slices.Delete(s.inTransit, index, index+1)
	}
}

func (s *simulation) duplicateMessage() {
	if len(s.inTransit) > 0 {
		s.inTransit = append(s.inTransit, s.inTransit[s.choose(len(s.inTransit))])
	}
}

func (s *simulation) proposeAtRandomLeader() {
	if m := s.randomNodeWhere(isServing); m != nil && s.proposeAt(m) {
		m.processReady()
	}
}

func (s *simulation) proposeAt(m *simulatedNode) bool {
	if !m.replica.Serving() {
		return false
	}
	s.lastProposal++
	index, term, err := m.replica.Propose([][]byte{fmt.Appendf(nil, "p%d", s.lastProposal)})
	if err == nil {
		m.proposals[index] = term
	}
	return err == nil
}

func (s *simulation) startRandomRead() {
	m := s.randomNodeWhere(isServing)
	if m == nil {
		return
	}
	if round, err := m.replica.ConfirmLeadership(); err == nil {
		m.reads[round] = s.oracle.highestAcknowledged
		m.processReady()
	}
}

func (s *simulation) suspectRandomNode() {
	other := s.randomNode()
	s.withRandomReplica(func(m *simulatedNode) {
		if other != m {
			m.replica.SetSuspected(other.id, true)
		}
	})
}

func (s *simulation) resetSuspicions() {
	s.withRandomReplica(func(m *simulatedNode) { s.suspectOnlyFormerIncarnations(m) })
}

// suspectOnlyFormerIncarnations makes a replica suspect exactly the members
// whose incarnation has ended.
func (s *simulation) suspectOnlyFormerIncarnations(m *simulatedNode) {
	for _, name := range s.nodeNames {
		m.replica.SetSuspected(s.nodes[name].id, false)
	}
	for _, member := range m.replica.Members() {
		m.replica.SetSuspected(member.ID(), s.nodes[member.Node].id != member.ID().WithoutAdmission())
	}
}

func (s *simulation) blockLink() {
	first, second := s.randomNode(), s.randomNode()
	if first == second {
		return
	}
	s.blocked[[2]structs.NodeID{first.id.Node, second.id.Node}] = true
	if s.choose(2) == 0 {
		s.blocked[[2]structs.NodeID{second.id.Node, first.id.Node}] = true
	}
}

// pauseOrResume pauses a node, or resumes all paused nodes.
func (s *simulation) pauseOrResume() {
	if s.choose(2) == 0 {
		s.randomNode().paused = true
		return
	}
	for _, m := range s.nodes {
		m.paused = false
	}
}

// isolateNode blocks the links between a node and all others.
func (s *simulation) isolateNode() {
	isolated := s.randomNode()
	for _, name := range s.nodeNames {
		s.blocked[[2]structs.NodeID{isolated.id.Node, name}] = true
		s.blocked[[2]structs.NodeID{name, isolated.id.Node}] = true
	}
}

// isolateLeaderAndCampaign isolates a leader, makes the other nodes suspect
// it, and starts a campaign on one of them.
func (s *simulation) isolateLeaderAndCampaign() {
	leader := s.randomNodeWhere(func(m *simulatedNode) bool { return m.replica.role == Leader })
	if leader == nil {
		return
	}
	clear(s.blocked)
	for _, name := range s.nodeNames {
		s.blocked[[2]structs.NodeID{leader.id.Node, name}] = true
		s.blocked[[2]structs.NodeID{name, leader.id.Node}] = true
	}
	s.suspectUnreachable()
	if next := s.randomNodeWhere(func(m *simulatedNode) bool { return m != leader }); next != nil {
		next.replica.Campaign()
		next.processReady()
	}
}

// suspectUnreachable makes every running member suspect those that are paused
// or unreachable and trust the others, as a failure detector would.
func (s *simulation) suspectUnreachable() {
	for _, name := range s.nodeNames {
		m := s.nodes[name]
		if m.replica == nil || m.paused {
			continue
		}
		s.suspectOnlyFormerIncarnations(m)
		for _, other := range s.nodeNames {
			if s.nodes[other].paused || s.blocked[[2]structs.NodeID{other, name}] {
				m.replica.SetSuspected(s.nodes[other].id, true)
			}
		}
		m.processReady()
	}
}
