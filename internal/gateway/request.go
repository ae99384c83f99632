package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/eligibility"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// request is one client request while the gateway serves it.
type request struct {
	gateway *Gateway
	writer  http.ResponseWriter
	// clientWriter is the writer to the client; its buffered bytes count in responseBudget.
	// bodyReservation counts the buffered request body in bodyBudget. Both are nil if the request
	// has no client.
	clientWriter    *clientWriter
	bodyReservation *flowcontrol.Reservation
	incoming        *http.Request
	metadata        RequestMetadata
	view            *directory.View
	route           *route.Route
	// tenant is the owner of the client's key; nil on routes that need no key.
	tenant *route.Tenant
	// priorityRank ranks the request among others of its service, 0 being the most urgent.
	priorityRank int
	// quotaPermit is the request's permit under its tenant's quota; valid if hasQuotaPermit is
	// set.
	quotaPermit    quota.Permit
	hasQuotaPermit bool
	// programKey is the key of the agent program in stored state. It differs from the keys of
	// other tenants' programs.
	programKey string
	// service is the service of the route that the request was assigned to.
	service    route.Service
	receivedAt time.Time
	// deadline is when the client must have its response.
	deadline time.Time
	body     []byte
	// copiedTurns are turns of another program, stored in another partition, that this turn
	// continues from. They are stored again with it, so that the whole chain can be read from
	// one partition and lasts as long as its newest turn.
	copiedTurns []*replicav1.Turn
	// probesResponseTime is set for a request with less time left than the fastest recent response
	// took, which shows whether workers have become faster.
	probesResponseTime bool
	// chainID is the id of the first turn of the chain that the turn goes on from; empty if it starts one.
	chainID string
	// tried are the workers that the request must not be sent to again; mayHaveRun are those on
	// which it may have run.
	tried      map[string]bool
	mayHaveRun map[string]bool
	// repeatedRuns counts the attempts that went to a worker of mayHaveRun once more.
	repeatedRuns int
	// fullWorkers are the tried workers that rejected the request because they are full.
	// slotTicket is the request's entry in the queue for slots; nil while it does not wait.
	fullWorkers []string
	slotTicket  *slotTicket
	// coldSkipped counts the workers that were skipped because they are cold.
	coldSkipped int
	// ineligible counts, by reason, the workers that the last selection excluded as ineligible;
	// eligible counts the eligible ones.
	ineligible map[eligibility.Reason]int
	eligible   int
	// rejections counts attempts that the workers are known not to have run.
	rejections int
	// attemptTimer cancels the attempts in progress until a response is forwarded; nil if there is
	// none.
	attemptTimer *attemptTimer
	// stream is the stream that further attempts continue; nil while no event was received.
	stream *eligibility.Stream
	// lastLoss is why the last attempt without a complete response was lost; nil if there is none.
	lastLoss error
	// lastWorkerID is the worker of the last attempt.
	lastWorkerID string
	// receiveBuffer is what the kernel buffers of the response of the last attempt; nil before one.
	receiveBuffer *receiveReservation
	// resumes counts how often the stream was resumed; terminated are the workers that are
	// known to have ended or whose zone is lost.
	resumes    int
	terminated map[string]bool
	// firstEventAt is when the first event went to the client; eventCount counts the events
	// forwarded.
	firstEventAt time.Time
	eventCount   int64
	// sentAfter is when the last attempt was sent, and respondedAfter when its response began,
	// both since receivedAt.
	sentAfter, respondedAfter time.Duration
	// waitTimes is how long the request waited, by reason.
	waitTimes map[waitReason]time.Duration
	// quarantine is what is known of the workers that ended under the request.
	quarantine quarantineState
	// logEntries are the log entries of the request.
	logEntries []logEntry
}

// ServeHTTP serves one client request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer g.recoverPanic(incoming)
	if !g.connections.beginRequest(incoming) {
		g.metrics.lateRequests.WithLabelValues().Inc()
		eventLateRequest.Log("request", g.options.HeaderCodec.ReadRequest(incoming.Header).RequestID, "client", incoming.RemoteAddr)
		panic(http.ErrAbortHandler)
	}
	if _, cutOff := g.cutOffRetryAfter(); cutOff || g.stopping.Load() || g.replicaHealth.isolated() {
		// The client should open its next connection to another gateway.
		w.Header().Set("Connection", "close")
	}
	writer := newClientWriter(w, g.responseBudget)
	defer writer.release()
	bodyReservation := g.bodyBudget.NewReservation(nil)
	defer bodyReservation.ReleaseAll()
	r := &request{
		gateway: g, writer: writer, clientWriter: writer, bodyReservation: bodyReservation, incoming: incoming, receivedAt: time.Now(),
		metadata: g.options.HeaderCodec.ReadRequest(incoming.Header),
		tried:    make(map[string]bool), mayHaveRun: make(map[string]bool), terminated: make(map[string]bool),
	}
	defer r.returnQuotaPermit()
	r.awaitConfiguration()
	r.view = g.directory.View()
	if err := r.matchRoute(); err != nil {
		r.refuse(err)
		return
	}
	if err := r.checkPlannedStop(); err != nil {
		r.refuse(err)
		return
	}
	defer r.recordDuration()
	ctx, cancel := context.WithDeadline(incoming.Context(), r.deadline)
	defer cancel()
	if err := r.readBody(); err != nil {
		r.refuse(err)
		return
	}
	r.awaitFirstQuarantineUpdate(ctx)
	if err := r.checkQuarantine(ctx); err != nil {
		r.refuse(err)
		return
	}
	r.awaitWorkers(ctx)
	if err := r.checkEligibleWorkers(); err != nil {
		r.refuse(err)
		return
	}
	if r.route.Kind == route.Streaming {
		r.serveStream(ctx)
		return
	}
	r.servePlain(ctx)
}

