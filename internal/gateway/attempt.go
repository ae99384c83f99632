package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/estimate"
	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/traffic"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// attempt is one try at a worker.
type attempt struct {
	worker directory.Worker
	answer *worker.Response
	// sent is when the attempt began.
	sent time.Time
	// watch ends the attempt if it stays silent; nil where it may.
	watch *silenceWatch
	// context is the attempt's own, which also ends when the worker's zone is lost; release
	// gives it back.
	context context.Context
	release context.CancelFunc
	// ahead is the answer's body.
	ahead *flowcontrol.ReadAhead
}

// close ends an attempt whose answer is read, or is not wanted any more. The answer comes
// first: a context that ends before it takes the connection along, which could be kept.
func (a *attempt) close() {
	a.ahead.Stop(a.release)
	a.answer.Close()
	a.watch.end()
	a.release()
}

// send tries workers until one takes the request and begins to answer. Workers
// that did not run it are passed over; an attempt that may have run ends the
// search with its error, a *worker.Lost.
func (r *request) send(ctx context.Context, lastEvent string) (begun *attempt, err error) {
	defer func() { r.leaveSlotQueue(begun != nil) }()
	if err := r.checkPlace(); err != nil {
		return nil, err
	}
	if err := r.letMoreUrgentGoFirst(ctx); err != nil {
		return nil, err
	}
	for try := 0; ; try++ {
		if ctx.Err() != nil {
			return nil, r.outOfTime(ctx)
		}
		if err := r.checkTime(); err != nil {
			return nil, err
		}
		chosen, found := r.chooseTry(try)
		if !found {
			if err := r.checkEligible(); err != nil {
				return nil, err
			}
			if err := r.mayAwaitSlot(ctx); err != nil {
				return nil, err
			}
			try = 0
			continue
		}
		one, err := r.sendTo(ctx, chosen, lastEvent)
		if err == nil {
			return one, nil
		}
		var lost *worker.ResponseLost
		if errors.As(err, &lost) {
			return nil, err
		}
	}
}

// mayAwaitSlot waits for a place where workers are full; where they cannot be reached
// waiting is in vain.
func (r *request) mayAwaitSlot(ctx context.Context) error {
	if r.gateway.disabled(mechanism.RequestQueueing) || len(r.full) == 0 && r.coldRefused == 0 {
		return r.noWorker(comeBackAfter)
	}
	return r.awaitSlot(ctx)
}

// checkTime fails where no worker has lately answered as fast as the request's time
// would need it.
func (r *request) checkTime() error {
	left, fastest := time.Until(r.deadline), r.fastest().Value()
	if left >= fastest {
		return nil
	}
	return &TimeTooShort{Remaining: left, FastestResponse: fastest}
}

// fastest returns how fast workers of the request's service have begun to answer its
// route lately.
func (r *request) fastest() *estimate.Minimum {
	return r.gateway.fastest.of(routeOfService{route: r.route.Name, service: r.service.Name})
}

// outOfTime says why the context ended: the deadline, or the client left. A
// request that ran on no worker has not run.
func (r *request) outOfTime(ctx context.Context) error {
	if len(r.ran) == 0 {
		return r.noWorker(comeBackAfter)
	}
	return &worker.ResponseLost{Cause: ctx.Err()}
}

// noWorker says why no worker could take the request: none was there, or those that are have
// just started.
func (r *request) noWorker(comeBack time.Duration) error {
	if r.coldRefused > 0 && r.turnedAway == 0 {
		return &WorkersCold{Service: r.service.Name, Skipped: r.coldRefused, RetryAfter: comeBack}
	}
	return &NoWorker{Service: r.service.Name, Rejections: r.turnedAway}
}

// chooseTry returns the worker of a try, if there is one and not too many were
// asked.
func (r *request) chooseTry(try int) (directory.Worker, bool) {
	if try >= maxTries {
		return directory.Worker{}, false
	}
	return r.choose()
}

// choose returns a worker of the service's subset, or where that has none one of all.
func (r *request) choose() (directory.Worker, bool) {
	subset := r.gateway.subset(r.service.Name)
	chosen, found := r.chooseFrom(subset)
	workers := r.gateway.directory.View().Workers
	if found || workers.Count(r.service.Name) <= len(subset) {
		return chosen, found
	}
	return r.chooseFrom(workers.List(r.service.Name))
}

func (r *request) chooseFrom(workers []*directory.WorkerRecord) (directory.Worker, bool) {
	wanted := r.gateway.balanceRequest(r)
	listed := r.gateway.reached(r.eligibleOf(workers))
	if r.gateway.disabled(mechanism.UnlistedWorkers) {
		listed = slices.DeleteFunc(slices.Clone(listed), func(each *directory.WorkerRecord) bool { return each.Lapsed })
	}
	listed = r.withoutRefused(listed)
	wanted.Filtered = r.coldRefused > 0 || r.confinement().RegionRestricted()
	chosen, found := r.gateway.balancer.Choose(listed, wanted)
	if found {
		r.note(eventChosen, "worker", chosen.ID, "affinity", wanted.Affinity, "listed", len(listed), "tried", len(r.tried),
			"distance", chosen.Distance.String(), "load", string(chosen.RegionReason))
	}
	return chosen.Worker, found
}

