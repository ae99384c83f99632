package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/failure"
)

var (
	eventStarted  = event.Define(2801, event.Info, "gateway started", "")
	eventStopping = event.Define(2802, event.Info, "planned stop of the gateway begun", "")
	eventStopped  = event.Define(2803, event.Info, "gateway stopped", "")
	eventRefused  = event.Define(2804, event.Info, "request refused", "")
	eventAborted  = event.Define(2805, event.Info, "answer broken off", "Look at the worker named; a turn is sent again by its program.")
	eventEjected  = event.Define(2806, event.Warning, "worker ejected after failures", "Look at the worker; it gets work again after the time named.")
)

// balanceRequest says what the choice of a worker depends on: model requests
// of a program go where the program's prompts are in memory.
func (g *Gateway) balanceRequest(r *request) balance.Request {
	wanted := balance.Request{Tried: r.tried}
	if r.service.Engine == nil {
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

// priority ranks a request at its engine by the route's own rank.
func (g *Gateway) priority(r *request) int {
	return min(lastPriority, firstPriority+2*r.route.Priority)
}

// done ends an attempt.
func (g *Gateway) done(r *request, chosen directory.Worker, verdict balance.Verdict) {
	if g.balancer.Done(chosen.ID, verdict) {
		eventEjected.Log("worker", chosen.ID, "address", chosen.Address, "request", r.envelope.RequestID)
	}
}

func verdictOfRejection(status int) balance.Verdict {
	if status == http.StatusMisdirectedRequest {
		return balance.Unreachable
	}
	return balance.TurnedAway
}

// verdictOfBreak blames the worker unless the request ended here.
func verdictOfBreak(ctx context.Context) balance.Verdict {
	if ctx.Err() != nil {
		return balance.Abandoned
	}
	return balance.Failed
}

func (g *Gateway) logRefusal(r *request, err error) {
	eventRefused.Log("request", r.envelope.RequestID, "program", r.envelope.Program, "status", statusOf(err),
		"type", string(failure.Classify(err).Type()), "cause", err.Error(), "worker", r.workerID,
		"last", errorText(r.lastError), "ran", len(r.ran), "turned_away", r.turnedAway,
		"held_ms", time.Since(r.received).Milliseconds())
}

func (g *Gateway) logAbort(r *request, cause error) {
	eventAborted.Log("request", r.envelope.RequestID, "program", r.envelope.Program, "cause", cause.Error(),
		"worker", r.workerID, "held_ms", time.Since(r.received).Milliseconds())
}

// logAnswer is where answers that went well are counted.
func (g *Gateway) logAnswer(*request, int) {}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
