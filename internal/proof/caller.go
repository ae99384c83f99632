package proof

import (
	"fmt"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	callerCount        = 8
	maxCallsPerProgram = 8
	idleTimeout        = 2 * time.Minute
)

// caller runs one program. It sends its calls to random nodes, sometimes two at
// once, and repeats the calls that it received no answer to.
type caller struct {
	cluster *cluster
	tenant  structs.TenantID
	key     string
	id      structs.ProgramID
	parent  *caller
	budget  structs.Amount
	calls   []program.CallRequest

	programOpened, programEnded, done bool
	// disconnected callers send nothing any more.
	disconnected bool
	answers      map[structs.CallNumber]program.CallResult
}

func (c *cluster) addCallers() {
	for i := range callerCount {
		added := &caller{cluster: c, tenant: structs.TenantID(fmt.Sprintf("tenant-%d", i%2)), key: fmt.Sprintf("program-%d", i),
			answers: map[structs.CallNumber]program.CallResult{}}
		added.budget = structs.Amount{Tokens: 3000, CostMicros: 200, Turns: 20, Milliseconds: 3000}
		added.id = structs.NewProgramID(c.domain, added.tenant, added.key)
		if i >= 2 && c.oneIn(2) {
			added.setParent(c.callers[i-2])
		}
		added.generateCalls(c.randomCallCount())
		c.callers = append(c.callers, added)
	}
}

// randomCallCount returns a small count for half of the programs. These end early,
// so delayed messages reach engines after the end of the program.
func (c *cluster) randomCallCount() int {
	if c.oneIn(2) {
		return 1 + c.random.IntN(2)
	}
	return 1 + c.random.IntN(maxCallsPerProgram)
}

// setParent makes the program a sub-agent with a small budget.
func (p *caller) setParent(parent *caller) {
	p.parent = parent
	p.budget = structs.Amount{Tokens: 300, CostMicros: 20, Turns: 4, Milliseconds: 300}
	id, err := structs.NewChildID(parent.id, p.key)
	if err != nil {
		p.cluster.checker.reportViolation("cannot create child ID: %v", err)
	}
	p.id = id
}

func (p *caller) generateCalls(calls int) {
	for i := range calls {
		request := program.CallRequest{
			Program: p.id, Tenant: p.tenant, Number: structs.CallNumber(i + 1), Kind: program.ModelCall, Target: "model",
			Repeatable: true, Input: fmt.Appendf(nil, "%s asks %d", p.key, i+1), MaxAnswerTokens: answerTokens, Hash: uint64(i + 1),
		}
		if p.cluster.oneIn(2) {
			request.Kind, request.Target, request.Repeatable = program.ToolCall, "tool", p.cluster.oneIn(3)
		}
		p.calls = append(p.calls, request)
	}
}

// sendNextRequest sends the next request to a random node.
func (p *caller) sendNextRequest() {
	if p.done || p.disconnected {
		return
	}
	target := randomElement(p.cluster, p.cluster.nodes)
	switch next, exists := p.firstUnanswered(); {
	case !p.programOpened:
		p.sendRequest(target, p.openDecision, func(err error) {
			p.programOpened = p.programOpened || err == nil
			p.stopOnError(err)
		})
	case !exists:
		p.sendRequest(target, p.endDecision, func(err error) {
			p.done = p.done || err == nil
			p.stopOnError(err)
		})
	case p.cluster.oneIn(40):
		p.sendRequest(target, func(n *node) decisionFunc { return p.cancelDecision(n, next) }, ignoreError)
	default:
		p.sendCall(target, next)
		if p.cluster.oneIn(3) {
			p.sendCall(target, next+1)
		}
	}
}

// firstUnanswered returns the number of the first call without an answer.
func (p *caller) firstUnanswered() (structs.CallNumber, bool) {
	for _, request := range p.calls {
		if _, answered := p.answers[request.Number]; !answered {
			return request.Number, true
		}
	}
	return 0, false
}

// sendRequest sends a request to a node. The node answers as leader once the
// resulting records are applied, or once the request is rejected.
func (p *caller) sendRequest(target *node, decide func(*node) decisionFunc, answer func(error)) {
	p.cluster.network.send(p.key, target.name(), false, func() {
		if !target.isServing() {
			return
		}
		target.dispatcher.proposeForCaller(p.id, decide(target), func(err error) {
			p.cluster.network.send(target.name(), p.key, false, func() { answer(err) })
		})
	})
}

func (p *caller) openDecision(n *node) decisionFunc {
	request := program.OpenRequest{
		ID: p.id, Tenant: p.tenant, ProgramName: "p", IdempotencyKey: p.key, Budget: p.budget, IdleTimeout: idleTimeout, Hash: 1,
		HistoryZones: p.cluster.domain.Zones,
	}
	if p.parent != nil {
		request.Parent = p.parent.id
	}
	return func(m *program.Machine) (program.Decision, error) { return m.Open(n.now(), request) }
}

func (p *caller) endDecision(n *node) decisionFunc {
	return func(m *program.Machine) (program.Decision, error) {
		return m.End(n.now(), p.tenant, p.id, program.CauseEnded)
	}
}

func (p *caller) cancelDecision(n *node, number structs.CallNumber) decisionFunc {
	return func(m *program.Machine) (program.Decision, error) { return m.Cancel(n.now(), p.tenant, p.id, number) }
}

// sendCall sends a call, which may have been sent before.
func (p *caller) sendCall(target *node, number structs.CallNumber) {
	if int(number) > len(p.calls) {
		return
	}
	request := p.calls[number-1]
	p.cluster.network.send(p.key, target.name(), false, func() {
		if !target.isServing() {
			return
		}
		accept := func(m *program.Machine) (program.Decision, error) { return m.Accept(target.now(), request) }
		target.dispatcher.proposeForCaller(p.id, accept, func(err error) {
			answer, known := program.CallResult{}, false
			if err == nil {
				answer, known = target.finalAnswer(p, number)
			}
			if err != nil || known {
				p.cluster.network.send(target.name(), p.key, false, func() { p.receiveAnswer(number, answer, err) })
			}
		})
	})
}

func (n *node) finalAnswer(p *caller, number structs.CallNumber) (program.CallResult, bool) {
	answer, err := n.machine.CallResult(p.tenant, p.id, number)
	if err != nil || !answer.State.Final() {
		return answer, false
	}
	if n.cluster.options.InjectedBug == TruncateAnswers {
		answer.Answer = answer.Answer[:len(answer.Answer)/2]
	}
	return answer, true
}

// receiveAnswer processes an answer or the error of a rejected call.
func (p *caller) receiveAnswer(number structs.CallNumber, answer program.CallResult, err error) {
	if err != nil {
		p.stopOnError(err)
		return
	}
	p.cluster.report.Answers++
	p.cluster.checker.checkAnswer(p, number, answer)
	p.answers[number] = answer
}

// stopOnError stops the caller when its program has ended. Calls that were not
// accepted before the end count as rejected.
func (p *caller) stopOnError(err error) {
	switch {
	case failure.IsType(err, "program_ended"), failure.IsType(err, "budget_exceeded"):
		p.done, p.programEnded = true, true
	case failure.IsType(err, "unknown_program") && p.parent != nil && (p.parent.done || p.parent.disconnected):
		p.done, p.programEnded = true, true
	}
}
