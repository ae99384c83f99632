package gateway

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// Every decision about a request is a numbered event with the request id. Entries are written
// when the request ends: all of them if it failed or was late, otherwise only the last one.
// Entries of successful requests are dropped while the log is busy.
var (
	eventStarted               = event.Define(2801, event.Info, "gateway started", "")
	eventStopping              = event.Define(2802, event.Info, "graceful stop of the gateway started", "")
	eventSystemUnverified      = event.Define(2865, event.Warning, "the platform's store has not identified the gateway's system yet; replicas are trusted until it does", "Check the store and the network path to it. If the process exits because of a foreign system, check which system the replicas at its seeds belong to.")
	eventUnexpectedExit        = event.Define(2866, event.Error, "gateway terminated unexpectedly", "Check the cause; a process that panics writes its stack trace to standard error.")
	eventStopped               = event.Define(2803, event.Info, "gateway stopped", "")
	eventRequestRefused        = event.Define(2804, event.Info, "request refused", "See the refusal type in docs/operations/refusals.md.")
	eventResponseAborted       = event.Define(2805, event.Info, "response aborted", "Check the named worker; the program retries a turn itself.")
	eventWorkerEjected         = event.Define(2806, event.Warning, "worker ejected after failures", "Check the worker; it gets requests again after a while.")
	eventRouteChosen           = event.Define(2810, event.Info, "route chosen", "")
	eventWorkerChosen          = event.Define(2811, event.Info, "worker chosen", "")
	eventAttemptNotRun         = event.Define(2812, event.Info, "attempt was not run by the worker", "")
	eventAttemptLost           = event.Define(2813, event.Info, "attempt failed without a complete response", "")
	eventStreamResumed         = event.Define(2814, event.Info, "stream resumed after a failed attempt", "")
	eventBudgetReserved        = event.Define(2815, event.Info, "budget reserved", "")
	eventTurnStored            = event.Define(2816, event.Info, "turn stored", "")
	eventRequestAnswered       = event.Define(2817, event.Info, "request answered", "")
	eventRequestWaited         = event.Define(2820, event.Info, "request waited", "")
	eventWorkersIneligible     = event.Define(2821, event.Info, "workers excluded as ineligible", "")
	eventRegionsRestricted     = event.Define(2825, event.Info, "request restricted to regions", "")
	eventRequestPanicked       = event.Define(2823, event.Error, "a request handler panicked; the client got no response, and a worker may have run the request", "Report the panic with its stack.")
	eventLateRequest           = event.Define(2824, event.Info, "a request arrived on a connection that was being closed and was not forwarded", "")
	eventLoanGranted           = event.Define(2861, event.Info, "loan of the program's budget granted", "")
	eventLoanDrawn             = event.Define(2862, event.Info, "turn draws on a loan", "")
	eventLoanNotDrawn          = event.Define(2864, event.Info, "turn does not draw on a loan", "")
	eventLoanRecalled          = event.Define(2863, event.Info, "loan recalled", "")
	eventWorkersCold           = event.Define(2841, event.Info, "workers count as cold", "")
	eventColdPermitRefused     = event.Define(2842, event.Info, "no permit to send the request to a cold worker", "")
	eventWorkerEnded           = event.Define(2827, event.Info, "a worker ended while it ran a request", "")
	eventRequestQuarantined    = event.Define(2828, event.Warning, "no worker gets a request any more, because too many ended while they ran it", "Find the request by its key in the logs of all gateways and see docs/operations/quarantine.md.")
	eventQuarantineCleared     = event.Define(2829, event.Info, "a worker ran a request under whose content workers had ended; the count starts again", "")
	eventStreamTakenUp         = event.Define(2835, event.Info, "client resumes a stream of an earlier request", "")
	eventStreamStartNotWritten = event.Define(2836, event.Warning, "first event of a stream was forwarded before its start was written", "Check the replicas if this repeats. If this gateway ends now, a client that does not name its request may not be able to resume the stream.")
	eventResponseTimeProbed    = event.Define(2843, event.Info, "request with less time than recent responses took is tried, to see whether workers have become faster", "")
	eventResponseStarted       = event.Define(2818, event.Info, "worker began to respond", "")
)

