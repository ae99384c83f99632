package program

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Apply applies a committed journal entry, which holds a RecordBatch. Every
// replica ignores the records that the state does not permit. Entries at or
// below the last applied index, and data that is not a RecordBatch, change
// nothing.
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
	p, ok := m.programs[id]
	if !ok {
		return
	}
	if m.applyToProgram(p, record) {
		m.reschedule(p)
	}
}

// applyToProgram applies the record to one program and reports whether the
// program changed.
func (m *Machine) applyToProgram(p *program, record *programv1.Record) bool {
	unixMs := record.GetTimeUnixMs()
	switch body := record.GetBody().(type) {
	case *programv1.Record_Accepted:
		return p.applyAccepted(unixMs, body.Accepted)
	case *programv1.Record_Started:
		return p.applyStarted(unixMs, body.Started)
	case *programv1.Record_Finished:
		return m.settleIfChanged(p, p.applyFinished(unixMs, body.Finished))
	case *programv1.Record_Unknown:
		return m.settleIfChanged(p, p.applyOutcomeUnknown(unixMs, body.Unknown))
	case *programv1.Record_NotRun:
		return m.settleIfChanged(p, p.applyNotRun(unixMs, body.NotRun))
	case *programv1.Record_Cancelled:
		return p.applyCancelled(unixMs, body.Cancelled)
	case *programv1.Record_Hold:
		return p.applyHold(body.Hold)
	case *programv1.Record_Released:
		return p.applyHoldReleased(body.Released)
	case *programv1.Record_Child:
		return m.applyChildOpened(p, unixMs, body.Child)
	case *programv1.Record_Ended:
		return m.applyEnded(p, unixMs, body.Ended)
	case *programv1.Record_Removed:
		m.applyRemoved(p, unixMs)
		return false
	default:
		return false
	}
}

func (m *Machine) applyOpened(id structs.ProgramID, unixMs int64, opened *programv1.ProgramOpened) {
	if _, exists := m.programs[id]; exists || m.removed.contains(id) {
		return
	}
	if parentID := structs.ProgramID(opened.GetParentId()); parentID != "" {
		parent, found := m.programs[parentID]
		if !found || parent.ended || !parent.hasGranted(id, amountFromProto(opened.GetBudget())) {
			return
		}
	}
	added := &program{id: id, openedRecord: opened, openedAt: unixMs, lastActivity: unixMs}
	added.dueEntry.program = added
	m.programs[id] = added
	m.reschedule(added)
}

// hasGranted reports whether the program granted exactly this budget to the
// child.
func (p *program) hasGranted(child structs.ProgramID, budget structs.Amount) bool {
	grant, found := p.children[child]
	return found && grant == budget
}

func (m *Machine) applyChildOpened(p *program, unixMs int64, body *programv1.ChildOpened) bool {
	child := structs.ProgramID(body.GetChildId())
	grant := amountFromProto(body.GetBudget())
	if _, exists := m.programs[child]; exists || m.removed.contains(child) {
		return false
	}
	if _, exists := p.children[child]; exists || p.ended || grant.Negative() || !grant.Within(p.remaining()) {
		return false
	}
	if p.children == nil {
		p.children = map[structs.ProgramID]structs.Amount{}
	}
	p.children[child] = grant
	p.granted = p.granted.Plus(grant)
	p.recordActivity(unixMs)
	return true
}

func (p *program) applyAccepted(unixMs int64, accepted *programv1.CallAccepted) bool {
	number := structs.CallNumber(accepted.GetNumber())
	if p.ended || !p.mayAccept(number) || p.call(number) != nil {
		return false
	}
	for len(p.calls) < int(number) {
		p.calls = append(p.calls, nil)
	}
	p.calls[number-1] = &call{acceptedRecord: accepted, state: Accepted}
	p.advancePositions()
	p.recordActivity(unixMs)
	return true
}

// mayAccept reports whether the number is neither 0 nor too far ahead.
func (p *program) mayAccept(number structs.CallNumber) bool {
	return number != 0 && int64(number) <= int64(p.acceptedPrefix)+1+MaxEarlyCalls
}

// applyHold records that the engine of the started attempt may cache data for
// the program. The record follows the attempt's DispatchStarted in the same
// entry, so a hold exists only for an attempt that was permitted, and before
// its first token.
func (p *program) applyHold(body *programv1.EngineHold) bool {
	engine := structs.EngineID(body.GetEngineId())
	incarnation := structs.Incarnation(body.GetEngineIncarnation())
	if !p.usesEngine(engine, incarnation) || p.holdIndex(engine, incarnation) >= 0 {
		return false
	}
	p.holds = append(p.holds, cacheHold{engine: engine, incarnation: incarnation, address: body.GetEngineAddress()})
	return true
}

func (p *program) applyHoldReleased(body *programv1.EngineReleased) bool {
	engine := structs.EngineID(body.GetEngineId())
	incarnation := structs.Incarnation(body.GetEngineIncarnation())
	index := p.holdIndex(engine, incarnation)
	if index < 0 || p.usesEngine(engine, incarnation) {
		return false
	}
	p.holds = append(p.holds[:index], p.holds[index+1:]...)
	return true
}

// usesEngine reports whether the started call was sent to this engine.
func (p *program) usesEngine(engine structs.EngineID, incarnation structs.Incarnation) bool {
	c := p.startedCall()
	return c != nil && c.acceptedRecord.GetKind() == programv1.CallKind_CALL_KIND_MODEL &&
		c.startedRecord.GetTargetId() == string(engine) &&
		c.startedRecord.GetTargetIncarnation() == uint64(incarnation)
}

func (m *Machine) applyRemoved(p *program, unixMs int64) {
	if !p.isRemovable() {
		return
	}
	m.dueHeap.remove(&p.dueEntry)
	delete(m.programs, p.id)
	m.removed.add(p.id, unixMs)
}

// isRemovable reports whether an ended program has no work left. The proposer
// checks the retention time.
func (p *program) isRemovable() bool { return p.state() == Ended && len(p.holds) == 0 && p.settled }
