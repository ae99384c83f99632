package program

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// TestMain sets a fixed seed so that every run gives the same result. The
// flags -rapid.seed, -rapid.checks and -rapid.steps override the defaults, for
// example for long runs.
func TestMain(m *testing.M) {
	fuzzseed.Main(m, fuzzseed.Defaults{"rapid.seed": "20260102", "rapid.checks": "300", "rapid.steps": "100"})
}

// command is one request to the machine and to the oracle.
type command struct {
	decide func(*Machine) (Decision, error)
	expect func() effect
}

// model runs the machine and the oracle on the same commands.
type model struct {
	machine *Machine
	oracle  oracle
	entries [][]byte
	now     time.Time
	keys    int
}

func (m *model) append(t require.TestingT, decision Decision) {
	data, err := proto.Marshal(decision.Batch())
	require.NoError(t, err)
	m.entries = append(m.entries, data)
	m.machine.Apply(uint64(len(m.entries)), data)
}

// decide sends the command to both and compares the results. It returns done
// if records are to be committed.
func (m *model) decide(t require.TestingT, c command) (decision Decision, done bool) {
	expected := c.expect()
	decision, err := c.decide(m.machine)
	switch {
	case err != nil:
		require.Equal(t, expected.refusal, failure.Classify(err).Type(), "%v", err)
	case decision.Repeat:
		require.Equal(t, expected.refusal, repeatEffect.refusal)
	default:
		require.Empty(t, expected.refusal)
		return decision, true
	}
	return decision, false
}

// commit applies a decision that was made earlier. It must change nothing if
// the state no longer permits it.
func (m *model) commit(t require.TestingT, c command, decision Decision) {
	expected := c.expect()
	m.append(t, decision)
	if expected.apply != nil {
		expected.apply()
	}
	m.propagateActivity()
}

// propagateActivity counts the settlement of a child as activity of its
// parent.
func (m *model) propagateActivity() {
	for changed := true; changed; {
		changed = false
		for _, p := range m.oracle {
			if p.settled() && !p.settlementPropagated && p.parent != nil {
				p.parent.recordActivity(p.lastActivity)
				p.settlementPropagated, changed = true, true
			}
		}
	}
}

// run executes a command. In some runs its records are lost, as when the
// leader fails.
func (m *model) run(t *rapid.T, c command) {
	decision, done := m.decide(t, c)
	if done && rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
		m.commit(t, c, decision)
	}
}

// commitConcurrently decides two commands against the same state and commits
// both.
func (m *model) commitConcurrently(t *rapid.T) {
	first, second := m.drawCommand(t), m.drawCommand(t)
	decisionA, doneA := m.decide(t, first)
	decisionB, doneB := m.decide(t, second)
	if doneA {
		m.commit(t, first, decisionA)
	}
	if doneB {
		m.commit(t, second, decisionB)
	}
}

func (m *model) replaceLeader(t *rapid.T) {
	next := NewMachine(testShard)
	snapshotAt := rapid.IntRange(0, len(m.entries)).Draw(t, "snapshot")
	for i, data := range m.entries[:snapshotAt] {
		next.Apply(uint64(i+1), data)
	}
	data, err := next.Snapshot()
	require.NoError(t, err)
	next = NewMachine(testShard)
	require.NoError(t, next.Restore(data))
	for i, data := range m.entries {
		next.Apply(uint64(i+1), data)
	}
	before, err := m.machine.Snapshot()
	require.NoError(t, err)
	after, err := next.Snapshot()
	require.NoError(t, err)
	require.Equal(t, before, after, "every replica must reach the same state")
	m.machine = next
}

func drawAmount(t *rapid.T, most int64) structs.Amount {
	return structs.Amount{
		Tokens:       rapid.Int64Range(0, most).Draw(t, "tokens"),
		CostMicros:   rapid.Int64Range(0, most).Draw(t, "cost"),
		Turns:        rapid.Int64Range(1, 12).Draw(t, "turns"),
		Milliseconds: rapid.Int64Range(0, most).Draw(t, "milliseconds"),
	}
}

func (m *model) drawOpen(t *rapid.T) command {
	r := OpenRequest{Tenant: testTenant, IdleTimeout: time.Minute, Hash: uint64(rapid.IntRange(0, 9).Draw(t, "hash") / 9)}
	r.ID = structs.NewProgramID(testDomain, testTenant, fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")))
	if len(m.oracle) > 0 && rapid.Bool().Draw(t, "child") {
		r.Parent = m.drawProgram(t)
		r.ID, _ = structs.NewChildID(r.Parent, fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "child key")))
	}
	r.Budget = drawAmount(t, 1000)
	if rapid.Bool().Draw(t, "deadline") {
		r.Deadline = m.now.Add(time.Hour)
	}
	return command{
		func(machine *Machine) (Decision, error) { return machine.Open(m.now, r) },
		func() effect { return m.oracle.open(m.now, r) },
	}
}

func (m *model) drawProgram(t *rapid.T) structs.ProgramID {
	ids := make([]structs.ProgramID, 0, len(m.oracle))
	for id := range m.oracle {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "program")
}

