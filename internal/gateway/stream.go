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

// minPaceEvents is how many events tell a worker's pace.
const minPaceEvents = 3

// stream is the answer of a streaming request as it comes.
type stream struct {
	request *request
	// begun is set once the client has the head.
	begun bool
	// lastEvent is the id of the last event that was passed on.
	lastEvent string
	events    int64
	// output is what a kept turn said: the data of each event, each followed by
	// a line feed.
	output []byte
}

// serveStream serves a request that is answered by a series of events.
func (r *request) serveStream(ctx context.Context) {
	turn, err := r.beginTurn(ctx)
	if err != nil {
		r.refuse(err)
		return
	}
	out := &stream{request: r, lastEvent: r.envelope.LastEventID}
	defer turn.settle(out)
	err = out.run(ctx)
	if err == nil && out.begun {
		err = turn.keep(ctx, out)
	}
	switch {
	case err == nil && out.begun:
		r.endAnswered(http.StatusOK)
	case err == nil:
	case out.begun:
		r.abort(err)
	default:
		r.refuse(err)
	}
}

// run sends the request and passes events on, and goes on at the last event
// where a resumable stream breaks.
func (s *stream) run(ctx context.Context) error {
	one, err := s.request.send(ctx, s.resumeAt())
	for {
		if err == nil {
			err = s.pass(ctx, one)
		}
		if err == nil || ctx.Err() != nil || !s.request.route.Resumable {
			return err
		}
		var lost *worker.ResponseLost
		var silent *SilentWorker
		if !errors.As(err, &lost) || errors.As(err, &silent) {
			return err
		}
		one, err = s.resume(ctx, err)
	}
}

// resumeAt returns the event to go on from, if any was passed on here; what the
// client's own head says travels along by itself.
func (s *stream) resumeAt() string {
	if !s.begun {
		return ""
	}
	return s.lastEvent
}

// resume goes on at the same worker, which has the prompt in memory; only if
// that one is not reached, at another.
func (s *stream) resume(ctx context.Context, broken error) (*attempt, error) {
	r := s.request
	if r.resumes >= maxResumes {
		return nil, broken
	}
	r.resumes++
	r.note(eventResumed, "worker", r.workerID, "after_event", s.resumeAt(), "cause", broken.Error())
	same, listed := r.listed(r.workerID)
	if listed && !r.gone[same.ID] && !r.gateway.zones.detector.IsUnreachable(same.Zone) && !r.gateway.disabled(mechanism.ResumeAtSameWorker) {
		one, err := r.sendToSame(ctx, same, s.resumeAt())
		var notSent *worker.NotSent
		var cold *WorkerCold
		if err == nil || !errors.As(err, &notSent) {
			return one, err
		}
		// A worker that is cold, or may not get the request now, has not ended: the request may
		// still run there.
		var ineligible *NotEligible
		if !errors.As(err, &cold) && !errors.As(err, &ineligible) {
			r.gone[same.ID] = true
		}
	}
	if len(r.ran) > len(r.gone) && len(r.ran) >= r.route.MaxAttempts {
		return nil, broken
	}
	return r.send(ctx, s.resumeAt())
}

// sendToSame sends the request to a worker that has run it. Where that one is cold, a wait
// for a pass is better than a broken answer.
func (r *request) sendToSame(ctx context.Context, same directory.Worker, lastEvent string) (*attempt, error) {
	until := time.Now().Add(coldResumeWait)
	for {
		r.gateway.balancer.Begin(same.ID)
		one, err := r.sendTo(ctx, same, lastEvent)
		var cold *WorkerCold
		if !errors.As(err, &cold) || time.Now().Add(cold.RetryAfter).After(until) || !pause.For(ctx, cold.RetryAfter) {
			return one, err
		}
	}
}

// listed finds a worker that is still in the service.
func (r *request) listed(id string) (directory.Worker, bool) {
	known, found := r.gateway.directory.View().Workers.Find(id)
	if !found || known.Service != r.service.Name {
		return directory.Worker{}, false
	}
	return known.Worker, true
}

// pass passes the events of one attempt on, each whole and at once.
func (s *stream) pass(ctx context.Context, one *attempt) error {
	r := s.request
	if one.answer.Status != http.StatusOK {
		if s.begun {
			one.close()
			r.gateway.done(r, one.worker, balance.Served)
			return &worker.ResponseLost{Cause: &UnexpectedStatus{Status: one.answer.Status}}
		}
		return r.relay(one)
	}
	defer one.close()
	reader := newEventReader(one.answer.Body)
	begun, before := time.Now(), s.events
	for {
		event, err := reader.next()
		if err == io.EOF {
			r.gateway.done(r, one.worker, balance.Served)
			s.pace(one, time.Since(begun), s.events-before-1)
			return s.finish(one)
		}
		if err != nil {
			err = r.causeOf(one.context, one.worker, one.watch.blame(err))
			r.gateway.done(r, one.worker, verdictOfBreak(ctx, err))
			r.note(eventLost, "worker", one.worker.ID, "cause", err.Error(), "events", s.events)
			return asLost(err)
		}
		one.watch.heard()
		if err := s.forward(one, event); err != nil {
			r.gateway.done(r, one.worker, balance.Canceled)
			return &worker.ResponseLost{Cause: err}
		}
		if s.events-before == 1 {
			begun = time.Now()
		}
		if s.events-before == minPaceEvents+1 {
			// A slow worker shows before the stream has ended.
			s.pace(one, time.Since(begun), minPaceEvents)
		}
	}
}

// pace tells the balancer how fast the worker's events came, against the gap
// that the route aims at.
func (s *stream) pace(one *attempt, took time.Duration, events int64) {
	gap := s.request.route.TargetGap
	if gap <= 0 || events < minPaceEvents {
		return
	}
	s.request.gateway.paced(one.worker, took.Seconds()/float64(events)/gap.Seconds())
}

// forward passes one event on.
func (s *stream) forward(one *attempt, event streamEvent) error {
	r := s.request
	s.begin(one)
	if _, err := r.writer.Write(event.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return err
	}
	if event.id != "" {
		s.lastEvent = event.id
	}
	if event.hasData {
		s.events++
		r.events++
		if r.route.Stateful {
			s.output = append(append(s.output, event.data...), '\n')
			r.holdOutput(len(event.data) + 1)
		}
	}
	return nil
}

// holdOutput counts what a kept turn has said until it is kept. It was said, so that it must be
// held; requests that come find less room.
func (r *request) holdOutput(bytes int) {
	if r.bodyBytes != nil {
		r.bodyBytes.ForceAcquire(bytes)
	}
}

// begin sends the head of the first attempt that answers.
func (s *stream) begin(one *attempt) {
	if s.begun {
		return
	}
	s.begun = true
	s.request.firstEvent = time.Now()
	copyHead(s.request.writer.Header(), one.answer.Header)
	s.request.writer.WriteHeader(one.answer.Status)
}

// finish ends a stream that is complete.
func (s *stream) finish(one *attempt) error {
	s.begin(one)
	return nil
}
