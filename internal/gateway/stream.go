package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// minEventsForGap is the number of events needed to measure the time between a worker's events.
const minEventsForGap = 3

// stream is the state of a streaming response.
type stream struct {
	request *request
	// headersSent is set once the response headers have been sent to the client.
	headersSent bool
	// lastEventID is the id of the last event forwarded.
	lastEventID string
	eventCount  int64
	// output is the text of a turn to be stored: the data of each event, followed by a line
	// feed.
	output []byte
}

// serveStream serves a request whose response is a stream of events.
func (r *request) serveStream(ctx context.Context) {
	if err := r.findResumedStream(ctx); err != nil {
		r.refuse(err)
		return
	}
	turn, err := r.beginTurn(ctx)
	if err != nil {
		r.refuse(err)
		return
	}
	response := &stream{request: r, lastEventID: r.metadata.LastEventID}
	defer turn.settle(response)
	err = response.run(ctx)
	if err == nil && response.headersSent {
		err = turn.store(ctx, response)
	}
	switch {
	case err == nil && response.headersSent:
		r.finishAnswered(http.StatusOK)
	case err == nil:
	case response.headersSent:
		r.abort(err)
	default:
		r.refuse(err)
	}
}

// run sends the request and forwards its events. If a resumable stream breaks, it resumes after
// the last event forwarded.
func (s *stream) run(ctx context.Context) error {
	resumedByClient := s.request.stream != nil
	attempt, err := s.request.send(ctx, s.resumeAfter())
	if resumedByClient {
		s.request.countContinuation(continuedByClient, err)
	}
	for {
		if err == nil {
			err = s.forwardEvents(ctx, attempt)
		}
		if err == nil || ctx.Err() != nil || !s.request.route.Resumable {
			return err
		}
		var lost *worker.ResponseLost
		var silent *SilentWorker
		if !errors.As(err, &lost) || errors.As(err, &silent) {
			return err
		}
		attempt, err = s.resume(ctx, err)
		if s.headersSent {
			s.request.countContinuation(continuedByGateway, err)
		}
	}
}

// resumeAfter returns the id of the event to resume after; empty if none was forwarded here.
// The client's own Last-Event-ID header is forwarded unchanged.
func (s *stream) resumeAfter() string {
	if !s.headersSent {
		return ""
	}
	return s.lastEventID
}

// resume resumes the stream at the same worker, which has the prompt in memory, or at another
// worker if that one cannot be reached.
func (s *stream) resume(ctx context.Context, cause error) (*attempt, error) {
	r := s.request
	if err := r.checkQuarantine(ctx); err != nil {
		return nil, err
	}
	if r.resumes >= maxResumes {
		return nil, cause
	}
	r.resumes++
	r.addLogEntry(eventStreamResumed, "worker", r.lastWorkerID, "version", r.streamVersion(), "after_event", s.resumeAfter(), "cause", cause.Error())
	sameWorker, listed := r.findWorker(r.lastWorkerID)
	if listed && !r.terminated[sameWorker.ID] && !r.gateway.zoneMonitor.detector.IsUnreachable(sameWorker.Zone) && !r.gateway.disabled(mechanism.ResumeAtSameWorker) {
		attempt, err := r.resumeAtSameWorker(ctx, sameWorker, s.resumeAfter())
		var notSent *worker.NotSent
		var cold *WorkerCold
		if err == nil || !errors.As(err, &notSent) {
			return attempt, err
		}
		// A worker that is cold or not eligible now has not ended, so the request may still run
		// there.
		var ineligible *NotEligible
		if !errors.As(err, &cold) && !errors.As(err, &ineligible) {
			r.terminated[sameWorker.ID] = true
		}
	}
	if len(r.mayHaveRun) > len(r.terminated) && len(r.mayHaveRun) >= r.route.MaxAttempts {
		return nil, cause
	}
	return r.send(ctx, s.resumeAfter())
}

// resumeAtSameWorker sends the request to a worker that has run it before. If the worker is
// cold, waiting for a permit is better than aborting the response.
func (r *request) resumeAtSameWorker(ctx context.Context, sameWorker directory.Worker, lastEventID string) (*attempt, error) {
	latest := time.Now().Add(maxColdResumeWait)
	for {
		r.gateway.balancer.Begin(sameWorker.ID)
		attempt, err := r.sendTo(ctx, sameWorker, lastEventID)
		var cold *WorkerCold
		if !errors.As(err, &cold) || time.Now().Add(cold.RetryAfter).After(latest) || !pause.For(ctx, cold.RetryAfter) {
			return attempt, err
		}
	}
}