// drawCommand returns any command, including commands that must be refused.
func (m *model) drawCommand(t *rapid.T) command {
	if len(m.oracle) == 0 || rapid.IntRange(0, 7).Draw(t, "open") == 0 {
		return m.drawOpen(t)
	}
	id, now := m.drawProgram(t), m.now
	p := m.oracle[id]
	number := max(1, p.cursor()+structs.CallNumber(rapid.IntRange(-1, 1).Draw(t, "ahead")))
	attempt := uint32(rapid.IntRange(0, 1).Draw(t, "attempt"))
	if call := p.calls[number]; call != nil && rapid.Bool().Draw(t, "right") {
		attempt = call.attempt
	}
	spent := drawAmount(t, 150)
	engine := rapid.SampledFrom([]structs.EngineID{"e1", "e2"}).Draw(t, "engine")
	switch rapid.IntRange(0, 10).Draw(t, "command") {
	case 0, 1:
		return m.drawAccept(t, id, number)
	case 2, 3, 4:
		m.keys++
		r := StartRequest{Program: id, Number: number, TargetID: string(engine), TargetIncarnation: 1,
			DispatchKey: fmt.Sprint(m.keys), Reserve: spent, MayCache: true}
		if call := p.calls[number]; call != nil {
			r.MayCache = call.request.Kind == ModelCall
		}
		return command{
			func(machine *Machine) (Decision, error) { return machine.Start(now, r) },
			func() effect { return m.oracle.start(now, r) },
		}
	case 5:
		return m.drawFinish(t, FinishRequest{Program: id, Number: number, Attempt: attempt, Spent: spent})
	case 6:
		return m.drawNotRun(t, NotRunRequest{Program: id, Number: number, Attempt: attempt, Spent: spent})
	case 7:
		return command{
			func(machine *Machine) (Decision, error) {
				return machine.RecordOutcomeUnknown(now, id, number, attempt, "")
			},
			func() effect {
				return m.oracle.settleAttempt(now, id, number, attempt, structs.Amount{Tokens: 1e9, CostMicros: 1e9, Turns: 1e9, Milliseconds: 1e9},
					func(call *oracleCall) { call.state = OutcomeUnknown })
			},
		}
	case 8:
		return command{
			func(machine *Machine) (Decision, error) { return machine.Cancel(now, testTenant, id, number) },
			func() effect { return m.oracle.cancel(now, id, number) },
		}
	case 9:
		return command{
			func(machine *Machine) (Decision, error) { return machine.RecordHoldReleased(now, id, engine, 1) },
			func() effect { return m.oracle.releaseHold(id, engine) },
		}
	}
	if p.ended {
		return command{
			func(machine *Machine) (Decision, error) { return machine.Remove(now, id) },
			func() effect { return m.oracle.remove(now, id) },
		}
	}
	return command{
		func(machine *Machine) (Decision, error) { return machine.End(now, testTenant, id, CauseEnded) },
		func() effect { return m.oracle.end(now, id) },
	}
}

func (m *model) drawAccept(t *rapid.T, id structs.ProgramID, number structs.CallNumber) command {
	if rapid.IntRange(0, 19).Draw(t, "too early") == 0 {
		number += MaxEarlyCalls
	}
	r := modelCall(id, number)
	if rapid.Bool().Draw(t, "tool") {
		r = toolCall(id, number)
		r.Repeatable = rapid.Bool().Draw(t, "repeatable")
	}
	if earlier := m.oracle[id].calls[number]; earlier != nil {
		r = earlier.request
	}
	r.Hash += uint64(rapid.IntRange(0, 9).Draw(t, "hash") / 9)
	r.Input = fmt.Appendf(nil, "%s/%d", id, number)
	state := Accepted
	if m.oracle[id].remaining().Turns < 1 {
		state = Refused
	}
	return command{
		func(machine *Machine) (Decision, error) { return machine.Accept(m.now, r) },
		func() effect { return m.oracle.accept(m.now, r, state) },
	}
}

func (m *model) drawFinish(t *rapid.T, r FinishRequest) command {
	r.Answer = fmt.Appendf(nil, "answer to %s/%d", r.Program, r.Number)
	if rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
		r.FailureType = "tool_failed"
	}
	spent := r.Spent
	spent.Turns = 1
	return command{
		func(machine *Machine) (Decision, error) { return machine.Finish(m.now, r) },
		func() effect {
			return m.oracle.settleAttempt(m.now, r.Program, r.Number, r.Attempt, spent, func(call *oracleCall) {
				call.state, call.answer = Finished, r.Answer
				if r.FailureType != "" {
					call.state = Failed
				}
			})
		},
	}
}

func (m *model) drawNotRun(t *rapid.T, r NotRunRequest) command {
	r.GivenUp, r.Final = rapid.Bool().Draw(t, "given up"), rapid.Bool().Draw(t, "final")
	if !r.GivenUp {
		r.Spent.Tokens, r.Spent.CostMicros = 0, 0
	}
	return command{
		func(machine *Machine) (Decision, error) { return machine.RecordNotRun(m.now, r) },
		func() effect { return m.oracle.notRun(m.now, r) },
	}
}

func TestMachineAgainstOracle(t *testing.T) {
	steps, histories := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{machine: NewMachine(testShard), oracle: oracle{}, now: testStart}
		t.Repeat(map[string]func(*rapid.T){
			"command":  func(t *rapid.T) { m.run(t, m.drawCommand(t)) },
			"command2": func(t *rapid.T) { m.run(t, m.drawCommand(t)) },
			"command3": func(t *rapid.T) { m.run(t, m.drawCommand(t)) },
			"race":     m.commitConcurrently,
			"clock": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(-20, 700).Draw(t, "seconds")) * time.Second)
			},
			"new leader": m.replaceLeader,
			"repeated entry": func(t *rapid.T) {
				if len(m.entries) > 0 {
					data := m.entries[rand.New(rand.NewPCG(1, uint64(len(m.entries)))).IntN(len(m.entries))]
					m.machine.Apply(uint64(len(m.entries)), data)
				}
			},
			"": func(t *rapid.T) {
				steps++
				histories += m.check(t)
			},
		})
	})
	t.Logf("%d steps, %d histories checked", steps, histories)
	require.Positive(t, histories)
}
