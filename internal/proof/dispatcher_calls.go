package proof

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Length of every answer in tokens, cost of a tool call, and duration of a call.
const (
	answerTokens     = 8
	toolCostMicros   = 5
	callMilliseconds = 50
)

// startCall commits the start of a runnable call and then sends it.
func (d *dispatcher) startCall(call *program.Call) {
	n := d.node
	if n.cluster.oneIn(40) {
		d.recordRejection(call, "engine_unavailable")
		return
	}
	request := program.StartRequest{
		Program: call.Program, Number: call.Number, TargetID: call.Target,
		DispatchKey: fmt.Sprintf("%s.%d.%d", call.Program, call.Number, call.Attempt+1),
		Reserve:     structs.Amount{CostMicros: toolCostMicros, Milliseconds: callMilliseconds},
	}
	if call.Kind == program.ModelCall {
		target := randomElement(n.cluster, n.cluster.engines)
		request.TargetID, request.TargetIncarnation, request.MayCache = target.name, target.incarnation, true
		request.Reserve = structs.Amount{Tokens: promptTokens(d.prompt(call)) + answerTokens, Milliseconds: callMilliseconds}
	}
	decide := func(m *program.Machine) (program.Decision, error) { return m.Start(n.now(), request) }
	send := func(err error) {
		if failure.IsType(err, "budget_exceeded") {
			d.recordRejection(call, "budget_exceeded")
			return
		}
		d.sendIfDispatched(request)
	}
	if n.cluster.options.InjectedBug == SendBeforeStartCommitted {
		if _, err := decide(n.machine); err == nil {
			early := *call
			early.DispatchKey, early.TargetID, early.TargetIncarnation = request.DispatchKey, request.TargetID, request.TargetIncarnation
			d.sendCall(&early)
		}
		send = ignoreError
	}
	d.propose(call.Program, decide, send)
}

// sendIfDispatched sends the attempt if its start took effect.
func (d *dispatcher) sendIfDispatched(request program.StartRequest) {
	started, dispatched := d.node.machine.StartedCall(request.Program, request.Number, request.DispatchKey)
	if dispatched {
		d.sendCall(started)
	} else if d.node.cluster.options.InjectedBug == SkipDispatchCheck {
		if call, found := d.node.machine.Call(request.Program, request.Number); found {
			call.DispatchKey, call.TargetID, call.TargetIncarnation = request.DispatchKey, request.TargetID, request.TargetIncarnation
			d.sendCall(call)
		}
	}
}

func (d *dispatcher) sendCall(call *program.Call) {
	d.turnsLeft[call.DispatchKey] = answerTimeoutTurns
	if call.Kind == program.ModelCall {
		d.sendModel(call)
	} else {
		d.sendTool(call)
	}
}

// prompt returns the history of the call's program and the input of the call.
func (d *dispatcher) prompt(call *program.Call) []string {
	id := call.Program
	if d.node.cluster.options.InjectedBug == UseWrongHistory {
		id = randomElement(d.node.cluster, d.node.cluster.checker.programIDs())
	}
	turns, err := d.node.machine.History(id)
	if err != nil && d.node.cluster.options.InjectedBug != UseWrongHistory {
		d.node.cluster.checker.reportViolation("cannot read the history of program %s: %v", id, err)
	}
	var segments []string
	for _, turn := range turns {
		segments = append(segments, string(turn.Input), string(turn.Answer))
	}
	return append(segments, string(call.Input))
}

func promptTokens(segments []string) int64 {
	total := int64(0)
	for _, segment := range segments {
		total += int64(len(segment)+3) / 4
	}
	return total
}

// sendModel opens a stream for the call at its engine.
func (d *dispatcher) sendModel(call *program.Call) {
	n, target := d.node, d.node.cluster.engine(call.TargetID)
	segments := d.prompt(call)
	n.cluster.network.send(n.name(), target.name, true, func() {
		target.openStream(call, segments, d.streamListener(call, target))
	})
}

// reattachStream attaches to a stream that was opened before. If the engine does not
// know the stream, the attempt is given up.
func (d *dispatcher) reattachStream(call *program.Call) {
	n, target := d.node, d.node.cluster.engine(call.TargetID)
	d.turnsLeft[call.DispatchKey] = answerTimeoutTurns
	n.cluster.network.send(n.name(), target.name, true, func() {
		target.attach(call, d.streamListener(call, target))
	})
}

func (d *dispatcher) streamListener(call *program.Call, target *engine) func(streamResult) {
	n := d.node
	return func(r streamResult) {
		n.cluster.network.send(target.name, n.name(), true, func() { d.recordStreamResult(call, r) })
	}
}