// logEntry is one log entry of a request, written when the request ends.
type logEntry struct {
	event event.Event
	// elapsed is the time since the request was received.
	elapsed time.Duration
	values  []any
}

// recoverPanic logs a panic of a request handler, and has the response end visibly short. net/http would only close the
// connection.
func (g *Gateway) recoverPanic(incoming *http.Request) {
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered != http.ErrAbortHandler {
		g.metrics.panics.WithLabelValues().Inc()
		eventRequestPanicked.Log("method", incoming.Method, "path", incoming.URL.Path, "reason", fmt.Sprint(recovered), "stack", string(debug.Stack()))
	}
	g.connections.markShort(incoming)
	panic(http.ErrAbortHandler)
}

// addLogEntry adds an entry to the request's log.
func (r *request) addLogEntry(logEvent event.Event, keysAndValues ...any) {
	r.logEntries = append(r.logEntries, logEntry{event: logEvent, elapsed: time.Since(r.receivedAt), values: keysAndValues})
}

// writeLog writes the request's log entries, or only the last one if it succeeded in time.
func (r *request) writeLog(succeeded bool) {
	log := r.gateway.options.LogSink
	entries := r.logEntries
	if succeeded && len(r.tried) == 0 && r.resumes == 0 && r.respondedAfter <= r.route.TargetLatency {
		entries = entries[len(entries)-1:]
	}
	if succeeded && log != nil && log.Busy() {
		log.Drop(len(entries))
		return
	}
	for _, each := range entries {
		pairs := append([]any{"request", r.metadata.RequestID, "after_us", each.elapsed.Microseconds()}, each.values...)
		each.event.Log(append(pairs, "program", r.metadata.Program, "tenant", r.tenantName())...)
	}
}

// finishRefused records the end of a request that this gateway refused.
func (r *request) finishRefused(err error) {
	failureType := failure.Classify(err).Type()
	r.addLogEntry(eventRequestRefused, "status", statusOf(err), "type", string(failureType), "cause", err.Error(), "worker", r.lastWorkerID,
		"ran", len(r.mayHaveRun), "turned_away", r.rejections)
	r.gateway.metrics.recordRefused(failureType)
	r.gateway.metrics.recordWaits(r.waitTimes, false)
	r.writeLog(false)
}

// finishAborted records the end of a request whose response was aborted.
func (r *request) finishAborted(cause error) {
	values := []any{"cause", cause.Error(), "worker", r.lastWorkerID, "events", r.eventCount}
	values = append(values, r.receiveBuffer.logValues()...)
	r.addLogEntry(eventResponseAborted, append(values, r.clientWriter.readAheadLogValues()...)...)
	r.gateway.metrics.recordAborted()
	r.gateway.metrics.recordWaits(r.waitTimes, true)
	r.writeLog(false)
}

// finishAnswered records the end of a request that got a worker's response.
func (r *request) finishAnswered(status int) {
	r.clearQuarantine()
	r.addLogEntry(eventRequestAnswered, "status", status, "worker", r.lastWorkerID, "events", r.eventCount, "route", r.route.Name,
		"sent_us", r.sentAfter.Microseconds(), "begun_us", r.respondedAfter.Microseconds())
	r.gateway.metrics.recordAnswered(r.routeKind(), time.Since(r.receivedAt), r.firstEventAt.Sub(r.receivedAt))
	r.gateway.metrics.recordWaits(r.waitTimes, true)
	r.writeLog(status < 500)
}

func (r *request) routeKind() string {
	if r.route == nil {
		return ""
	}
	return string(r.route.Kind)
}
