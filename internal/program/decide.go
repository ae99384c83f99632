package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// record starts a record of the program, stamped with the leader's clock.
func record(now time.Time, id structs.ProgramID) *programv1.Record {
	return &programv1.Record{ProgramId: string(id), TimeUnixMs: now.UnixMilli()}
}

// repeated is the decision where the state already answers.
var repeated = Decision{Repeat: true}

// Open opens a program, or a sub-agent of Parent with budget moved from it.
// The opening of a sub-agent counts as a decision on its parent: a caller that
// serialises decisions does so for both. Errors: *failure.Malformed,
// *failure.CallConflict, *failure.UnknownProgram (parent), *failure.ProgramOver,
// *failure.BudgetExceeded. Whether the history may rest in the shard is the
// concern of package placement.
func (m *Machine) Open(now time.Time, r OpenRequest) (Decision, error) {
	if found, exists := m.programs[r.ID]; exists {
		return found.reopen(r)
	}
	if m.removed.contains(r.ID) {
		return Decision{}, &failure.ProgramOver{Cause: "removed"}
	}
	if err := m.checkOpen(r); err != nil {
		return Decision{}, err
	}
	opened := record(now, r.ID)
	opened.Body = &programv1.Record_Opened{Opened: openedMessage(r)}
	if r.Parent == "" {
		return Decision{Records: []*programv1.Record{opened}}, nil
	}
	grant, err := m.grant(now, r)
	if err != nil {
		return Decision{}, err
	}
	return Decision{Records: []*programv1.Record{grant, opened}}, nil
}

// reopen tells a repeated opening from a conflict.
func (p *program) reopen(r OpenRequest) (Decision, error) {
	if p.tenant() != r.Tenant || p.opened.GetRequestHash() != r.Hash {
		return Decision{}, &failure.CallConflict{What: "idempotency key of the opening"}
	}
	return repeated, nil
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

// grant decides on moving the child's budget out of the parent's.
func (m *Machine) grant(now time.Time, r OpenRequest) (*programv1.Record, error) {
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
	if err := checkBudget(r.Budget, parent.left()); err != nil {
		return nil, err
	}
	body := &programv1.ChildOpened{ChildId: string(r.ID), Budget: amountMessage(r.Budget)}
	granted := record(now, r.Parent)
	granted.Body = &programv1.Record_Child{Child: body}
	return granted, nil
}

func openedMessage(r OpenRequest) *programv1.ProgramOpened {
	return &programv1.ProgramOpened{
		Tenant:         string(r.Tenant),
		ProgramName:    string(r.ProgramName),
		IdempotencyKey: r.IdempotencyKey,
		Budget:         amountMessage(r.Budget),
		DeadlineUnixMs: unixMilliseconds(r.Deadline),
		IdleMs:         r.IdleTimeout.Milliseconds(),
		HistoryZones:   texts[string](r.HistoryZones),
		CacheZones:     texts[string](r.CacheZones),
		ParentId:       string(r.Parent),
		Priority:       int32(r.Priority),
		RequestHash:    r.Hash,
	}
}

// Cancel cancels a call. One that is not started will not run. A started call
// that is repeatable is marked for abandonment; one that is not runs to its
// end, and the decision is a repeat. Errors: *failure.UnknownProgram,
// *failure.UnknownCall.
func (m *Machine) Cancel(now time.Time, tenant structs.TenantID, id structs.ProgramID, number structs.CallNumber) (Decision, error) {
	found, err := m.find(tenant, id)
	if err != nil {
		return Decision{}, err
	}
	issued := found.call(number)
	if issued == nil {
		return Decision{}, &failure.UnknownCall{Number: uint32(number)}
	}
	pending := issued.state == Accepted
	abandonable := issued.state == Started && issued.repeatable() && !issued.abandon
	if !pending && !abandonable {
		return repeated, nil
	}
	cancelled := record(now, id)
	cancelled.Body = &programv1.Record_Cancelled{Cancelled: &programv1.CallCancelled{Number: uint32(number)}}
	return Decision{Records: []*programv1.Record{cancelled}}, nil
}

// End ends a program and its sub-agents. Calls that are not started will not
// run; see Cancel for started ones. Error: *failure.UnknownProgram.
func (m *Machine) End(now time.Time, tenant structs.TenantID, id structs.ProgramID, cause string) (Decision, error) {
	found, err := m.find(tenant, id)
	if err != nil {
		return Decision{}, err
	}
	if found.ended {
		return repeated, nil
	}
	ended := record(now, id)
	ended.Body = &programv1.Record_Ended{Ended: &programv1.ProgramEnded{Cause: cause}}
	return Decision{Records: []*programv1.Record{ended}}, nil
}

// RecordHoldReleased records that an engine confirmed the release of a hold, or that its
// incarnation is gone. Errors: *failure.UnknownProgram, *failure.CallConflict
// while a call under way uses the hold.
func (m *Machine) RecordHoldReleased(now time.Time, id structs.ProgramID, engine structs.EngineID, incarnation structs.Incarnation) (Decision, error) {
	found, err := m.findAny(id)
	if err != nil {
		return Decision{}, err
	}
	if found.holdIndex(engine, incarnation) < 0 {
		return repeated, nil
	}
	if found.uses(engine, incarnation) {
		return Decision{}, &failure.CallConflict{What: "the hold is in use"}
	}
	body := &programv1.EngineReleased{EngineId: string(engine), EngineIncarnation: uint64(incarnation)}
	released := record(now, id)
	released.Body = &programv1.Record_Released{Released: body}
	return Decision{Records: []*programv1.Record{released}}, nil
}

// Remove forgets an ended program after its retention. Errors:
// *failure.UnknownProgram, *failure.CallConflict while it has duties or must
// still answer repeats.
func (m *Machine) Remove(now time.Time, id structs.ProgramID) (Decision, error) {
	found, err := m.findAny(id)
	if err != nil {
		return Decision{}, err
	}
	if !found.removable() || now.UnixMilli() < found.endedAt+RetentionTime.Milliseconds() {
		return Decision{}, &failure.CallConflict{What: "the program is not to be removed yet"}
	}
	removed := record(now, id)
	removed.Body = &programv1.Record_Removed{Removed: &programv1.ProgramRemoved{}}
	return Decision{Records: []*programv1.Record{removed}}, nil
}
