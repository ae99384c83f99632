package program

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// snapshotFormat is the format that Snapshot writes and Restore accepts.
const snapshotFormat = 1

// callStates assigns the numbers of call states in snapshots. Only append to
// it.
var callStates = []CallState{Accepted, Started, Finished, Failed, OutcomeUnknown, Refused, Cancelled}

// BadSnapshot reports a snapshot that this release cannot read.
type BadSnapshot struct{ Reason string }

func (e *BadSnapshot) Error() string { return fmt.Sprintf("snapshot of programs: %s", e.Reason) }

// Type returns "bad_snapshot".
func (e *BadSnapshot) Type() failure.Type { return "bad_snapshot" }

// Outcome returns failure.NotRun.
func (e *BadSnapshot) Outcome() failure.Outcome { return failure.NotRun }

// Retry returns the zero value: a retry cannot succeed.
func (e *BadSnapshot) Retry() failure.Retry { return failure.Retry{} }

// Snapshot returns the whole state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	snapshot := &programv1.Snapshot{
		Format:  snapshotFormat,
		Shard:   uint32(m.shard),
		Applied: m.applied,
	}
	for _, id := range m.sortedIDs() {
		snapshot.Programs = append(snapshot.Programs, m.programs[id].toProto())
	}
	for _, id := range m.removed.order {
		entry := &programv1.RemovedProgram{ProgramId: string(id), RemovedUnixMs: m.removed.times[id]}
		snapshot.Removed = append(snapshot.Removed, entry)
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

func (m *Machine) sortedIDs() []structs.ProgramID {
	ids := make([]structs.ProgramID, 0, len(m.programs))
	for id := range m.programs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (p *program) toProto() *programv1.ProgramState {
	state := &programv1.ProgramState{
		Id:             string(p.id),
		Opened:         p.openedRecord,
		OpenedUnixMs:   p.openedAt,
		ActivityUnixMs: p.lastActivity,
		Spent:          amountToProto(p.spent),
		Reserved:       amountToProto(p.reserved),
		Granted:        amountToProto(p.granted),
		ChildrenSpent:  amountToProto(p.childrenSpent),
		Ended:          p.ended,
		Cause:          p.cause,
		EndedUnixMs:    p.endedAt,
		Settled:        p.settled,
		HistoryTokens:  p.historyTokens,
	}
	for _, id := range sortedChildIDs(p) {
		grant := &programv1.Grant{ChildId: string(id), Budget: amountToProto(p.children[id])}
		state.Children = append(state.Children, grant)
	}
	for _, c := range p.calls {
		if c != nil {
			state.Calls = append(state.Calls, c.toProto())
		}
	}
	for _, h := range p.holds {
		state.Holds = append(state.Holds, h.toProto())
	}
	return state
}

func (h cacheHold) toProto() *programv1.EngineHold {
	return &programv1.EngineHold{
		EngineId:          string(h.engine),
		EngineIncarnation: uint64(h.incarnation),
		EngineAddress:     h.address,
	}
}

func (c *call) toProto() *programv1.CallState {
	return &programv1.CallState{
		Accepted:      c.acceptedRecord,
		State:         uint32(slices.Index(callStates, c.state)),
		Attempt:       c.attempt,
		DispatchKey:   c.dispatchKey,
		Started:       c.startedRecord,
		StartedUnixMs: c.startedAt,
		Abandon:       c.abandonRequested,
		MayHaveRun:    c.mayHaveRun,
		EndedEngines:  c.endedEngines,
		Answer:        c.answer,
		PromptTokens:  c.promptTokens,
		AnswerTokens:  c.answerTokens,
		ReusedTokens:  c.reusedTokens,
		Spent:         amountToProto(c.spent),
		FailureType:   c.failureType,
		FailureDetail: c.failureDetail,
	}
}

// Restore replaces the whole state with that of a snapshot. After an error the
// state is unchanged. The error is a *BadSnapshot.
func (m *Machine) Restore(data []byte) error {
	var snapshot programv1.Snapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return &BadSnapshot{Reason: err.Error()}
	}
	if snapshot.GetFormat() != snapshotFormat {
		return &BadSnapshot{Reason: fmt.Sprintf("format %d is not known", snapshot.GetFormat())}
	}
	if snapshot.GetShard() != uint32(m.shard) {
		return &BadSnapshot{Reason: fmt.Sprintf("of shard %d, not %d", snapshot.GetShard(), m.shard)}
	}
	restored := NewMachine(m.shard)
	restored.applied = snapshot.GetApplied()
	for _, state := range snapshot.GetPrograms() {
		if err := restored.restoreProgram(state); err != nil {
			return err
		}
	}
	for _, entry := range snapshot.GetRemoved() {
		restored.removed.add(structs.ProgramID(entry.GetProgramId()), entry.GetRemovedUnixMs())
	}
	*m = *restored
	return nil
}

func (m *Machine) restoreProgram(state *programv1.ProgramState) error {
	p := &program{
		id:            structs.ProgramID(state.GetId()),
		openedRecord:  state.GetOpened(),
		openedAt:      state.GetOpenedUnixMs(),
		lastActivity:  state.GetActivityUnixMs(),
		endedAt:       state.GetEndedUnixMs(),
		spent:         amountFromProto(state.GetSpent()),
		reserved:      amountFromProto(state.GetReserved()),
		granted:       amountFromProto(state.GetGranted()),
		childrenSpent: amountFromProto(state.GetChildrenSpent()),
		ended:         state.GetEnded(),
		cause:         state.GetCause(),
		settled:       state.GetSettled(),
		historyTokens: state.GetHistoryTokens(),
	}
	p.dueEntry.program = p
	p.restoreLists(state)
	if err := p.restoreCalls(state.GetCalls()); err != nil {
		return err
	}
	m.programs[p.id] = p
	m.reschedule(p)
	return nil
}

func (p *program) restoreLists(state *programv1.ProgramState) {
	if grants := state.GetChildren(); len(grants) > 0 {
		p.children = make(map[structs.ProgramID]structs.Amount, len(grants))
		for _, grant := range grants {
			p.children[structs.ProgramID(grant.GetChildId())] = amountFromProto(grant.GetBudget())
		}
	}
	for _, h := range state.GetHolds() {
		p.holds = append(p.holds, cacheHold{
			engine:      structs.EngineID(h.GetEngineId()),
			incarnation: structs.Incarnation(h.GetEngineIncarnation()),
			address:     h.GetEngineAddress(),
		})
	}
}

func (p *program) restoreCalls(states []*programv1.CallState) error {
	for _, state := range states {
		number := int(state.GetAccepted().GetNumber())
		if number <= len(p.calls) || number > len(p.calls)+MaxEarlyCalls+1 {
			return &BadSnapshot{Reason: fmt.Sprintf("call %d of program %s out of order", number, p.id)}
		}
		if int(state.GetState()) >= len(callStates) {
			return &BadSnapshot{Reason: fmt.Sprintf("call state %d is not known", state.GetState())}
		}
		for len(p.calls) < number-1 {
			p.calls = append(p.calls, nil)
		}
		p.calls = append(p.calls, callFromProto(state))
	}
	p.advancePositions()
	return nil
}

func callFromProto(state *programv1.CallState) *call {
	return &call{
		acceptedRecord:   state.GetAccepted(),
		state:            callStates[state.GetState()],
		attempt:          state.GetAttempt(),
		startedRecord:    state.GetStarted(),
		startedAt:        state.GetStartedUnixMs(),
		dispatchKey:      state.GetDispatchKey(),
		abandonRequested: state.GetAbandon(),
		mayHaveRun:       state.GetMayHaveRun(),
		endedEngines:     state.GetEndedEngines(),
		answer:           state.GetAnswer(),
		promptTokens:     state.GetPromptTokens(),
		answerTokens:     state.GetAnswerTokens(),
		reusedTokens:     state.GetReusedTokens(),
		spent:            amountFromProto(state.GetSpent()),
		failureType:      state.GetFailureType(),
		failureDetail:    state.GetFailureDetail(),
	}
}
