package gateway

import (
	"context"
	"errors"
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

// attempt is one attempt to run a request at a worker.
type attempt struct {
	worker   directory.Worker
	response *worker.Response
	// sentAt is when the attempt began.
	sentAt time.Time
	// probe looks at the attempt's connection.
	probe *worker.ConnectionProbe
	// watchdog cancels the attempt if the worker sends no first event; nil if the attempt has no
	// such limit.
	watchdog *firstEventWatchdog
	// timer cancels the attempt until its response is forwarded; nil if there is none.
	timer *attemptTimer
	// zoneContext is the context of the attempt. It is also canceled when the worker's zone is
	// lost; release frees its resources.
	zoneContext context.Context
	release     context.CancelFunc
	// readAhead is the body of the response, and receiveBuffer what the kernel buffers of it.
	readAhead     *flowcontrol.ReadAhead
	receiveBuffer *receiveReservation
}

// close ends an attempt whose response has been read or is no longer wanted. It closes the
// response before it cancels the context: canceling first would close a connection that could
// be reused.
func (a *attempt) close() {
	a.readAhead.Stop(a.release)
	a.response.Close()
	a.receiveBuffer.release()
	a.watchdog.stop()
	a.release()
}

// commitToForward settles, right before a response begins that was not read completely, that the
// attempt is not given up for being slow from now on. It fails if that has happened or its context has
// ended: the connection is closed or about to be, and a response that began now would break off.
func (a *attempt) commitToForward() error {
	if err := a.watchdog.eventReceived(); err != nil {
		return err
	}
	if err := a.timer.disarm(); err != nil {
		return err
	}
	return context.Cause(a.zoneContext)
}

// lostError returns the error of an attempt whose response was lost with err: the reason why the
// attempt's context has ended, if it has. Its connection then reports no more than a timeout.
func (a *attempt) lostError(err error) error {
	if cause := context.Cause(a.zoneContext); cause != nil {
		return &worker.ResponseLost{Cause: cause}
	}
	return asResponseLost(err)
}

// send tries workers until one accepts the request and begins to respond. It skips workers that
// did not run the request. If an attempt fails after the worker may have run the request, send
// returns its error, a *worker.ResponseLost.
func (r *request) send(ctx context.Context, lastEventID string) (started *attempt, err error) {
	defer func() { r.leaveSlotQueue(started != nil) }()
	if err := r.checkRegions(); err != nil {
		return nil, err
	}
	if err := r.yieldToHigherPriority(ctx); err != nil {
		return nil, err
	}
	for try := 0; ; try++ {
		if ctx.Err() != nil {
			return nil, r.contextError(ctx)
		}
		if err := r.checkQuarantine(ctx); err != nil {
			return nil, err
		}
		if err := r.checkRemainingTime(); err != nil {
			return nil, err
		}
		chosen, found := r.chooseForTry(try)
		if !found {
			if err := r.checkRegionsAndDrains(); err != nil {
				return nil, err
			}
			if err := r.checkStreamVersion(); err != nil {
				return nil, err
			}
			if err := r.awaitSlotUnlessUnreachable(ctx); err != nil {
				return nil, err
			}
			try = 0
			continue
		}
		attempt, err := r.sendTo(ctx, chosen, lastEventID)
		if err == nil {
			return attempt, nil
		}
		var lost *worker.ResponseLost
		if errors.As(err, &lost) {
			return nil, err
		}
	}
}

// awaitSlotUnlessUnreachable waits for a free slot if workers are full or cold. It fails at
// once if they are unreachable, as no slot would become free.
func (r *request) awaitSlotUnlessUnreachable(ctx context.Context) error {
	if r.gateway.disabled(mechanism.RequestQueueing) || len(r.fullWorkers) == 0 && r.coldSkipped == 0 {
		return r.noWorkerError(defaultRetryAfter)
	}
	return r.awaitSlot(ctx)
}

// checkRemainingTime fails if the request has less time left than the fastest recent response
// took. While there are no recent responses, it lets single requests through, which show whether
// workers have become faster.
func (r *request) checkRemainingTime() error {
	if r.probesResponseTime {
		return nil
	}
	now := time.Now()
	remaining := r.deadline.Sub(now)
	admission := r.fastestResponse().Admit(now, remaining)
	if !admission.Admitted {
		return &TimeTooShort{Remaining: remaining, FastestResponse: admission.Minimum}
	}
	if admission.IsProbe {
		r.probesResponseTime = true
		r.addLogEntry(eventResponseTimeProbed, "remaining", remaining, "fastest", admission.Minimum)
	}
	return nil
}

// expectedResponseTime returns the shortest time that a worker is expected to need. It is 0 for a
// request that shows whether workers have become faster.
func (r *request) expectedResponseTime() time.Duration {
	if r.probesResponseTime {
		return 0
	}
	return r.fastestResponse().Value()
}

// fastestResponse returns the estimate of the shortest time in which workers of the request's
// service have recently begun to respond on its route.
func (r *request) fastestResponse() *estimate.Minimum {
	return r.gateway.fastestResponses.getOrCreate(r.kind())
}

// kind returns the kind of the request.
func (r *request) kind() routeAndService {
	return routeAndService{route: r.route.Name, service: r.service.Name}
}

// contextError returns the error for a context that ended because of the deadline or because
// the client disconnected. If no worker may have run the request, the error says that it has
// not run.
func (r *request) contextError(ctx context.Context) error {
	if len(r.mayHaveRun) == 0 {
		return r.noWorkerError(defaultRetryAfter)
	}
	return &worker.ResponseLost{Cause: context.Cause(ctx)}
}

// noWorkerError returns the reason why no worker could take the request: there was none, or all
// remaining ones are cold.
func (r *request) noWorkerError(retryAfter time.Duration) error {
	if r.coldSkipped > 0 && r.rejections == 0 {
		return &WorkersCold{Service: r.service.Name, Skipped: r.coldSkipped, RetryAfter: retryAfter}
	}
	return &NoWorker{Service: r.service.Name, Rejections: r.rejections}
}

// chooseForTry returns the worker for a try, or false if there is none or the limit of tries is
// reached.
func (r *request) chooseForTry(try int) (directory.Worker, bool) {
	if try >= maxWorkerTries {
		return directory.Worker{}, false
	}
	return r.choose()
}

// choose returns a worker of the service's subset, or of all its workers if the subset has
// none.
func (r *request) choose() (directory.Worker, bool) {
	subset := r.gateway.workerSubset(r.service.Name)
	chosen, found := r.chooseFrom(subset)
	workers := r.gateway.directory.View().Workers
	if found || workers.Count(r.service.Name) <= len(subset) {
		return chosen, found
	}
	return r.chooseFrom(workers.List(r.service.Name))
}

func (r *request) chooseFrom(workers []*directory.WorkerRecord) (directory.Worker, bool) {
	selection := r.gateway.balanceRequest(r)
	candidates := r.gateway.withoutUnreachableZones(r.filterEligible(workers))
	if r.gateway.disabled(mechanism.UnlistedWorkers) {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(each *directory.WorkerRecord) bool { return each.Lapsed })
	}
	candidates = r.withoutRefusedColdWorkers(candidates)
	selection.Filtered = r.coldSkipped > 0 || r.regionRestriction().RegionRestricted() || r.stream != nil
	chosen, found := r.gateway.balancer.Choose(candidates, selection)
	if found {
		r.addLogEntry(eventWorkerChosen, "worker", chosen.ID, "version", chosen.Version, "affinity", selection.Affinity, "listed", len(candidates), "tried", len(r.tried),
			"distance", chosen.Distance.String(), "load", string(chosen.RegionReason))
	}
	return chosen.Worker, found
}

