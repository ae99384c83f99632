package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// newRecord returns a record of the program without a body, with the leader's
// time.
func newRecord(now time.Time, id structs.ProgramID) *programv1.Record {
	return &programv1.Record{ProgramId: string(id), TimeUnixMs: now.UnixMilli()}
}

// repeatDecision is the decision for a request that the state already answers.
var repeatDecision = Decision{Repeat: true}

// Open opens a program, or a sub-agent of Parent with budget moved from the
// parent. Opening a sub-agent is also a decision on its parent: a caller that
// serializes decisions per program must include the parent. Package placement,
// not Open, checks whether the history may be stored in this shard. Errors:
// *failure.Malformed, *failure.CallConflict, *failure.UnknownProgram (parent),
// *failure.ProgramOver, *failure.BudgetExceeded.
func (m *Machine) Open(now time.Time, r OpenRequest) (Decision, error) {
	if p, exists := m.programs[r.ID]; exists {
		return p.decideRepeatedOpen(r)
	}
	if m.removed.contains(r.ID) {
		return Decision{}, &failure.ProgramOver{Cause: "removed"}
	}
	if err := m.checkOpen(r); err != nil {
		return Decision{}, err
	}
	record := newRecord(now, r.ID)
	record.Body = &programv1.Record_Opened{Opened: newProgramOpened(r)}
	if r.Parent == "" {
		return Decision{Records: []*programv1.Record{record}}, nil
	}
	grant, err := m.newGrantRecord(now, r)
	if err != nil {
		return Decision{}, err
	}
	return Decision{Records: []*programv1.Record{grant, record}}, nil
}

// decideRepeatedOpen distinguishes a repeated opening from a conflicting one.
func (p *program) decideRepeatedOpen(r OpenRequest) (Decision, error) {
	if p.tenant() != r.Tenant || p.openedRecord.GetRequestHash() != r.Hash {
		return Decision{}, &failure.CallConflict{What: "idempotency key of the opening"}
	}
	return repeatDecision, nil
}

func (m *Machine) checkOpen(r OpenRequest) error {
	shard, err := r.ID.Shard()
	if err != nil || shard != m.shard {
		return &failure.Malformed{Field: "program", Reason: "an id of this shard"}
	}
	if r.Budget.Negative() {
		return &failure.Malformed{Field: "budget", Reason: "no member below 0"}
	}
	if r.IdleTimeout < 0 {
		return &failure.Malformed{Field: "idle", Reason: "0 or more"}
	}
	return nil
}

// newGrantRecord returns the record that moves the child's budget out of its parent's.
func (m *Machine) newGrantRecord(now time.Time, r OpenRequest) (*programv1.Record, error) {
	parent, err := m.find(r.Tenant, r.Parent)
	if err != nil {
		return nil, err
	}
	if parent.ended {
		return nil, &failure.ProgramOver{Cause: parent.cause}
	}
	if r.Budget.Turns < 1 {
		return nil, &failure.Malformed{Field: "budget", Reason: "at least one turn for a sub-agent"}
	}
	if err := checkBudget(r.Budget, parent.remaining()); err != nil {
		return nil, err
	}
	body := &programv1.ChildOpened{ChildId: string(r.ID), Budget: amountToProto(r.Budget)}
	record := newRecord(now, r.Parent)
	record.Body = &programv1.Record_Child{Child: body}
	return record, nil
}

func newProgramOpened(r OpenRequest) *programv1.ProgramOpened {
	return &programv1.ProgramOpened{
		Tenant:         string(r.Tenant),
		ProgramName:    string(r.ProgramName),
		IdempotencyKey: r.IdempotencyKey,
		Budget:         amountToProto(r.Budget),
		DeadlineUnixMs: unixMsFromTime(r.Deadline),
		IdleMs:         r.IdleTimeout.Milliseconds(),
		HistoryZones:   convertStrings[string](r.HistoryZones),
		CacheZones:     convertStrings[string](r.CacheZones),
		ParentId:       string(r.Parent),
		Priority:       int32(r.Priority),
		RequestHash:    r.Hash,
	}
}

// Cancel cancels a call. A call that is not started will not run. A started
// call that is repeatable is marked for abandonment. A started call that is
// not repeatable runs to its end, and the decision is a repeat. Errors:
// *failure.UnknownProgram, *failure.UnknownCall.
func (m *Machine) Cancel(now time.Time, tenant structs.TenantID, id structs.ProgramID, number structs.CallNumber) (Decision, error) {
	p, err := m.find(tenant, id)
	if err != nil {
		return Decision{}, err
	}
	c := p.call(number)
	if c == nil {
		return Decision{}, &failure.UnknownCall{Number: uint32(number)}
	}
	pending := c.state == Accepted
	abandonable := c.state == Started && c.repeatable() && !c.abandonRequested
	if !pending && !abandonable {
		return repeatDecision, nil
	}
	record := newRecord(now, id)
	record.Body = &programv1.Record_Cancelled{Cancelled: &programv1.CallCancelled{Number: uint32(number)}}
	return Decision{Records: []*programv1.Record{record}}, nil
}

// End ends a program and its sub-agents. Calls that are not started will not
// run; started calls are treated as in Cancel. Error: *failure.UnknownProgram.
func (m *Machine) End(now time.Time, tenant structs.TenantID, id structs.ProgramID, cause string) (Decision, error) {
	p, err := m.find(tenant, id)
	if err != nil {
		return Decision{}, err
	}
	if p.ended {
		return repeatDecision, nil
	}
	record := newRecord(now, id)
	record.Body = &programv1.Record_Ended{Ended: &programv1.ProgramEnded{Cause: cause}}
	return Decision{Records: []*programv1.Record{record}}, nil
}

// RecordHoldReleased records that an engine confirmed the release of a hold,
// or that this incarnation of the engine is gone. Errors:
// *failure.UnknownProgram, and *failure.CallConflict while a started call uses
// the hold.
func (m *Machine) RecordHoldReleased(now time.Time, id structs.ProgramID, engine structs.EngineID, incarnation structs.Incarnation) (Decision, error) {
	p, err := m.findForAnyTenant(id)
	if err != nil {
		return Decision{}, err
	}
	if p.holdIndex(engine, incarnation) < 0 {
		return repeatDecision, nil
	}
	if p.usesEngine(engine, incarnation) {
		return Decision{}, &failure.CallConflict{What: "the hold is in use"}
	}
	body := &programv1.EngineReleased{EngineId: string(engine), EngineIncarnation: uint64(incarnation)}
	record := newRecord(now, id)
	record.Body = &programv1.Record_Released{Released: body}
	return Decision{Records: []*programv1.Record{record}}, nil
}

// Remove deletes an ended program after its retention time. Errors:
// *failure.UnknownProgram, and *failure.CallConflict while the program has
// work left or must still answer repeated requests.
func (m *Machine) Remove(now time.Time, id structs.ProgramID) (Decision, error) {
	p, err := m.findForAnyTenant(id)
	if err != nil {
		return Decision{}, err
	}
	if !p.isRemovable() || now.UnixMilli() < p.endedAt+RetentionTime.Milliseconds() {
		return Decision{}, &failure.CallConflict{What: "the program is not to be removed yet"}
	}
	record := newRecord(now, id)
	record.Body = &programv1.Record_Removed{Removed: &programv1.ProgramRemoved{}}
	return Decision{Records: []*programv1.Record{record}}, nil
}
