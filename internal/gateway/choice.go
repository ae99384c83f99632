package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
)

// balanceRequest says what the choice of a worker depends on: model requests
// of a program go where the program's prompts are in memory.
func (g *Gateway) balanceRequest(r *request) balance.Request {
	wanted := balance.Request{
		Service: r.service.Name, Tried: r.tried, HasIdleConnection: g.pool.HasIdleConnection, PriorityRank: r.urgency, Remaining: time.Until(r.deadline),
		TypicalLatency: g.waits.Estimate(r.service.Name).Mean(),
	}
	if r.service.Engine == nil || g.disabled(mechanism.Affinity) {
		return wanted
	}
	wanted.Affinity = r.envelope.Program
	if wanted.Affinity == "" && len(r.envelope.Prompt) > 0 {
		wanted.Affinity = r.envelope.Prompt[0].ID
	}
	return wanted
}

const (
	firstPriority = 1
	lastPriority  = 9
)

// priority ranks a request at its engine.
func (g *Gateway) priority(r *request) int { return min(lastPriority, firstPriority+r.urgency) }

// done ends an attempt.
func (g *Gateway) done(r *request, chosen directory.Worker, verdict balance.AttemptResult) {
	g.metrics.attempts.WithLabelValues(verdict.String()).Inc()
	if verdict == balance.Unreachable {
		g.unreached(r.service.Name, chosen)
	}
	if verdict == balance.Served || verdict == balance.Rejected || verdict == balance.WorkerError {
		g.zones.answered(chosen.Zone)
	}
	if verdict != balance.Rejected && verdict != balance.Unreachable {
		g.slotQueues.freed(r.service.Name)
	}
	if g.disabled(mechanism.Ejection) && verdict != balance.Rejected {
		verdict = balance.Served
	}
	g.subsets.Observe(r.service.Name, verdict, g.directory.View().Workers.Count(r.service.Name))
	if g.balancer.Done(chosen.ID, verdict) {
		eventEjected.Log("worker", chosen.ID, "address", chosen.Address, "request", r.envelope.RequestID, "why", verdict.String())
	}
}

// silent notes that a worker has kept a request waiting.
func (g *Gateway) silent(request string, chosen directory.Worker) {
	if !g.disabled(mechanism.Ejection) && g.balancer.RecordLateStart(chosen.ID) {
		g.unreached(chosen.Service, chosen)
		eventEjected.Log("worker", chosen.ID, "address", chosen.Address, "request", request, "why", "silence")
	}
}

// paced notes how long a worker took, as a multiple of what the route aims at.
func (g *Gateway) paced(chosen directory.Worker, took float64) {
	if !g.disabled(mechanism.PaceBalancing) {
		g.balancer.ObserveLatency(chosen.ID, took)
	}
}

// disabled reports whether an experiment leaves a mechanism out.
func (g *Gateway) disabled(name mechanism.Name) bool { return g.options.DisabledMechanisms.Has(name) }

// verdictOfAnswer tells a worker's own failures from its other answers.
func verdictOfAnswer(status int) balance.AttemptResult {
	if status >= http.StatusInternalServerError {
		return balance.WorkerError
	}
	return balance.Served
}

func verdictOfRejection(status int) balance.AttemptResult {
	if status == http.StatusMisdirectedRequest {
		return balance.Unreachable
	}
	return balance.Rejected
}

// verdictOfBreak blames the worker, unless the request ended here or the worker's whole zone
// is lost.
func verdictOfBreak(ctx context.Context, err error) balance.AttemptResult {
	var lost *ZoneLost
	var full *flowcontrol.BudgetExhausted
	if ctx.Err() != nil || errors.As(err, &lost) || errors.As(err, &full) {
		return balance.Canceled
	}
	return balance.Failed
}