// findWorker returns a worker if it is still listed in the request's service.
func (r *request) findWorker(id string) (directory.Worker, bool) {
	listed, found := r.gateway.directory.View().Workers.Find(id)
	if !found || listed.Service != r.service.Name {
		return directory.Worker{}, false
	}
	return listed.Worker, true
}

// forwardEvents forwards the events of one attempt, each of them complete and immediately.
func (s *stream) forwardEvents(ctx context.Context, attempt *attempt) error {
	r := s.request
	if attempt.response.Status != http.StatusOK {
		if s.headersSent {
			attempt.close()
			r.gateway.attemptDone(r, attempt.worker, balance.Served)
			return &worker.ResponseLost{Cause: &UnexpectedStatus{Status: attempt.response.Status}}
		}
		return r.forwardResponse(attempt)
	}
	defer attempt.close()
	reader := newEventReader(attempt.response.Body, r.responseReservation())
	defer reader.release()
	start, eventsBefore := time.Now(), s.eventCount
	for {
		event, err := reader.next()
		if err == io.EOF {
			r.gateway.attemptDone(r, attempt.worker, balance.Served)
			s.recordEventGap(attempt, time.Since(start), s.eventCount-eventsBefore-1)
			return s.finish(attempt)
		}
		if err == nil {
			err = s.checkEventCount(event)
		}
		if err == nil {
			err = s.reserveOutput(event)
		}
		if err == nil {
			err = s.commitToEvent(attempt)
		}
		if err != nil {
			return s.attemptLost(ctx, attempt, err)
		}
		if err := s.forwardEvent(attempt, event); err != nil {
			r.gateway.attemptDone(r, attempt.worker, balance.Canceled)
			return &worker.ResponseLost{Cause: err}
		}
		if s.eventCount-eventsBefore == 1 {
			start = time.Now()
		}
		if s.eventCount-eventsBefore == minEventsForGap+1 {
			// Record a slow worker before its stream has ended.
			s.recordEventGap(attempt, time.Since(start), minEventsForGap)
		}
	}
}

// commitToEvent settles that the next event of an attempt is forwarded. It fails if the attempt was
// given up.
func (s *stream) commitToEvent(attempt *attempt) error {
	if s.headersSent {
		return attempt.watchdog.eventReceived()
	}
	return attempt.commitToForward()
}

// attemptLost ends an attempt whose stream broke off or that was given up, and returns its error.
func (s *stream) attemptLost(ctx context.Context, attempt *attempt, err error) error {
	r := s.request
	r.attemptConnectionLost(attempt.zoneContext, attempt.worker, attempt.probe, attempt.watchdog.explainFailure(err))
	err = r.explainFailure(attempt.zoneContext, attempt.worker, attempt.watchdog.explainFailure(err))
	r.gateway.attemptDone(r, attempt.worker, resultOfFailure(ctx, err))
	r.logAttemptLost(attempt.worker, attempt.probe, err)
	return attempt.lostError(err)
}

// recordEventGap reports to the balancer how fast a worker sends events, as a ratio of the route's
// target gap.
func (s *stream) recordEventGap(attempt *attempt, elapsed time.Duration, eventCount int64) {
	gap := s.request.route.TargetGap
	if gap <= 0 || eventCount < minEventsForGap {
		return
	}
	s.request.gateway.recordLatencyRatio(attempt.worker, elapsed.Seconds()/float64(eventCount)/gap.Seconds())
}

// forwardEvent forwards one event.
func (s *stream) forwardEvent(attempt *attempt, event streamEvent) error {
	r := s.request
	if !s.headersSent {
		r.streamBegan(attempt.worker)
	}
	s.sendHeaders(attempt)
	if _, err := r.writer.Write(event.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return err
	}
	if event.id != "" {
		s.lastEventID = event.id
	}
	if event.hasData {
		s.eventCount++
		r.eventCount++
		if r.route.Stateful {
			s.output = append(append(s.output, event.data...), '\n')
		}
	}
	return nil
}

// sendHeaders sends the response headers of the first attempt that responds.
func (s *stream) sendHeaders(attempt *attempt) {
	if s.headersSent {
		return
	}
	s.headersSent = true
	s.request.firstEventAt = time.Now()
	copyHeaders(s.request.writer.Header(), attempt.response.Header)
	s.request.writer.WriteHeader(attempt.response.Status)
}

// finish completes a stream.
func (s *stream) finish(attempt *attempt) error {
	s.sendHeaders(attempt)
	return nil
}
