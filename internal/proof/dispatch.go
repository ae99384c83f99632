package proof

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// answerTokens is the length of every answer; toolCost the price of a tool call.
const (
	answerTokens = 8
	toolCost     = 5
	callTime     = 50
)

// begin records the start of the call that may run, and sends it then.
func (d *dispatcher) begin(call *program.Call) {
	n := d.node
	if n.cluster.chance(40) {
		d.refuse(call, "engine_unavailable")
		return
	}
	request := program.StartRequest{
		Program: call.Program, Number: call.Number, TargetID: call.Target,
		DispatchKey: fmt.Sprintf("%s.%d.%d", call.Program, call.Number, call.Attempt+1),
		Reserve:     structs.Amount{CostMicros: toolCost, Milliseconds: callTime},
	}
	if call.Kind == program.ModelCall {
		target := anyOf(n.cluster, n.cluster.engines)
		request.TargetID, request.TargetIncarnation, request.MayCache = target.name, target.incarnation, true
		request.Reserve = structs.Amount{Tokens: promptTokens(d.prompt(call)) + answerTokens, Milliseconds: callTime}
	}
	decide := func(m *program.Machine) (program.Decision, error) { return m.Start(n.now(), request) }
	send := func(err error) {
		if failure.IsType(err, "budget_exceeded") {
			d.refuse(call, "budget_exceeded")
			return
		}
		d.sendStarted(request)
	}
	if n.cluster.options.InjectedBug == SendBeforeStartCommitted {
		if _, err := decide(n.machine); err == nil {
			early := *call
			early.DispatchKey, early.TargetID, early.TargetIncarnation = request.DispatchKey, request.TargetID, request.TargetIncarnation
			d.send(&early)
		}
		send = ignore
	}
	d.mutate(call.Program, decide, send)
}

// sendStarted sends the attempt if it is the one under way.
func (d *dispatcher) sendStarted(request program.StartRequest) {
	started, dispatched := d.node.machine.StartedCall(request.Program, request.Number, request.DispatchKey)
	if dispatched {
		d.send(started)
	} else if d.node.cluster.options.InjectedBug == SkipDispatchCheck {
		if call, found := d.node.machine.Call(request.Program, request.Number); found {
			call.DispatchKey, call.TargetID, call.TargetIncarnation = request.DispatchKey, request.TargetID, request.TargetIncarnation
			d.send(call)
		}
	}
}

func (d *dispatcher) send(call *program.Call) {
	d.waiting[call.DispatchKey] = patience
	if call.Kind == program.ModelCall {
		d.sendModel(call)
	} else {
		d.sendTool(call)
	}
}