// sending is an attempt while it is being sent.
type sending struct {
	sentAt   time.Time
	outgoing *worker.Request
	// zoneContext is also canceled when the worker's zone is lost, and attemptContext when the worker
	// sends no first event in time.
	zoneContext, attemptContext context.Context
	release                     context.CancelFunc
	watchdog                    *firstEventWatchdog
	lateStartTimer              *time.Timer
}

// connectionLogValues returns log values that tell which send a response was taken for: its connection, and
// the time since the attempt began.
func (s *sending) connectionLogValues() []any {
	return []any{"connection", s.outgoing.Probe.LocalAddress(), "response_us", time.Since(s.sentAt).Microseconds()}
}

// prepareSending builds the request to a worker and starts the timers of the attempt.
func (r *request) prepareSending(ctx context.Context, chosen directory.Worker, lastEventID string, permit *coldPermit) *sending {
	s := &sending{sentAt: time.Now()}
	r.sentAfter = s.sentAt.Sub(r.receivedAt)
	s.outgoing = r.workerRequest(chosen, lastEventID)
	s.outgoing.Probe = &worker.ConnectionProbe{}
	r.attemptTimer.watch(s.outgoing.Probe)
	s.lateStartTimer = r.startLateStartTimer(chosen, s.outgoing.Probe)
	s.zoneContext, s.release = r.zoneContext(ctx, chosen)
	s.attemptContext, s.watchdog = r.startFirstEventWatchdog(s.zoneContext, s.outgoing.Probe)
	s.outgoing.BeforeSend = r.checkBeforeSend(chosen, permit)
	r.receiveBuffer = r.gateway.receiveBuffers.reserve(r.kind())
	s.outgoing.ReceiveBuffer = r.receiveBuffer.bytes
	return s
}

