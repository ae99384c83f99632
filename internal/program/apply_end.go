package program

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// applyEnded ends a program and, in the same step, all its sub-agents.
func (m *Machine) applyEnded(p *program, unixMs int64, ended *programv1.ProgramEnded) bool {
	if p.ended {
		return false
	}
	cause := ended.GetCause()
	for _, member := range m.withOpenDescendants(p) {
		m.endProgram(member, unixMs, cause)
		cause = CauseParent
	}
	return true
}

// withOpenDescendants returns the program and all its descendants that have
// not ended, parents first.
func (m *Machine) withOpenDescendants(p *program) []*program {
	members := []*program{p}
	for next := 0; next < len(members); next++ {
		for _, id := range sortedChildIDs(members[next]) {
			if child, found := m.programs[id]; found && !child.ended {
				members = append(members, child)
			}
		}
	}
	return members
}

func sortedChildIDs(p *program) []structs.ProgramID {
	ids := make([]structs.ProgramID, 0, len(p.children))
	for id := range p.children {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) endProgram(p *program, unixMs int64, cause string) {
	p.ended = true
	p.cause = cause
	p.endedAt = unixMs
	p.recordActivity(unixMs)
	for _, c := range p.calls[p.cursor:] {
		if c != nil {
			p.cancel(c, failureProgramEnded)
		}
	}
	p.advancePositions()
	m.dropUnopenedGrants(p)
	m.settleProgram(p)
	m.reschedule(p)
}

// dropUnopenedGrants takes back the grants of children that were never opened.
// They cannot be opened once the program has ended.
func (m *Machine) dropUnopenedGrants(p *program) {
	for id, grant := range p.children {
		if _, opened := m.programs[id]; !opened {
			p.granted = p.granted.Minus(grant)
			delete(p.children, id)
		}
	}
}

// settleIfChanged settles the program if it changed and can be settled now.
func (m *Machine) settleIfChanged(p *program, changed bool) bool {
	if changed {
		m.settleProgram(p)
	}
	return changed
}

// settleProgram returns the rest of an ended program's budget to its parent,
// once, when the program and its sub-agents can spend nothing more. If the
// parent has ended too, the parent is settled in turn.
func (m *Machine) settleProgram(p *program) {
	for p.ended && !p.settled && p.startedCall() == nil && len(p.children) == 0 {
		p.settled = true
		m.reschedule(p)
		parent, found := m.programs[p.parent()]
		if !found {
			return
		}
		parent.reclaimGrant(p)
		parent.recordActivity(p.lastActivity)
		m.reschedule(parent)
		p = parent
	}
}

// reclaimGrant replaces the child's grant with what the child spent.
func (p *program) reclaimGrant(child *program) {
	grant, found := p.children[child.id]
	if !found {
		return
	}
	delete(p.children, child.id)
	p.granted = p.granted.Minus(grant)
	p.childrenSpent = p.childrenSpent.Plus(child.totalSpent())
}
