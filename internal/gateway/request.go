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

// request is one client attempt on its way through the gateway.
type request struct {
	gateway *Gateway
	writer  http.ResponseWriter
	// out is the writer, and what is held for the client; held bodies count in bodyBytes.
	// Both are nil where the request comes from no client.
	out       *clientWriter
	bodyBytes *flowcontrol.Reservation
	incoming  *http.Request
	envelope  RequestMetadata
	view      *directory.View
	route     *route.Route
	// tenant is the one that holds the client's key; nil on routes that need none.
	tenant *route.Tenant
	// urgency ranks the request among others of its service, 0 first.
	urgency int
	// quotaPass lets the request in within its tenant's limit, once passed is set.
	quotaPass quota.Permit
	passed    bool
	// program names the agent program in kept state, apart from other tenants' programs.
	program string
	// service is the part of the route that the request was dealt to.
	service  route.Service
	received time.Time
	// deadline is when the final answer is due.
	deadline time.Time
	body     []byte
	// adopted are turns of another program, kept in another partition, that this turn
	// goes on from. They are kept with it, so that the whole line is read from one
	// partition and lasts as long as its newest turn.
	adopted []*replicav1.Turn
	// tried are the workers that the request is not to go to again; ran are
	// those on which it may have run.
	tried map[string]bool
	ran   map[string]bool
	// full are those of the tried ones that turned the request away because they
	// are full; place is its own among those that wait for them, nil while it does not.
	full  []string
	place *slotTicket
	// coldRefused counts the workers that were passed over because they have just started
	// and may not get a request now.
	coldRefused int
	// ineligible counts the workers that the request may not go to, by reason, as of its last
	// choice; eligible is how many it may go to.
	ineligible map[eligibility.Reason]int
	eligible   int
	// turnedAway counts workers that are known not to have run it.
	turnedAway int
	// workerID is the worker of the last attempt.
	workerID string
	// resumes counts how often the stream went on after a break; gone are the
	// workers that were found to have ended.
	resumes int
	gone    map[string]bool
	// firstEvent is when the first event went to the client; events counts
	// those passed on.
	firstEvent time.Time
	events     int64
	// sentAfter is when the last attempt was sent, begunAfter when its answer began,
	// since the request came in.
	sentAfter, begunAfter time.Duration
	// held is how long the request waited, by reason.
	held map[holdReason]time.Duration
	// decisions are the lines that tell the request's story.
	decisions []decision
}

// ServeHTTP serves one client attempt.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer g.recoverPanic(incoming)
	if !g.connections.served(incoming) {
		g.metrics.crossed.WithLabelValues().Inc()
		eventCrossed.Log("request", g.options.HeaderCodec.ReadRequest(incoming.Header).RequestID, "client", incoming.RemoteAddr)
		panic(http.ErrAbortHandler)
	}
	if _, cutOff := g.cutOffComeBack(); cutOff || g.stopping.Load() || g.state.isolated() {
		// The client is to open its next connection elsewhere.
		w.Header().Set("Connection", "close")
	}
	out := newClientWriter(w, g.answerBytes)
	defer out.release()
	bodyBytes := g.bodyBytes.NewReservation(nil)
	defer bodyBytes.ReleaseAll()
	r := &request{
		gateway: g, writer: out, out: out, bodyBytes: bodyBytes, incoming: incoming, received: time.Now(),
		envelope: g.options.HeaderCodec.ReadRequest(incoming.Header),
		tried:    make(map[string]bool), ran: make(map[string]bool), gone: make(map[string]bool),
	}
	defer r.returnPass()
	r.awaitConfiguration()
	r.view = g.directory.View()
	if err := r.match(); err != nil {
		r.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), r.deadline)
	defer cancel()
	if err := r.readBody(); err != nil {
		r.refuse(err)
		return
	}
	r.awaitWorkers(ctx)
	if err := r.checkPlaces(); err != nil {
		r.refuse(err)
		return
	}
	if r.route.Kind == route.Streaming {
		r.serveStream(ctx)
		return
	}
	r.servePlain(ctx)
}

