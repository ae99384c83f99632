package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// request is one client attempt on its way through the gateway.
type request struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	incoming *http.Request
	envelope Envelope
	view     *directory.View
	route    *route.Route
	// service is the part of the route that the request was dealt to.
	service  route.Service
	received time.Time
	// deadline is when the final answer is due.
	deadline time.Time
	body     []byte
	// tried are the workers that the request is not to go to again; ran are
	// those on which it may have run.
	tried map[string]bool
	ran   map[string]bool
	// full are those of the tried ones that turned the request away because they
	// are full; roomWaits counts how often it has waited for them.
	full      []string
	roomWaits int
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
	// decisions are the lines that tell the request's story.
	decisions []decision
}

// ServeHTTP serves one client attempt.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	g.underWay.Add(1)
	defer g.underWay.Add(-1)
	g.connections.served(incoming)
	if g.stopping.Load() || g.state.isolated() {
		// The client is to open its next connection elsewhere.
		w.Header().Set("Connection", "close")
	}
	r := &request{
		gateway: g, writer: w, incoming: incoming, received: time.Now(),
		envelope: g.options.Dialect.Envelope(incoming.Header), view: g.directory.View(),
		tried: make(map[string]bool), ran: make(map[string]bool), gone: make(map[string]bool),
	}
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
	g.awaitWorkers(ctx)
	if r.route.Kind == route.Streaming {
		r.serveStream(ctx)
		return
	}
	r.servePlain(ctx)
}

// workersWait bounds how long a request waits for the first list of workers.
const workersWait = 700 * time.Millisecond

// awaitWorkers holds a request while this process has not learned of any worker
// yet, which takes some ten milliseconds after a start: refused, the request would
// cost its client one of few tries.
func (g *Gateway) awaitWorkers(ctx context.Context) {
	if g.directory.WorkersRevision() != 0 {
		return
	}
	limit := time.NewTimer(workersWait)
	defer limit.Stop()
	for {
		news := g.directory.News()
		if g.directory.WorkersRevision() != 0 {
			return
		}
		select {
		case <-news:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
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
		return &HeadTooLong{Limit: limit}
	}
	r.service = table.Service(r.gateway.splitter.Next(r.route))
	held := r.route.Timeout
	if r.envelope.Wait > 0 && (held == 0 || r.envelope.Wait < held) {
		held = r.envelope.Wait
	}
	if held == 0 {
		held = defaultTimeout
	}
	r.deadline = r.received.Add(held)
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
	body, err := readWhole(r.incoming.Body, r.incoming.ContentLength, limit)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return &BodyBroken{Cause: err}
	}
	if int64(len(body)) > limit {
		return &BodyTooLong{Limit: limit}
	}
	r.body = body
	return nil
}

// readWhole reads a body of the declared length, or of up to limit bytes and one
// more where none is declared. Reading into one buffer makes a third of the garbage.
func readWhole(from io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(from, limit+1))
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

// refuse gives the final answer for a failure of the gateway's own, unless the
// client has gone.
func (r *request) refuse(err error) {
	if len(r.ran) > 0 && failure.Classify(err).Outcome() == failure.NotRun {
		// An earlier attempt may have run: no promise holds any more.
		err = &worker.Lost{Cause: err}
	}
	refuse(r.writer, err)
	r.endRefused(err)
}

// attempt is one try at a worker.
type attempt struct {
	worker directory.Worker
	answer *worker.Answer
	// sent is when the attempt began.
	sent time.Time
	// watch ends the attempt if it stays silent; nil where it may.
	watch *silenceWatch
}

// send tries workers until one takes the request and begins to answer. Workers
// that did not run it are passed over; an attempt that may have run ends the
// search with its error, a *worker.Lost.
func (r *request) send(ctx context.Context, lastEvent string) (*attempt, error) {
	for try := 0; ; try++ {
		if ctx.Err() != nil {
			return nil, r.outOfTime(ctx)
		}
		chosen, found := r.choose()
		if !found || try >= maxTries {
			if !r.awaitRoom(ctx) {
				return nil, &NoWorker{Service: r.service.Name, Tried: r.turnedAway}
			}
			try = 0
			continue
		}
		one, err := r.sendTo(ctx, chosen, lastEvent)
		if err == nil {
			return one, nil
		}
		var lost *worker.Lost
		if errors.As(err, &lost) {
			return nil, err
		}
	}
}

// outOfTime says why the context ended: the deadline, or the client left. A
// request that ran on no worker has not run.
func (r *request) outOfTime(ctx context.Context) error {
	if len(r.ran) == 0 {
		return &NoWorker{Service: r.service.Name, Tried: r.turnedAway}
	}
	return &worker.Lost{Cause: ctx.Err()}
}

