package program

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// applyEnded ends a program and, in the same step, all its sub-agents.
func (m *Machine) applyEnded(p *program, at int64, ended *programv1.ProgramEnded) bool {
	if p.ended {
		return false
	}
	cause := ended.GetCause()
	for _, member := range m.family(p) {
		m.endOne(member, at, cause)
		cause = CauseParent
	}
	return true
}

// family returns the program and every living program below it, parents first.
func (m *Machine) family(p *program) []*program {
	members := []*program{p}
	for next := 0; next < len(members); next++ {
		for _, id := range sortedChildren(members[next]) {
			if child, found := m.programs[id]; found && !child.ended {
				members = append(members, child)
			}
		}
	}
	return members
}

func sortedChildren(p *program) []structs.ProgramID {
	ids := make([]structs.ProgramID, 0, len(p.children))
	for id := range p.children {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) endOne(p *program, at int64, cause string) {
	p.ended = true
	p.cause = cause
	p.endedAt = at
	p.touch(at)
	for _, issued := range p.calls[p.cursor:] {
		if issued != nil {
			p.cancel(issued, failureProgramEnded)
		}
	}
	p.advance()
	m.dropUnopenedGrants(p)
	m.settleProgram(p)
	m.reschedule(p)
}

// dropUnopenedGrants takes back what was granted to children that were never
// opened; after the end none can be.
func (m *Machine) dropUnopenedGrants(p *program) {
	for id, grant := range p.children {
		if _, opened := m.programs[id]; !opened {
			p.granted = p.granted.Minus(grant)
			delete(p.children, id)
		}
	}
}

// settleAfter settles the program when the change before it made that possible.
func (m *Machine) settleAfter(p *program, changed bool) bool {
	if changed {
		m.settleProgram(p)
	}
	return changed
}

// settleProgram returns what is left of an ended program's budget to its
// parent, once, when nothing of the program can spend any more. A parent that
// has ended too passes it on.
func (m *Machine) settleProgram(p *program) {
	for p.ended && !p.settled && p.inFlight() == nil && len(p.children) == 0 {
		p.settled = true
		m.reschedule(p)
		parent, found := m.programs[p.parent()]
		if !found {
			return
		}
		parent.takeBack(p)
		parent.touch(p.activity)
		m.reschedule(parent)
		p = parent
	}
}

// takeBack replaces the child's grant by what the child spent.
func (p *program) takeBack(child *program) {
	grant, found := p.children[child.id]
	if !found {
		return
	}
	delete(p.children, child.id)
	p.granted = p.granted.Minus(grant)
	p.childrenSpent = p.childrenSpent.Plus(child.totalSpent())
}
