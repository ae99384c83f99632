package program

import (
	"container/heap"
	"math"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// MaxDueTasks bounds what one call of Duties returns.
	MaxDueTasks = 1024
	// offerInterval is when a duty that was returned and not done is returned
	// again.
	offerInterval = time.Second

	atOnce = math.MinInt64
	never  = math.MaxInt64
)

// dueEntry is a program's place in the heap of due times.
type dueEntry struct {
	owner *program
	// at is when the program is to be looked at next, in Unix milliseconds. It
	// is not replicated: it follows from the state and from what this replica
	// offered last.
	at int64
	// position in the heap plus 1; 0 when the program is in none.
	position int
}

// dueHeap orders programs by the time at which they have a duty.
type dueHeap struct{ entries []*dueEntry }

func (h *dueHeap) Len() int           { return len(h.entries) }
func (h *dueHeap) Less(i, j int) bool { return h.entries[i].at < h.entries[j].at }

func (h *dueHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].position = i + 1
	h.entries[j].position = j + 1
}

// Push is for package heap.
func (h *dueHeap) Push(x any) {
	entry := x.(*dueEntry)
	h.entries = append(h.entries, entry)
	entry.position = len(h.entries)
}

// Pop is for package heap.
func (h *dueHeap) Pop() any {
	last := len(h.entries) - 1
	entry := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	entry.position = 0
	return entry
}

func (h *dueHeap) remove(entry *dueEntry) {
	if entry.position > 0 {
		heap.Remove(h, entry.position-1)
	}
}

// set places the entry at the given time, or takes it out at never.
func (h *dueHeap) set(entry *dueEntry, at int64) {
	entry.at = at
	switch {
	case at == never:
		h.remove(entry)
	case entry.position == 0:
		heap.Push(h, entry)
	default:
		heap.Fix(h, entry.position-1)
	}
}

// reschedule places the program by its state.
func (m *Machine) reschedule(p *program) { m.due.set(&p.due, p.dueAt()) }

// dueAt is when the program has a duty next, in Unix milliseconds. What is due
// at once does not look at the clock of the leader that proposed it.
func (p *program) dueAt() int64 {
	switch {
	case p.inFlight() != nil:
		return atOnce
	case !p.ended:
		at, _ := p.endDue()
		return at
	case len(p.holds) > 0:
		return atOnce
	case p.removable():
		return p.endedAt + RetentionTime.Milliseconds()
	default:
		return never
	}
}

// endDue is when an open program is to be ended, and the cause.
func (p *program) endDue() (int64, string) {
	at, cause := int64(never), ""
	if deadline := p.opened.GetDeadlineUnixMs(); deadline > 0 {
		at, cause = deadline, CauseDeadline
	}
	idle := p.opened.GetIdleMs()
	if idle > 0 && p.inFlight() == nil && len(p.children) == 0 && p.activity+idle < at {
		at, cause = p.activity+idle, CauseIdle
	}
	return at, cause
}

// DueTasks returns what is due now, at most MaxDueTasks. A duty is returned again
// after a second until a record does away with it. Its cost grows with what is
// due, not with the number of programs.
func (m *Machine) DueTasks(now time.Time) []LeaderTask {
	var duties []LeaderTask
	nowMilliseconds := now.UnixMilli()
	for len(m.due.entries) > 0 && len(duties) < MaxDueTasks {
		first := m.due.entries[0]
		if first.at > nowMilliseconds {
			break
		}
		duties = append(duties, first.owner.duties(nowMilliseconds)...)
		m.due.set(first, max(first.owner.dueAt(), nowMilliseconds+offerInterval.Milliseconds()))
	}
	return duties
}

// duties returns what the program is owed at that time.
func (p *program) duties(now int64) []LeaderTask {
	var duties []LeaderTask
	if issued := p.inFlight(); issued != nil {
		duties = append(duties, LeaderTask{Kind: TaskResumeCall, Program: p.id, Tenant: p.tenant(), Call: p.viewCall(issued)})
	}
	if !p.ended {
		if at, cause := p.endDue(); at <= now {
			duties = append(duties, LeaderTask{Kind: TaskEndProgram, Program: p.id, Tenant: p.tenant(), Cause: cause})
		}
		return duties
	}
	if p.inFlight() == nil {
		for _, held := range p.holds {
			duties = append(duties, LeaderTask{Kind: TaskReleaseHold, Program: p.id, Tenant: p.tenant(), Hold: p.viewHold(held)})
		}
	}
	if p.removable() && p.endedAt+RetentionTime.Milliseconds() <= now {
		duties = append(duties, LeaderTask{Kind: TaskRemoveProgram, Program: p.id, Tenant: p.tenant()})
	}
	return duties
}

func (p *program) viewHold(held hold) CacheHold {
	return CacheHold{
		Program:      p.id,
		Engine:       held.engine,
		Incarnation:  held.incarnation,
		Address:      held.address,
		ProgramEnded: p.ended,
	}
}

// Holds returns every hold of the shard, in no particular order. It looks at
// all programs and is for the occasional comparison with an engine's own list.
func (m *Machine) Holds() []CacheHold {
	var holds []CacheHold
	for _, p := range m.programs {
		for _, held := range p.holds {
			holds = append(holds, p.viewHold(held))
		}
	}
	return holds
}

// ProgramHolds returns the holds of one program.
func (m *Machine) ProgramHolds(id structs.ProgramID) []CacheHold {
	found, ok := m.programs[id]
	if !ok {
		return nil
	}
	holds := make([]CacheHold, 0, len(found.holds))
	for _, held := range found.holds {
		holds = append(holds, found.viewHold(held))
	}
	return holds
}
