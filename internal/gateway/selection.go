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

// balanceRequest returns the inputs to worker selection. Model requests of a program have an
// affinity to the worker that has the program's prompts in memory.
func (g *Gateway) balanceRequest(r *request) balance.Request {
	selection := balance.Request{
		Service: r.service.Name, Tried: r.tried, HasIdleConnection: g.pool.HasIdleConnection, PriorityRank: r.priorityRank, Remaining: time.Until(r.deadline),
		TypicalLatency: g.firstEventLatencies.Estimate(r.service.Name).Mean(),
	}
	if r.service.Engine == nil || g.disabled(mechanism.Affinity) {
		return selection
	}
	selection.Affinity = r.metadata.Program
	if selection.Affinity == "" && len(r.metadata.Prompt) > 0 {
		selection.Affinity = r.metadata.Prompt[0].ID
	}
	return selection
}

const (
	highestEnginePriority = 1
	lowestEnginePriority  = 9
)

// enginePriority returns the priority of a request at its engine.
func (g *Gateway) enginePriority(r *request) int {
	return min(lowestEnginePriority, highestEnginePriority+r.priorityRank)
}

// attemptDone records the outcome of an attempt.
func (g *Gateway) attemptDone(r *request, chosen directory.Worker, result balance.AttemptResult) {
	g.metrics.attempts.WithLabelValues(result.String()).Inc()
	if result == balance.Unreachable {
		g.recordUnreachable(r.service.Name, chosen)
	}
	if result == balance.Served || result == balance.Rejected || result == balance.WorkerError {
		g.zoneMonitor.workerAnswered(chosen.Zone)
	}
	if result != balance.Rejected && result != balance.Unreachable {
		g.slotQueues.slotFreed(r.service.Name)
	}
	if g.disabled(mechanism.Ejection) && result != balance.Rejected {
		result = balance.Served
	}
	g.subsetSizes.Observe(r.service.Name, result, g.directory.View().Workers.Count(r.service.Name))
	if g.balancer.Done(chosen.ID, result) {
		eventWorkerEjected.Log("worker", chosen.ID, "address", chosen.Address, "request", r.metadata.RequestID, "why", result.String())
	}
}

// recordLateStart records that a worker has not begun to respond in time.
func (g *Gateway) recordLateStart(requestID string, chosen directory.Worker) {
	if !g.disabled(mechanism.Ejection) && g.balancer.RecordLateStart(chosen.ID) {
		g.recordUnreachable(chosen.Service, chosen)
		eventWorkerEjected.Log("worker", chosen.ID, "address", chosen.Address, "request", requestID, "why", "silence")
	}
}

// recordLatencyRatio records the latency of a response divided by the target latency of its route.
func (g *Gateway) recordLatencyRatio(chosen directory.Worker, latencyRatio float64) {
	if !g.disabled(mechanism.PaceBalancing) {
		g.balancer.ObserveLatency(chosen.ID, latencyRatio)
	}
}

// disabled reports whether an experiment disables a mechanism.
func (g *Gateway) disabled(name mechanism.Name) bool { return g.options.DisabledMechanisms.Has(name) }

// resultOfResponse distinguishes a worker's own errors from its other responses.
func resultOfResponse(status int) balance.AttemptResult {
	if status >= http.StatusInternalServerError {
		return balance.WorkerError
	}
	return balance.Served
}

func resultOfRejection(status int) balance.AttemptResult {
	if status == http.StatusMisdirectedRequest {
		return balance.Unreachable
	}
	return balance.Rejected
}

// resultOfFailure returns Failed, which counts against the worker, unless the request was
// canceled here, the worker's whole zone is lost, or this gateway has no memory left for the
// response.
func resultOfFailure(ctx context.Context, err error) balance.AttemptResult {
	var zoneLost *ZoneLost
	var exhausted *flowcontrol.BudgetExhausted
	if ctx.Err() != nil || errors.As(err, &zoneLost) || errors.As(err, &exhausted) {
		return balance.Canceled
	}
	return balance.Failed
}
