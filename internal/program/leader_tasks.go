package program

import (
	"container/heap"
	"math"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// MaxDueTasks limits the tasks that one call of DueTasks returns. The tasks
	// of a program are not split, so it may return a few more.
	MaxDueTasks = 1024
	// taskRetryInterval is the time after which a task that was returned but
	// not completed is returned again.
	taskRetryInterval = time.Second

	dueNow   = math.MinInt64
	neverDue = math.MaxInt64
)

// dueEntry is a program's entry in the heap of due times.
type dueEntry struct {
	program *program
	// dueAt is the time at which the program's tasks are checked next, in Unix
	// milliseconds. It is not replicated: it depends on the state and on the
	// tasks that this replica returned last.
	dueAt int64
	// position is the index in the heap plus 1, or 0 if the program is not in
	// the heap.
	position int
}

// dueHeap orders programs by the time at which they have a task.
type dueHeap struct{ entries []*dueEntry }

func (h *dueHeap) Len() int           { return len(h.entries) }
func (h *dueHeap) Less(i, j int) bool { return h.entries[i].dueAt < h.entries[j].dueAt }

func (h *dueHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].position = i + 1
	h.entries[j].position = j + 1
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	entry := x.(*dueEntry)
	h.entries = append(h.entries, entry)
	entry.position = len(h.entries)
}

// Pop implements heap.Interface.
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

// schedule moves the entry to the given time, or removes it for neverDue.
func (h *dueHeap) schedule(entry *dueEntry, dueAt int64) {
	entry.dueAt = dueAt
	switch {
	case dueAt == neverDue:
		h.remove(entry)
	case entry.position == 0:
		heap.Push(h, entry)
	default:
		heap.Fix(h, entry.position-1)
	}
}

// reschedule updates the program's due time from its state.
func (m *Machine) reschedule(p *program) { m.dueHeap.schedule(&p.dueEntry, p.nextTaskTime()) }

// nextTaskTime returns the time at which the program next has a task, in Unix
// milliseconds. Tasks that are due immediately do not depend on the clock of
// the leader that proposed the record.
func (p *program) nextTaskTime() int64 {
	switch {
	case p.startedCall() != nil:
		return dueNow
	case !p.ended:
		at, _ := p.endTime()
		return at
	case len(p.holds) > 0:
		return dueNow
	case p.isRemovable():
		return p.endedAt + RetentionTime.Milliseconds()
	default:
		return neverDue
	}
}

// endTime returns the time at which an open program must be ended, and the
// cause.
func (p *program) endTime() (int64, string) {
	at, cause := int64(neverDue), ""
	if deadline := p.openedRecord.GetDeadlineUnixMs(); deadline > 0 {
		at, cause = deadline, CauseDeadline
	}
	idle := p.openedRecord.GetIdleMs()
	if idle > 0 && p.startedCall() == nil && len(p.children) == 0 && p.lastActivity+idle < at {
		at, cause = p.lastActivity+idle, CauseIdle
	}
	return at, cause
}

// DueTasks returns the tasks that are due now, about MaxDueTasks at most. It
// returns a task again after taskRetryInterval until a record completes it.
// Its cost grows with the number of due tasks, not with the number of
// programs.
func (m *Machine) DueTasks(now time.Time) []LeaderTask {
	var tasks []LeaderTask
	nowUnixMs := now.UnixMilli()
	for len(m.dueHeap.entries) > 0 && len(tasks) < MaxDueTasks {
		entry := m.dueHeap.entries[0]
		if entry.dueAt > nowUnixMs {
			break
		}
		tasks = append(tasks, entry.program.dueTasks(nowUnixMs)...)
		m.dueHeap.schedule(entry, max(entry.program.nextTaskTime(), nowUnixMs+taskRetryInterval.Milliseconds()))
	}
	return tasks
}

// dueTasks returns the tasks that the program has at this time.
func (p *program) dueTasks(now int64) []LeaderTask {
	var tasks []LeaderTask
	if c := p.startedCall(); c != nil {
		tasks = append(tasks, LeaderTask{Kind: TaskResumeCall, Program: p.id, Tenant: p.tenant(), Call: p.callView(c)})
	}
	if !p.ended {
		if at, cause := p.endTime(); at <= now {
			tasks = append(tasks, LeaderTask{Kind: TaskEndProgram, Program: p.id, Tenant: p.tenant(), Cause: cause})
		}
		return tasks
	}
	if p.startedCall() == nil {
		for _, h := range p.holds {
			tasks = append(tasks, LeaderTask{Kind: TaskReleaseHold, Program: p.id, Tenant: p.tenant(), Hold: p.holdView(h)})
		}
	}
	if p.isRemovable() && p.endedAt+RetentionTime.Milliseconds() <= now {
		tasks = append(tasks, LeaderTask{Kind: TaskRemoveProgram, Program: p.id, Tenant: p.tenant()})
	}
	return tasks
}

func (p *program) holdView(h cacheHold) CacheHold {
	return CacheHold{
		Program:      p.id,
		Engine:       h.engine,
		Incarnation:  h.incarnation,
		Address:      h.address,
		ProgramEnded: p.ended,
	}
}

// Holds returns every hold of the shard, in no particular order. It visits all
// programs and is meant for the occasional comparison with an engine's own
// list.
func (m *Machine) Holds() []CacheHold {
	var holds []CacheHold
	for _, p := range m.programs {
		for _, h := range p.holds {
			holds = append(holds, p.holdView(h))
		}
	}
	return holds
}

// ProgramHolds returns the holds of one program.
func (m *Machine) ProgramHolds(id structs.ProgramID) []CacheHold {
	p, ok := m.programs[id]
	if !ok {
		return nil
	}
	holds := make([]CacheHold, 0, len(p.holds))
	for _, h := range p.holds {
		holds = append(holds, p.holdView(h))
	}
	return holds
}
