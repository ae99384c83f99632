package proof

import (
	"fmt"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	callerCount = 8
	mostCalls   = 8
	idleTime    = 2 * time.Minute
)

// caller runs one program: it issues its calls, at times two at once, asks any
// node, and repeats whatever it got no answer to.
type caller struct {
	cluster *cluster
	tenant  structs.TenantID
	key     string
	id      structs.ProgramID
	parent  *caller
	budget  structs.Amount
	calls   []program.CallRequest

	opened, over, done bool
	// vanished callers never come back.
	vanished bool
	answers  map[structs.CallNumber]program.CallResult
}

func (c *cluster) addCallers() {
	for i := range callerCount {
		added := &caller{cluster: c, tenant: structs.TenantID(fmt.Sprintf("tenant-%d", i%2)), key: fmt.Sprintf("program-%d", i),
			answers: map[structs.CallNumber]program.CallResult{}}
		added.budget = structs.Amount{Tokens: 3000, CostMicros: 200, Turns: 20, Milliseconds: 3000}
		added.id = structs.NewProgramID(c.domain, added.tenant, added.key)
		if i >= 2 && c.chance(2) {
			added.becomeChild(c.callers[i-2])
		}
		added.plan(c.drawLength())
		c.callers = append(c.callers, added)
	}
}

// drawLength lets half of the programs end soon, so that what is late reaches
// engines after the end.
func (c *cluster) drawLength() int {
	if c.chance(2) {
		return 1 + c.random.IntN(2)
	}
	return 1 + c.random.IntN(mostCalls)
}

// becomeChild makes the program a sub-agent with a small share of the budget.
func (p *caller) becomeChild(parent *caller) {
	p.parent = parent
	p.budget = structs.Amount{Tokens: 300, CostMicros: 20, Turns: 4, Milliseconds: 300}
	id, err := structs.NewChildID(parent.id, p.key)
	if err != nil {
		p.cluster.checker.violate("child id: %v", err)
	}
	p.id = id
}

func (p *caller) plan(calls int) {
	for i := range calls {
		request := program.CallRequest{
			Program: p.id, Tenant: p.tenant, Number: structs.CallNumber(i + 1), Kind: program.ModelCall, Target: "model",
			Repeatable: true, Input: fmt.Appendf(nil, "%s asks %d", p.key, i+1), MaxAnswerTokens: answerTokens, Hash: uint64(i + 1),
		}
		if p.cluster.chance(2) {
			request.Kind, request.Target, request.Repeatable = program.ToolCall, "tool", p.cluster.chance(3)
		}
		p.calls = append(p.calls, request)
	}
}

// step sends one request to any node.
func (p *caller) step() {
	if p.done || p.vanished {
		return
	}
	target := anyOf(p.cluster, p.cluster.nodes)
	switch next, more := p.nextCall(); {
	case !p.opened:
		p.ask(target, p.open, func(err error) {
			p.opened = p.opened || err == nil
			p.endOn(err)
		})
	case !more:
		p.ask(target, p.end, func(err error) {
			p.done = p.done || err == nil
			p.endOn(err)
		})
	case p.cluster.chance(40):
		p.ask(target, func(n *node) decider { return p.cancel(n, next) }, ignore)
	default:
		p.issue(target, next)
		if p.cluster.chance(3) {
			p.issue(target, next+1)
		}
	}
}

// nextCall is the first number without an answer.
func (p *caller) nextCall() (structs.CallNumber, bool) {
	for _, request := range p.calls {
		if _, answered := p.answers[request.Number]; !answered {
			return request.Number, true
		}
	}
	return 0, false
}

// ask sends a request to a node; its leader answers once the records are there.
func (p *caller) ask(target *node, decide func(*node) decider, answer func(error)) {
	p.cluster.network.send(p.key, target.name(), false, func() {
		if !target.serving() {
			return
		}
		target.dispatcher.request(p.id, decide(target), func(err error) {
			p.cluster.network.send(target.name(), p.key, false, func() { answer(err) })
		})
	})
}

func (p *caller) open(n *node) decider {
	request := program.OpenRequest{
		ID: p.id, Tenant: p.tenant, ProgramName: "p", IdempotencyKey: p.key, Budget: p.budget, IdleTimeout: idleTime, Hash: 1,
		HistoryZones: p.cluster.domain.Zones,
	}
	if p.parent != nil {
		request.Parent = p.parent.id
	}
	return func(m *program.Machine) (program.Decision, error) { return m.Open(n.now(), request) }
}

func (p *caller) end(n *node) decider {
	return func(m *program.Machine) (program.Decision, error) {
		return m.End(n.now(), p.tenant, p.id, program.CauseEnded)
	}
}

func (p *caller) cancel(n *node, number structs.CallNumber) decider {
	return func(m *program.Machine) (program.Decision, error) { return m.Cancel(n.now(), p.tenant, p.id, number) }
}

// issue sends a call, also one that was sent before.
func (p *caller) issue(target *node, number structs.CallNumber) {
	if int(number) > len(p.calls) {
		return
	}
	request := p.calls[number-1]
	p.cluster.network.send(p.key, target.name(), false, func() {
		if !target.serving() {
			return
		}
		accept := func(m *program.Machine) (program.Decision, error) { return m.Accept(target.now(), request) }
		target.dispatcher.request(p.id, accept, func(err error) {
			answer, known := program.CallResult{}, false
			if err == nil {
				answer, known = target.finalAnswer(p, number)
			}
			if err != nil || known {
				p.cluster.network.send(target.name(), p.key, false, func() { p.receive(number, answer, err) })
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

// receive takes an answer, or a refusal that was not recorded.
func (p *caller) receive(number structs.CallNumber, answer program.CallResult, err error) {
	if err != nil {
		p.endOn(err)
		return
	}
	p.cluster.report.Answers++
	p.cluster.checker.answered(p, number, answer)
	p.answers[number] = answer
}

// endOn ends the caller when its program is over: what it did not get accepted
// was refused.
func (p *caller) endOn(err error) {
	switch {
	case failure.IsType(err, "program_ended"), failure.IsType(err, "budget_exceeded"):
		p.done, p.over = true, true
	case failure.IsType(err, "unknown_program") && p.parent != nil && (p.parent.done || p.parent.vanished):
		p.done, p.over = true, true
	}
}