// match finds the route and the time that the request has.
func (r *request) match() error {
	table := r.view.Table
	if table == nil {
		return &NoConfiguration{}
	}
	r.route = table.Match(r.incoming.Host, r.incoming.URL.Path)
	if r.route == nil {
		return &UnknownRoute{Host: r.incoming.Host, Path: r.incoming.URL.Path, Version: table.Version()}
	}
	if limit := table.Limits().MaxHeaderBytes; limit > 0 && headBytes(r.incoming) > limit {
		return &HeaderTooLong{Limit: limit}
	}
	if err := r.identify(table); err != nil {
		return err
	}
	r.urgency = route.PriorityRank(r.route, r.tenant)
	r.service = table.Service(r.gateway.splitter.Next(r.route))
	held := r.route.Timeout
	if r.envelope.ClientTimeout > 0 && (held == 0 || r.envelope.ClientTimeout < held) {
		held = r.envelope.ClientTimeout
	}
	if held == 0 {
		held = defaultTimeout
	}
	r.deadline = r.received.Add(held)
	if confinement := r.confinement(); confinement.RegionRestricted() {
		r.note(eventConfined, "regions", confinement.Regions)
	}
	r.note(eventRouted, "route", r.route.Name, "service", r.service.Name, "version", table.Version(), "held_ms", held.Milliseconds())
	return nil
}

// readBody reads the whole body: a request that may be sent to another worker
// must be whole, and so must the input of a kept turn.
func (r *request) readBody() error {
	if r.incoming.ContentLength == 0 {
		return nil
	}
	limit := r.view.Table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.incoming.ContentLength > limit {
		return &BodyTooLong{Limit: limit}
	}
	control := http.NewResponseController(r.writer)
	_ = control.SetReadDeadline(r.deadline)
	body, err := r.readWhole(limit)
	_ = control.SetReadDeadline(time.Time{})
	var full *flowcontrol.BudgetExhausted
	if errors.As(err, &full) {
		return err
	}
	if err != nil {
		return &IncompleteBody{Cause: err}
	}
	if int64(len(body)) > limit {
		return &BodyTooLong{Limit: limit}
	}
	r.body = body
	return nil
}

// firstBodyBytes and nextBodyBytes are how much of a body is made room for before any of it has
// come, and then at least: most are shorter than the second, and a client that declares a long
// one and sends nothing takes no more than the first.
const (
	firstBodyBytes = 4 << 10
	nextBodyBytes  = 64 << 10
)

// readWhole reads a body of the declared length, or of up to limit bytes and one more where
// none is declared, into one buffer that grows with what has come. It fails with
// *flowcontrol.NoRoom where bodies take all the memory that they may.
func (r *request) readWhole(limit int64) ([]byte, error) {
	length, most := r.incoming.ContentLength, limit+1
	if length >= 0 {
		most = length
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := int(min(most, nextStep(cap(body))))
			if err := r.takeBody(grown - cap(body)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		count, err := r.incoming.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case int64(len(body)) == most:
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

// nextStep returns the size of a body's next buffer.
func nextStep(size int) int64 {
	if size == 0 {
		return firstBodyBytes
	}
	return max(nextBodyBytes, 2*int64(size))
}

// takeBody counts bytes that the request is to hold, if there is room for them.
func (r *request) takeBody(bytes int) error {
	if r.bodyBytes == nil || r.bodyBytes.TryAcquire(bytes) {
		return nil
	}
	r.gateway.metrics.cutOff(bodySide, noRoom)
	return &flowcontrol.BudgetExhausted{Wanted: bytes, Limit: r.gateway.bodyBytes.Limit()}
}

// refuse gives the final answer for a failure of the gateway's own, unless the
// client has gone.
func (r *request) refuse(err error) {
	if len(r.ran) > 0 && failure.Classify(err).Outcome() == failure.NotRun {
		// An earlier attempt may have run: no promise holds any more.
		err = &worker.ResponseLost{Cause: err}
	}
	refuse(r.writer, err)
	r.endRefused(err)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