// abandon frees what an attempt without a response has taken.
func (r *request) abandon(s *sending) {
	r.attemptTimer.watch(nil)
	r.receiveBuffer.release()
	s.watchdog.stop()
	s.release()
}

// sendTo sends the request to one worker. If it returns no error, the caller must call
// attemptDone.
func (r *request) sendTo(ctx context.Context, chosen directory.Worker, lastEventID string) (*attempt, error) {
	permit, err := r.acquireColdPermit(ctx, chosen)
	if err != nil {
		return nil, &worker.NotSent{Cause: err}
	}
	r.lastWorkerID = chosen.ID
	if err := r.checkWorkerEligible(chosen); err != nil {
		permit.returnUnused()
		r.attemptNotRun(chosen, balance.Canceled, err)
		return nil, &worker.NotSent{Cause: err}
	}
	r.beginQuarantineCount()
	s := r.prepareSending(ctx, chosen, lastEventID, permit)
	defer s.lateStartTimer.Stop()
	response, err := r.gateway.pool.Send(s.attemptContext, chosen.Address, r.workerConnectionLimit(), s.outgoing, r.gateway.options.HeaderCodec.ReadResponse)
	if err != nil {
		defer r.abandon(s)
		return nil, r.sendFailed(ctx, chosen, s, permit, err)
	}
	r.countBytes(chosen, response)
	if response.Status != http.StatusMisdirectedRequest {
		r.recordColdReport(chosen, response.Metadata, s.sentAt)
	}
	if response.NotRun {
		defer r.abandon(s)
		return nil, r.attemptRejected(chosen, s, response)
	}
	r.recordResponseStart(chosen, response, s)
	r.receiveBuffer.responseStarted(response)
	return &attempt{
		worker: chosen, response: response, sentAt: s.sentAt, probe: s.outgoing.Probe, watchdog: s.watchdog, timer: r.attemptTimer, zoneContext: s.zoneContext, release: s.release,
		readAhead: r.wrapReadAhead(response), receiveBuffer: r.receiveBuffer,
	}, nil
}

// sendFailed ends an attempt that got no response.
func (r *request) sendFailed(ctx context.Context, chosen directory.Worker, s *sending, permit *coldPermit, err error) error {
	err = s.watchdog.explainFailure(err)
	var lost *worker.ResponseLost
	if errors.As(err, &lost) {
		r.attemptConnectionLost(s.attemptContext, chosen, s.outgoing.Probe, err)
	}
	return r.attemptFailed(ctx, chosen, s.outgoing.Probe, r.explainFailure(s.zoneContext, chosen, err), permit)
}

// attemptRejected ends an attempt whose worker states that it did not run the request.
func (r *request) attemptRejected(chosen directory.Worker, s *sending, response *worker.Response) error {
	details := s.connectionLogValues()
	response.DiscardWithin(rejectionBodyTimeout, smallResponseBytes)
	r.attemptNotRun(chosen, resultOfRejection(response.Status), nil, details...)
	return &NoWorker{Service: r.service.Name, Rejections: r.rejections}
}

// recordResponseStart records that a worker has begun to respond to an attempt.
func (r *request) recordResponseStart(chosen directory.Worker, response *worker.Response, s *sending) {
	r.recordMayHaveRun(chosen.ID)
	r.respondedAfter = time.Since(r.receivedAt)
	now := time.Now()
	r.fastestResponse().Observe(now, now.Sub(s.sentAt))
	values := []any{"worker", chosen.ID, "status", response.Status, "distance", r.gateway.zoneDistances.Class(chosen.Zone).String()}
	r.addLogEntry(eventResponseStarted, append(values, s.connectionLogValues()...)...)
}

// recordMayHaveRun records that a worker may have run the request.
func (r *request) recordMayHaveRun(id string) {
	if r.mayHaveRun[id] {
		r.repeatedRuns++
	}
	r.mayHaveRun[id] = true
}

// startLateStartTimer returns a timer that counts a worker as late which has not begun its response
// in time. A response that waits for this process has begun.
func (r *request) startLateStartTimer(chosen directory.Worker, probe *worker.ConnectionProbe) *time.Timer {
	return time.AfterFunc(r.responseStartTimeout(), func() {
		if !probe.IsBehind() {
			r.gateway.recordLateStart(r.metadata.RequestID, chosen)
		}
	})
}