// recordStreamResult records the result of an attempt at an engine.
func (d *dispatcher) recordStreamResult(call *program.Call, r streamResult) {
	delete(d.turnsLeft, call.DispatchKey)
	if r.unknownStream {
		d.recordGivenUp(call)
		return
	}
	request := program.FinishRequest{
		Program: call.Program, Number: call.Number, Attempt: call.Attempt,
		Answer: []byte(r.text), Spent: structs.Amount{Tokens: r.tokens, Milliseconds: callMilliseconds},
	}
	if r.cancelled {
		request.FailureType = "call_cancelled"
		request.Spent = call.Reserved
	}
	d.recordFinish(request)
}

func (d *dispatcher) recordFinish(request program.FinishRequest) {
	d.propose(request.Program, func(m *program.Machine) (program.Decision, error) {
		return m.Finish(d.node.now(), request)
	}, ignoreError)
}

// recordGivenUp gives up an attempt of a repeatable call that may have been
// executed. The complete reservation counts as spent.
func (d *dispatcher) recordGivenUp(call *program.Call) {
	d.propose(call.Program, func(m *program.Machine) (program.Decision, error) {
		return m.RecordNotRun(d.node.now(), program.NotRunRequest{
			Program: call.Program, Number: call.Number, Attempt: call.Attempt, GivenUp: true, Spent: call.Reserved,
		})
	}, ignoreError)
}

func (d *dispatcher) sendTool(call *program.Call) {
	n, tool := d.node, d.node.cluster.tool
	n.cluster.network.send(n.name(), tool.name(), true, func() {
		tool.call(call, func(r toolResult) {
			n.cluster.network.send(tool.name(), n.name(), true, func() { d.recordToolResult(call, r) })
		})
	})
}

func (d *dispatcher) recordToolResult(call *program.Call, r toolResult) {
	delete(d.turnsLeft, call.DispatchKey)
	if !r.rejected {
		spent := structs.Amount{CostMicros: toolCostMicros, Milliseconds: callMilliseconds}
		d.recordFinish(program.FinishRequest{
			Program: call.Program, Number: call.Number, Attempt: call.Attempt, Answer: []byte(r.text), Spent: spent,
		})
		return
	}
	final := d.node.cluster.oneIn(2)
	d.propose(call.Program, func(m *program.Machine) (program.Decision, error) {
		return m.RecordNotRun(d.node.now(), program.NotRunRequest{
			Program: call.Program, Number: call.Number, Attempt: call.Attempt, Final: final, FailureType: "tool_refused",
		})
	}, ignoreError)
}

// resumeCall resumes a started call whose answer this leader is not waiting for.
func (d *dispatcher) resumeCall(call *program.Call) {
	switch {
	case call.Kind == program.ModelCall && call.AbandonRequested:
		d.cancelStream(call)
	case call.Kind == program.ModelCall:
		d.reattachStream(call)
	case d.node.cluster.options.InjectedBug == ResendNonRepeatable:
		d.sendCall(call)
	case d.node.cluster.options.InjectedBug == ReportStartedAsNotRun:
		d.recordToolResult(call, toolResult{rejected: true})
	case call.Repeatable && d.node.cluster.options.InjectedBug == ResendTakenOver:
		d.sendCall(call)
	case call.Repeatable:
		d.recordGivenUp(call)
	default:
		d.queryToolOutcome(call)
	}
}

// cancelStream cancels the stream of an abandoned call.
func (d *dispatcher) cancelStream(call *program.Call) {
	n, target := d.node, d.node.cluster.engine(call.TargetID)
	d.turnsLeft[call.DispatchKey] = answerTimeoutTurns
	n.cluster.network.send(n.name(), target.name, true, func() {
		r := target.cancelStream(call.DispatchKey)
		n.cluster.network.send(target.name, n.name(), true, func() { d.recordStreamResult(call, r) })
	})
}

// queryToolOutcome asks the tool for the result of a call. If the tool has none, the
// outcome is recorded as unknown.
func (d *dispatcher) queryToolOutcome(call *program.Call) {
	n, tool := d.node, d.node.cluster.tool
	d.turnsLeft[call.DispatchKey] = answerTimeoutTurns
	n.cluster.network.send(n.name(), tool.name(), true, func() {
		text, ran := tool.results[call.DispatchKey]
		n.cluster.network.send(tool.name(), n.name(), true, func() {
			if ran {
				d.recordToolResult(call, toolResult{text: text})
				return
			}
			d.propose(call.Program, func(m *program.Machine) (program.Decision, error) {
				return m.RecordOutcomeUnknown(n.now(), call.Program, call.Number, call.Attempt, "the tool cannot tell")
			}, ignoreError)
		})
	})
}