// prompt is the program's history and the call's own input.
func (d *dispatcher) prompt(call *program.Call) []string {
	id := call.Program
	if d.node.cluster.options.InjectedBug == UseWrongHistory {
		id = anyOf(d.node.cluster, d.node.cluster.checker.programs())
	}
	turns, err := d.node.machine.History(id)
	if err != nil && d.node.cluster.options.InjectedBug != UseWrongHistory {
		d.node.cluster.checker.violate("history of %s: %v", id, err)
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

// sendModel opens the call's stream at its engine.
func (d *dispatcher) sendModel(call *program.Call) {
	n, target := d.node, d.node.cluster.engine(call.TargetID)
	segments := d.prompt(call)
	n.cluster.network.send(n.name(), target.name, true, func() {
		target.generate(call, segments, d.listener(call, target))
	})
}

// join takes up a stream that was opened before; where the engine does not
// know it, the attempt is given up.
func (d *dispatcher) join(call *program.Call) {
	n, target := d.node, d.node.cluster.engine(call.TargetID)
	d.waiting[call.DispatchKey] = patience
	n.cluster.network.send(n.name(), target.name, true, func() {
		target.join(call, d.listener(call, target))
	})
}

func (d *dispatcher) listener(call *program.Call, target *engine) func(streamResult) {
	n := d.node
	return func(r streamResult) {
		n.cluster.network.send(target.name, n.name(), true, func() { d.settleModel(call, r) })
	}
}

// settleModel records how an attempt at an engine ended.
func (d *dispatcher) settleModel(call *program.Call, r streamResult) {
	delete(d.waiting, call.DispatchKey)
	if r.gone {
		d.giveUp(call)
		return
	}
	request := program.FinishRequest{
		Program: call.Program, Number: call.Number, Attempt: call.Attempt,
		Answer: []byte(r.text), Spent: structs.Amount{Tokens: r.tokens, Milliseconds: callTime},
	}
	if r.cancelled {
		request.FailureType = "call_cancelled"
		request.Spent = call.Reserved
	}
	d.finish(request)
}

func (d *dispatcher) finish(request program.FinishRequest) {
	d.mutate(request.Program, func(m *program.Machine) (program.Decision, error) {
		return m.Finish(d.node.now(), request)
	}, ignore)
}

// giveUp takes back an attempt of a repeatable call that may have run; all of
// its reservation counts as spent.
func (d *dispatcher) giveUp(call *program.Call) {
	d.mutate(call.Program, func(m *program.Machine) (program.Decision, error) {
		return m.RecordNotRun(d.node.now(), program.NotRunRequest{
			Program: call.Program, Number: call.Number, Attempt: call.Attempt, GivenUp: true, Spent: call.Reserved,
		})
	}, ignore)
}

func (d *dispatcher) sendTool(call *program.Call) {
	n, tool := d.node, d.node.cluster.tool
	n.cluster.network.send(n.name(), tool.name(), true, func() {
		tool.call(call, func(r toolResult) {
			n.cluster.network.send(tool.name(), n.name(), true, func() { d.settleTool(call, r) })
		})
	})
}

func (d *dispatcher) settleTool(call *program.Call, r toolResult) {
	delete(d.waiting, call.DispatchKey)
	if !r.refused {
		spent := structs.Amount{CostMicros: toolCost, Milliseconds: callTime}
		d.finish(program.FinishRequest{
			Program: call.Program, Number: call.Number, Attempt: call.Attempt, Answer: []byte(r.text), Spent: spent,
		})
		return
	}
	final := d.node.cluster.chance(2)
	d.mutate(call.Program, func(m *program.Machine) (program.Decision, error) {
		return m.RecordNotRun(d.node.now(), program.NotRunRequest{
			Program: call.Program, Number: call.Number, Attempt: call.Attempt, Final: final, FailureType: "tool_refused",
		})
	}, ignore)
}

// resume takes up a started call whose answer this leader does not await.
func (d *dispatcher) resume(call *program.Call) {
	switch {
	case call.Kind == program.ModelCall && call.AbandonRequested:
		d.abandon(call)
	case call.Kind == program.ModelCall:
		d.join(call)
	case d.node.cluster.options.InjectedBug == ResendNonRepeatable:
		d.send(call)
	case d.node.cluster.options.InjectedBug == ReportStartedAsNotRun:
		d.settleTool(call, toolResult{refused: true})
	case call.Repeatable && d.node.cluster.options.InjectedBug == ResendTakenOver:
		d.send(call)
	case call.Repeatable:
		d.giveUp(call)
	default:
		d.learnOutcome(call)
	}
}

// abandon stops a stream that nobody wants any more.
func (d *dispatcher) abandon(call *program.Call) {
	n, target := d.node, d.node.cluster.engine(call.TargetID)
	d.waiting[call.DispatchKey] = patience
	n.cluster.network.send(n.name(), target.name, true, func() {
		r := target.cancel(call.DispatchKey)
		n.cluster.network.send(target.name, n.name(), true, func() { d.settleModel(call, r) })
	})
}

// learnOutcome asks the tool what became of a call; what it cannot tell is
// recorded as unknown.
func (d *dispatcher) learnOutcome(call *program.Call) {
	n, tool := d.node, d.node.cluster.tool
	d.waiting[call.DispatchKey] = patience
	n.cluster.network.send(n.name(), tool.name(), true, func() {
		text, ran := tool.results[call.DispatchKey]
		n.cluster.network.send(tool.name(), n.name(), true, func() {
			if ran {
				d.settleTool(call, toolResult{text: text})
				return
			}
			d.mutate(call.Program, func(m *program.Machine) (program.Decision, error) {
				return m.RecordOutcomeUnknown(n.now(), call.Program, call.Number, call.Attempt, "the tool cannot tell")
			}, ignore)
		})
	})
}