// sendTo sends the request to one worker, whose Done is owed by the caller if
// there is no error.
func (r *request) sendTo(ctx context.Context, chosen directory.Worker, lastEvent string) (*attempt, error) {
	pass, err := r.passTo(ctx, chosen)
	if err != nil {
		return nil, &worker.NotSent{Cause: err}
	}
	r.workerID = chosen.ID
	if err := r.permit(chosen); err != nil {
		pass.unsent()
		r.pass(chosen, balance.Canceled, err)
		return nil, &worker.NotSent{Cause: err}
	}
	sent := time.Now()
	r.sentAfter = sent.Sub(r.received)
	silence := time.AfterFunc(r.silence(), func() { r.gateway.silent(r.envelope.RequestID, chosen) })
	defer silence.Stop()
	zoned, release := r.watchZone(ctx, chosen)
	attemptContext, watch := r.watchSilence(zoned)
	outgoing := r.outgoing(chosen, lastEvent)
	outgoing.BeforeSend = r.readyFor(chosen, pass)
	answer, err := r.gateway.pool.Send(attemptContext, chosen.Address, r.connectionLimit(), outgoing, r.gateway.options.HeaderCodec.ReadResponse)
	if err != nil || answer.NotRun {
		defer release()
		defer watch.end()
	}
	if err == nil {
		r.count(chosen, answer)
	}
	if err == nil && answer.Status != http.StatusMisdirectedRequest {
		r.observeColdness(chosen, answer.Metadata, sent)
	}
	if err == nil && answer.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, smallAnswerBytes))
		answer.Close()
		r.pass(chosen, verdictOfRejection(answer.Status), nil)
		return nil, &NoWorker{Service: r.service.Name, Rejections: r.turnedAway}
	}
	if err != nil {
		return nil, r.failed(ctx, chosen, r.causeOf(zoned, chosen, watch.blame(err)), pass)
	}
	r.ran[chosen.ID] = true
	r.begunAfter = time.Since(r.received)
	r.fastest().Observe(time.Since(sent))
	r.note(eventBegun, "worker", chosen.ID, "status", answer.Status, "distance", r.gateway.places.Class(chosen.Zone).String())
	ahead := r.aheadOf(answer)
	return &attempt{worker: chosen, answer: answer, sent: sent, watch: watch, context: zoned, release: release, ahead: ahead}, nil
}

// aheadOf has the body of an answer read ahead while the client is slow.
func (r *request) aheadOf(answer *worker.Response) *flowcontrol.ReadAhead {
	if r.out == nil || r.gateway.disabled(mechanism.ReadAhead) {
		// Never begun, so that nothing is held.
		return flowcontrol.NewReadAhead(answer.Body, flowcontrol.BufferLimits{}, nil)
	}
	ahead := flowcontrol.NewReadAhead(answer.Body, flowcontrol.BufferLimits{Base: sharedAheadBytes, Max: readAheadBytes}, r.out.holder)
	answer.Body = ahead
	r.out.readAhead(ahead)
	return ahead
}

// readyFor returns what is asked once there is a connection to a worker, right before the
// send: what was true when the worker was chosen may not be any more.
func (r *request) readyFor(chosen directory.Worker, pass *workerPass) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		if err := pass.confirm(ctx); err != nil {
			return err
		}
		// Last, as a pass may take a moment.
		return r.permit(chosen)
	}
}

// count counts the bytes of a request and of its answer.
func (r *request) count(chosen directory.Worker, answer *worker.Response) {
	class, counted := r.gateway.places.Class(chosen.Zone), r.gateway.metrics.traffic
	counted.Add(class, traffic.Prompts, len(r.body))
	answer.Body = traffic.NewCountingReader(counted, answer.Body, class, traffic.Answers)
}

// pass ends an attempt that did not run.
func (r *request) pass(chosen directory.Worker, verdict balance.AttemptResult, cause error) {
	r.tried[chosen.ID] = true
	if verdict == balance.Rejected {
		r.full = append(r.full, chosen.ID)
	}
	r.turnedAway++
	r.note(eventNotRun, "worker", chosen.ID, "verdict", verdict.String(), "cause", errorText(cause))
	r.gateway.done(r, chosen, verdict)
}

// failed ends an attempt without an answer.
func (r *request) failed(ctx context.Context, chosen directory.Worker, err error, pass *workerPass) error {
	var notSent *worker.NotSent
	if errors.As(err, &notSent) {
		pass.unsent()
		var cold *WorkerCold
		if errors.As(err, &cold) {
			r.passOver(chosen, err)
			return err
		}
		verdict := balance.Unreachable
		var full *worker.TooManyConnections
		var ineligible *NotEligible
		var lost *ZoneLost
		if ctx.Err() != nil || errors.As(err, &full) || errors.As(err, &ineligible) || errors.As(err, &lost) {
			verdict = balance.Canceled
		}
		r.pass(chosen, verdict, err)
		return err
	}
	var lost *worker.ResponseLost
	if errors.As(err, &lost) && lost.BodyUnread {
		r.gateway.metrics.cutOff(workerSide, unread)
	}
	r.ran[chosen.ID] = true
	r.tried[chosen.ID] = true
	r.note(eventLost, "worker", chosen.ID, "cause", err.Error())
	r.gateway.done(r, chosen, verdictOfBreak(ctx, err))
	if ctx.Err() != nil {
		return &worker.ResponseLost{Cause: ctx.Err()}
	}
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
	addressing := AttemptMetadata{
		WorkerID: chosen.Instance, Tenant: r.tenantName(), Timeout: time.Until(r.deadline), Priority: -1, LastEventID: lastEvent,
	}
	if r.service.Engine != nil {
		addressing.Priority = r.gateway.priority(r)
	}
	r.gateway.options.HeaderCodec.WriteAttempt(header, addressing)
	return &worker.Request{
		ID: r.envelope.RequestID, Incarnation: chosen.ID, Method: r.incoming.Method, Target: r.incoming.RequestURI,
		Host: r.incoming.Host, Header: header, Body: r.body, SilenceTimeout: r.silence(),
		OnConnected: func(took time.Duration) { r.gateway.ways.Observe(time.Now(), chosen.Zone, took) },
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
