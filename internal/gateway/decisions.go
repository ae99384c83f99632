package gateway

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// Every decision that touches a request is a numbered event with the request's
// id. They are written when the request has ended: all of them where it failed or
// was late, the last one where it went well. Lines of requests that
// went well give way when the log is busy.
var (
	eventStarted      = event.Define(2801, event.Info, "gateway started", "")
	eventStopping     = event.Define(2802, event.Info, "planned stop of the gateway begun", "")
	eventUndiscovered = event.Define(2865, event.Warning, "the platform's store does not tell a gateway its system; replicas are believed until it does", "Look at the store and the path to it. If the process ends for a foreign system, look whose processes its seeds lead to.")
	eventEnded        = event.Define(2866, event.Error, "the gateway ends without being told to", "Look at the cause; a process that a panic ends writes its stack to standard error.")
	eventStopped      = event.Define(2803, event.Info, "gateway stopped", "")
	eventRefused      = event.Define(2804, event.Info, "request refused", "Look at the type: docs/operations/refusals.md.")
	eventAborted      = event.Define(2805, event.Info, "answer broken off", "Look at the worker named; a turn is sent again by its program.")
	eventEjected      = event.Define(2806, event.Warning, "worker ejected after failures", "Look at the worker; it gets work again after a while.")
	eventRouted       = event.Define(2810, event.Info, "route chosen", "")
	eventChosen       = event.Define(2811, event.Info, "worker chosen", "")
	eventNotRun       = event.Define(2812, event.Info, "attempt did not run", "")
	eventLost         = event.Define(2813, event.Info, "attempt lost its answer", "")
	eventResumed      = event.Define(2814, event.Info, "stream goes on after a break", "")
	eventReserved     = event.Define(2815, event.Info, "budget reserved", "")
	eventKept         = event.Define(2816, event.Info, "turn kept", "")
	eventAnswered     = event.Define(2817, event.Info, "request answered", "")
	eventHeld         = event.Define(2820, event.Info, "request waited", "")
	eventIneligible   = event.Define(2821, event.Info, "workers passed over", "")
	eventConfined     = event.Define(2825, event.Info, "request confined to regions", "")
	eventPanicked     = event.Define(2823, event.Error, "a request ended in a panic; its client got no answer, and a worker may have run it", "Report it with the stack.")
	eventCrossed      = event.Define(2824, event.Info, "a request crossed the close of its connection and went no further", "")
	eventLent         = event.Define(2861, event.Info, "part of the program's budget lent", "")
	eventDrawn        = event.Define(2862, event.Info, "turn draws on a loan", "")
	eventUndrawn      = event.Define(2864, event.Info, "turn draws on no loan", "")
	eventReturned     = event.Define(2863, event.Info, "loan taken back", "")
	eventCold         = event.Define(2841, event.Info, "workers count as cold", "")
	eventNoPass       = event.Define(2842, event.Info, "a cold worker may not get the request now", "")
	eventBegun        = event.Define(2818, event.Info, "worker began to answer", "")
)

// decision is one line about a request, written when the request has ended.
type decision struct {
	event event.Event
	// after is the time since the request came in.
	after  time.Duration
	values []any
}

// recoverPanic writes why a request ended without an answer, which the library would only close the
// connection for.
func (g *Gateway) recoverPanic(incoming *http.Request) {
	reason := recover()
	if reason == nil {
		return
	}
	if reason != http.ErrAbortHandler {
		g.metrics.panics.WithLabelValues().Inc()
		eventPanicked.Log("method", incoming.Method, "path", incoming.URL.Path, "reason", fmt.Sprint(reason), "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// note adds a decision to the request's story.
func (r *request) note(what event.Event, keysAndValues ...any) {
	r.decisions = append(r.decisions, decision{event: what, after: time.Since(r.received), values: keysAndValues})
}

// tell writes the request's story, or its last line where it went well.
func (r *request) tell(well bool) {
	log := r.gateway.options.LogSink
	lines := r.decisions
	if well && len(r.tried) == 0 && r.resumes == 0 && r.begunAfter <= r.route.TargetLatency {
		lines = lines[len(lines)-1:]
	}
	if well && log != nil && log.Busy() {
		log.Drop(len(lines))
		return
	}
	for _, each := range lines {
		pairs := append([]any{"request", r.envelope.RequestID, "after_us", each.after.Microseconds()}, each.values...)
		each.event.Log(append(pairs, "program", r.envelope.Program, "tenant", r.tenantName())...)
	}
}

// endRefused ends the story of a request that got an answer of the gateway's own.
func (r *request) endRefused(err error) {
	kind := failure.Classify(err).Type()
	r.note(eventRefused, "status", statusOf(err), "type", string(kind), "cause", err.Error(), "worker", r.workerID,
		"ran", len(r.ran), "turned_away", r.turnedAway)
	r.gateway.metrics.refused(kind)
	r.gateway.metrics.held(r.held, false)
	r.tell(false)
}

// endBroken ends the story of a request whose answer was broken off.
func (r *request) endBroken(cause error) {
	values := []any{"cause", cause.Error(), "worker", r.workerID, "events", r.events}
	r.note(eventAborted, append(values, r.out.course()...)...)
	r.gateway.metrics.broken()
	r.gateway.metrics.held(r.held, true)
	r.tell(false)
}

// endAnswered ends the story of a request that got a worker's answer.
func (r *request) endAnswered(status int) {
	r.note(eventAnswered, "status", status, "worker", r.workerID, "events", r.events, "route", r.route.Name,
		"sent_us", r.sentAfter.Microseconds(), "begun_us", r.begunAfter.Microseconds())
	r.gateway.metrics.answered(r.kind(), time.Since(r.received), r.firstEvent.Sub(r.received))
	r.gateway.metrics.held(r.held, true)
	r.tell(status < 500)
}

func (r *request) kind() string {
	if r.route == nil {
		return ""
	}
	return string(r.route.Kind)
}