// matchRoute determines the request's route, tenant, service and deadline.
func (r *request) matchRoute() error {
	table := r.view.Table
	if table == nil {
		return &NoConfiguration{}
	}
	r.route = table.Match(r.incoming.Host, r.incoming.URL.Path)
	if r.route == nil {
		return &UnknownRoute{Host: r.incoming.Host, Path: r.incoming.URL.Path, Version: table.Version()}
	}
	if limit := table.Limits().MaxHeaderBytes; limit > 0 && headerSize(r.incoming) > limit {
		return &HeaderTooLong{Limit: limit}
	}
	if err := r.identifyTenant(table); err != nil {
		return err
	}
	r.priorityRank = route.PriorityRank(r.route, r.tenant)
	r.service = table.Service(r.gateway.splitter.Next(r.route))
	timeout := r.route.Timeout
	if r.metadata.ClientTimeout > 0 && (timeout == 0 || r.metadata.ClientTimeout < timeout) {
		timeout = r.metadata.ClientTimeout
	}
	if timeout == 0 {
		timeout = defaultRequestTimeout
	}
	r.deadline = r.receivedAt.Add(timeout)
	if restriction := r.regionRestriction(); restriction.RegionRestricted() {
		r.addLogEntry(eventRegionsRestricted, "regions", restriction.Regions)
	}
	r.addLogEntry(eventRouteChosen, "route", r.route.Name, "service", r.service.Name, "version", table.Version(), "held_ms", timeout.Milliseconds())
	return nil
}

// readBody reads the whole body. It has to be complete for a retry at another worker and as the
// input of a stored turn.
func (r *request) readBody() error {
	if r.incoming.ContentLength == 0 {
		return nil
	}
	limit := r.view.Table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.incoming.ContentLength > limit {
		return &BodyTooLong{Limit: limit}
	}
	control := http.NewResponseController(r.writer)
	_ = control.SetReadDeadline(r.deadline)
	body, err := r.readWhole(limit)
	_ = control.SetReadDeadline(time.Time{})
	var exhausted *flowcontrol.BudgetExhausted
	if errors.As(err, &exhausted) {
		return err
	}
	if err != nil {
		return &IncompleteBody{Cause: err}
	}
	if int64(len(body)) > limit {
		return &BodyTooLong{Limit: limit}
	}
	r.body, r.quarantine.clientBody = body, body
	return nil
}

// initialBodyBufferBytes is reserved for a body before any of it has arrived, and
// minBodyBufferBytes is the minimum size of the next buffer. Most bodies are shorter than
// minBodyBufferBytes. A client that declares a long body and sends nothing takes only
// initialBodyBufferBytes.
const (
	initialBodyBufferBytes = 4 << 10
	minBodyBufferBytes     = 64 << 10
)

// readWhole reads a body of the declared length, or up to limit+1 bytes if no length is declared,
// into a buffer that grows with the received bytes. It fails with *flowcontrol.BudgetExhausted if
// buffered bodies take all the memory they may.
func (r *request) readWhole(limit int64) ([]byte, error) {
	length, maxBytes := r.incoming.ContentLength, limit+1
	if length >= 0 {
		maxBytes = length
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			newSize := int(min(maxBytes, nextBufferSize(cap(body))))
			if err := r.reserveBody(newSize - cap(body)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, newSize), body...)
		}
		count, err := r.incoming.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case int64(len(body)) == maxBytes:
			return body, nil
		case err == io.EOF && length >= 0:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextBufferSize returns the next buffer size of a body.
func nextBufferSize(size int) int64 {
	if size == 0 {
		return initialBodyBufferBytes
	}
	return max(minBodyBufferBytes, 2*int64(size))
}

// reserveBody reserves memory for bytes that the request holds, if there is enough.
func (r *request) reserveBody(bytes int) error {
	if r.bodyReservation == nil || r.bodyReservation.TryAcquire(bytes) {
		return nil
	}
	r.gateway.metrics.recordSlowPeer(slowPeerBody, noBufferSpaceCause)
	return &flowcontrol.BudgetExhausted{Wanted: bytes, Limit: r.gateway.bodyBudget.Limit()}
}

// responseReservation counts what the request holds of its response; nil if it has no client.
func (r *request) responseReservation() *flowcontrol.Reservation {
	if r.clientWriter == nil {
		return nil
	}
	return r.clientWriter.reservation
}

// refuse sends the final response for an error of the gateway itself.
func (r *request) refuse(err error) {
	r.awaitQuarantineSpread()
	if len(r.mayHaveRun) > 0 && failure.Classify(err).Outcome() == failure.NotRun {
		// An earlier attempt may have run, so the response must not promise that the request
		// has not run.
		err = &worker.ResponseLost{Cause: r.withLastLoss(err)}
	}
	writeRefusal(r.writer, err)
	r.finishRefused(err)
}

// withLastLoss adds to the reason why a request was not sent again that of its last lost attempt, if there is one.
func (r *request) withLastLoss(err error) error {
	var lost *worker.ResponseLost
	if !errors.As(r.lastLoss, &lost) {
		return err
	}
	return &RetryNotSent{Lost: lost.Cause, Cause: err}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