func (r *request) choose() (directory.Worker, bool) {
	view := r.gateway.directory.View()
	wanted := r.gateway.balanceRequest(r)
	listed := view.Workers[r.service.Name]
	chosen, found := r.gateway.balancer.Choose(listed, wanted)
	if found {
		r.note(eventChosen, "worker", chosen.ID, "affinity", wanted.Affinity, "listed", len(listed), "tried", len(r.tried))
	}
	return chosen, found
}

// sendTo sends the request to one worker, whose Done is owed by the caller if
// there is no error.
func (r *request) sendTo(ctx context.Context, chosen directory.Worker, lastEvent string) (*attempt, error) {
	r.workerID = chosen.ID
	sent := time.Now()
	r.sentAfter = sent.Sub(r.received)
	silence := time.AfterFunc(r.silence(), func() { r.gateway.silent(r.envelope.RequestID, chosen) })
	defer silence.Stop()
	attemptContext, watch := r.watchSilence(ctx)
	answer, err := r.gateway.pool.Send(attemptContext, chosen.Address, r.connectionLimit(), r.outgoing(chosen, lastEvent), r.gateway.options.Dialect.Head)
	if err != nil || answer.NotExecuted {
		defer watch.end()
	}
	if err == nil && answer.NotExecuted {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, smallAnswerBytes))
		answer.Close()
		r.pass(chosen, verdictOfRejection(answer.Status), nil)
		return nil, &NoWorker{Service: r.service.Name, Tried: r.turnedAway}
	}
	if err != nil {
		return nil, r.failed(ctx, chosen, watch.blame(err))
	}
	r.ran[chosen.ID] = true
	r.begunAfter = time.Since(r.received)
	r.note(eventBegun, "worker", chosen.ID, "status", answer.Status)
	return &attempt{worker: chosen, answer: answer, sent: sent, watch: watch}, nil
}

// pass ends an attempt that did not run.
func (r *request) pass(chosen directory.Worker, verdict balance.Verdict, cause error) {
	r.tried[chosen.ID] = true
	if verdict == balance.TurnedAway {
		r.full = append(r.full, chosen.ID)
	}
	r.turnedAway++
	r.note(eventNotRun, "worker", chosen.ID, "verdict", verdict.String(), "cause", errorText(cause))
	r.gateway.done(r, chosen, verdict)
}

// failed ends an attempt without an answer.
func (r *request) failed(ctx context.Context, chosen directory.Worker, err error) error {
	var notSent *worker.NotSent
	if errors.As(err, &notSent) {
		verdict := balance.Unreachable
		var full *worker.TooManyConnections
		if ctx.Err() != nil || errors.As(err, &full) {
			verdict = balance.Abandoned
		}
		r.pass(chosen, verdict, err)
		return err
	}
	r.ran[chosen.ID] = true
	r.tried[chosen.ID] = true
	r.note(eventLost, "worker", chosen.ID, "cause", err.Error())
	if ctx.Err() != nil {
		r.gateway.done(r, chosen, balance.Abandoned)
		return &worker.Lost{Cause: ctx.Err()}
	}
	r.gateway.done(r, chosen, balance.Failed)
	return err
}

// silence is how long a worker may take to begin its answer before that counts
// against it.
func (r *request) silence() time.Duration {
	if r.route.TargetLatency <= 0 {
		return defaultSilence
	}
	if r.route.Kind == route.Streaming {
		return streamSilence * r.route.TargetLatency
	}
	return plainSilence * r.route.TargetLatency
}

func (r *request) connectionLimit() int {
	if r.service.MaxConnections <= 0 {
		return 0
	}
	return max(minConnections, r.service.MaxConnections/connectionShare)
}

// outgoing makes the request for one worker.
func (r *request) outgoing(chosen directory.Worker, lastEvent string) *worker.Request {
	header := make(http.Header, len(r.incoming.Header)+4)
	for name, values := range r.incoming.Header {
		header[name] = values
	}
	dropConnectionHeaders(header)
	if _, named := header["User-Agent"]; !named {
		// Keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	addressing := Addressing{Worker: chosen.ID, Wait: time.Until(r.deadline), Priority: -1, LastEvent: lastEvent}
	if r.service.Engine != nil {
		addressing.Priority = r.gateway.priority(r)
	}
	r.gateway.options.Dialect.Address(header, addressing)
	return &worker.Request{
		ID: r.envelope.RequestID, Method: r.incoming.Method, Target: r.incoming.RequestURI,
		Host: r.incoming.Host, Header: header, Body: r.body,
	}
}

// dropConnectionHeaders removes what concerns one connection only.
func dropConnectionHeaders(header http.Header) {
	for _, name := range header.Values("Connection") {
		header.Del(name)
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}

var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// copyHead copies the head of a worker's answer to the client's.
func copyHead(to, from http.Header) {
	closing := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	dropConnectionHeaders(to)
	if closing != "" {
		// The gateway's own wish, set before.
		to.Set("Connection", closing)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