// wrapReadAhead wraps the body of a response so that it is read ahead while the client is slow.
func (r *request) wrapReadAhead(response *worker.Response) *flowcontrol.ReadAhead {
	if r.clientWriter == nil || r.gateway.disabled(mechanism.ReadAhead) {
		// Read-ahead is never started, so no bytes are buffered.
		return flowcontrol.NewReadAhead(response.Body, flowcontrol.BufferLimits{}, nil)
	}
	readAhead := flowcontrol.NewReadAhead(response.Body, flowcontrol.BufferLimits{Base: minReadAheadBytes, Max: maxReadAheadBytes}, r.clientWriter.reservation)
	response.Body = readAhead
	r.clientWriter.setReadAhead(readAhead)
	return readAhead
}

// checkBeforeSend returns the check that runs once a connection to the worker is open, right
// before the request is sent. Conditions may have changed since the worker was chosen.
func (r *request) checkBeforeSend(chosen directory.Worker, permit *coldPermit) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		if err := permit.ensureAcquired(ctx); err != nil {
			return err
		}
		// These checks come last because acquiring a permit may take time.
		if err := r.checkQuarantine(ctx); err != nil {
			return err
		}
		return r.checkWorkerEligible(chosen)
	}
}

// countBytes adds the bytes of a request and of its response to the traffic metrics.
func (r *request) countBytes(chosen directory.Worker, response *worker.Response) {
	class, trafficCounter := r.gateway.zoneDistances.Class(chosen.Zone), r.gateway.metrics.traffic
	trafficCounter.Add(class, traffic.Prompts, len(r.body))
	response.Body = traffic.NewCountingReader(trafficCounter, response.Body, class, traffic.Answers)
}

// attemptNotRun ends an attempt that the worker did not run. details are further log values.
func (r *request) attemptNotRun(chosen directory.Worker, result balance.AttemptResult, cause error, details ...any) {
	r.tried[chosen.ID] = true
	if result == balance.Rejected {
		r.fullWorkers = append(r.fullWorkers, chosen.ID)
	}
	r.rejections++
	r.addLogEntry(eventAttemptNotRun, append([]any{"worker", chosen.ID, "verdict", result.String(), "cause", errorText(cause)}, details...)...)
	r.gateway.attemptDone(r, chosen, result)
}

// attemptFailed ends an attempt that got no response.
func (r *request) attemptFailed(ctx context.Context, chosen directory.Worker, connection *worker.ConnectionProbe, err error, permit *coldPermit) error {
	var notSent *worker.NotSent
	if errors.As(err, &notSent) {
		permit.returnUnused()
		var cold *WorkerCold
		if errors.As(err, &cold) {
			r.skipColdWorker(chosen, err)
			return err
		}
		result := balance.Unreachable
		var tooMany *worker.TooManyConnections
		var ineligible *NotEligible
		var lost *ZoneLost
		if ctx.Err() != nil || errors.As(err, &tooMany) || errors.As(err, &ineligible) || errors.As(err, &lost) {
			result = balance.Canceled
		}
		r.attemptNotRun(chosen, result, err)
		return err
	}
	var lost *worker.ResponseLost
	if errors.As(err, &lost) && lost.BodyUnread {
		r.gateway.metrics.recordSlowPeer(slowPeerWorker, unreadCause)
	}
	r.recordMayHaveRun(chosen.ID)
	r.tried[chosen.ID] = true
	r.logAttemptLost(chosen, connection, err)
	r.gateway.attemptDone(r, chosen, resultOfFailure(ctx, err))
	if ctx.Err() != nil {
		return &worker.ResponseLost{Cause: context.Cause(ctx)}
	}
	return err
}

// logAttemptLost logs an attempt that ended without a complete response, with what was read of it.
func (r *request) logAttemptLost(chosen directory.Worker, connection *worker.ConnectionProbe, err error) {
	r.lastLoss = asResponseLost(err)
	r.gateway.metrics.recordSpoiledResponse(err)
	received, headComplete := connection.ReceivedBytes()
	r.addLogEntry(eventAttemptLost, "worker", chosen.ID, "cause", err.Error(), "events", r.eventCount, "received_bytes", received, "head_complete", headComplete)
}

// responseStartTimeout returns how long a worker may take to begin its response before the
// delay counts against its health.
func (r *request) responseStartTimeout() time.Duration {
	if r.route.TargetLatency <= 0 {
		return defaultResponseStartTimeout
	}
	if r.route.Kind == route.Streaming {
		return streamTargetMultiple * r.route.TargetLatency
	}
	return plainTargetMultiple * r.route.TargetLatency
}
