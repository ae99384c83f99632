package program

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Apply takes over a committed journal entry: a RecordBatch. Records that the
// state does not permit are ignored, on every replica alike. Entries at or
// below the last index applied, and data that is no RecordBatch, change nothing.
func (m *Machine) Apply(index uint64, data []byte) {
	if index <= m.applied {
		return
	}
	m.applied = index
	var batch programv1.RecordBatch
	if err := proto.Unmarshal(data, &batch); err != nil {
		return
	}
	for _, record := range batch.GetRecords() {
		m.applyRecord(record)
	}
}

func (m *Machine) applyRecord(record *programv1.Record) {
	id := structs.ProgramID(record.GetProgramId())
	if opened := record.GetOpened(); opened != nil {
		m.applyOpened(id, record.GetTimeUnixMs(), opened)
		return
	}
	found, ok := m.programs[id]
	if !ok {
		return
	}
	if m.applyTo(found, record) {
		m.reschedule(found)
	}
}

// applyTo changes one program and reports whether it did.
func (m *Machine) applyTo(p *program, record *programv1.Record) bool {
	at := record.GetTimeUnixMs()
	switch body := record.GetBody().(type) {
	case *programv1.Record_Accepted:
		return p.applyAccepted(at, body.Accepted)
	case *programv1.Record_Started:
		return p.applyStarted(at, body.Started)
	case *programv1.Record_Finished:
		return m.settleAfter(p, p.applyFinished(at, body.Finished))
	case *programv1.Record_Unknown:
		return m.settleAfter(p, p.applyUnknown(at, body.Unknown))
	case *programv1.Record_NotRun:
		return m.settleAfter(p, p.applyNotRun(at, body.NotRun))
	case *programv1.Record_Cancelled:
		return p.applyCancelled(at, body.Cancelled)
	case *programv1.Record_Hold:
		return p.applyHold(body.Hold)
	case *programv1.Record_Released:
		return p.applyReleased(body.Released)
	case *programv1.Record_Child:
		return m.applyChild(p, at, body.Child)
	case *programv1.Record_Ended:
		return m.applyEnded(p, at, body.Ended)
	case *programv1.Record_Removed:
		m.applyRemoved(p, at)
		return false
	default:
		return false
	}
}

func (m *Machine) applyOpened(id structs.ProgramID, at int64, opened *programv1.ProgramOpened) {
	if _, exists := m.programs[id]; exists || m.removed.contains(id) {
		return
	}
	if parentID := structs.ProgramID(opened.GetParentId()); parentID != "" {
		parent, found := m.programs[parentID]
		if !found || parent.ended || !parent.hasGranted(id, amountFrom(opened.GetBudget())) {
			return
		}
	}
	added := &program{id: id, opened: opened, openedAt: at, activity: at}
	added.due.owner = added
	m.programs[id] = added
	m.reschedule(added)
}

// hasGranted reports whether the program granted exactly that budget to a child.
func (p *program) hasGranted(child structs.ProgramID, budget structs.Amount) bool {
	grant, found := p.children[child]
	return found && grant == budget
}

func (m *Machine) applyChild(p *program, at int64, body *programv1.ChildOpened) bool {
	child := structs.ProgramID(body.GetChildId())
	grant := amountFrom(body.GetBudget())
	if _, exists := m.programs[child]; exists || m.removed.contains(child) {
		return false
	}
	if _, exists := p.children[child]; exists || p.ended || grant.Negative() || !grant.Within(p.left()) {
		return false
	}
	if p.children == nil {
		p.children = map[structs.ProgramID]structs.Amount{}
	}
	p.children[child] = grant
	p.granted = p.granted.Plus(grant)
	p.touch(at)
	return true
}

func (p *program) applyAccepted(at int64, accepted *programv1.CallAccepted) bool {
	number := structs.CallNumber(accepted.GetNumber())
	if p.ended || !p.mayAccept(number) || p.call(number) != nil {
		return false
	}
	for len(p.calls) < int(number) {
		p.calls = append(p.calls, nil)
	}
	p.calls[number-1] = &call{accepted: accepted, state: Accepted}
	p.advance()
	p.touch(at)
	return true
}

// mayAccept reports whether the number is neither 0 nor too early.
func (p *program) mayAccept(number structs.CallNumber) bool {
	return number != 0 && int64(number) <= int64(p.accepted)+1+MaxEarlyCalls
}

// applyHold notes that the engine of the attempt under way may cache. The
// record follows its DispatchStarted in the same entry: a hold exists only for
// an attempt that was permitted, and before its first token.
func (p *program) applyHold(body *programv1.EngineHold) bool {
	engine := structs.EngineID(body.GetEngineId())
	incarnation := structs.Incarnation(body.GetEngineIncarnation())
	if !p.uses(engine, incarnation) || p.holdIndex(engine, incarnation) >= 0 {
		return false
	}
	p.holds = append(p.holds, hold{engine: engine, incarnation: incarnation, address: body.GetEngineAddress()})
	return true
}

func (p *program) applyReleased(body *programv1.EngineReleased) bool {
	engine := structs.EngineID(body.GetEngineId())
	incarnation := structs.Incarnation(body.GetEngineIncarnation())
	index := p.holdIndex(engine, incarnation)
	if index < 0 || p.uses(engine, incarnation) {
		return false
	}
	p.holds = append(p.holds[:index], p.holds[index+1:]...)
	return true
}

// uses reports whether the call under way was sent to that engine.
func (p *program) uses(engine structs.EngineID, incarnation structs.Incarnation) bool {
	issued := p.inFlight()
	return issued != nil && issued.accepted.GetKind() == programv1.CallKind_CALL_KIND_MODEL &&
		issued.started.GetTargetId() == string(engine) &&
		issued.started.GetTargetIncarnation() == uint64(incarnation)
}

func (m *Machine) applyRemoved(p *program, at int64) {
	if !p.removable() {
		return
	}
	m.due.remove(&p.due)
	delete(m.programs, p.id)
	m.removed.add(p.id, at)
}

// removable reports whether an ended program has nothing left to do. Its
// retention time is the proposer's concern.
func (p *program) removable() bool { return p.state() == Ended && len(p.holds) == 0 && p.settled }
