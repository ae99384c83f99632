package session

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// unknownCallType refuses to read a call that was never accepted.
const unknownCallType failure.Type = "unknown_call"

// callPlan is one call and how its caller behaves.
type callPlan struct {
	request    caller.CallRequest
	disconnect bool
	repeat     bool
}

// runCall issues a call and returns its record once it is settled, or its
// caller lost patience.
func (s *Session) runCall(ctx context.Context, id structs.ProgramID, plan callPlan, random *rand.Rand) promise.Call {
	request := plan.request
	answer := &assembly{observer: s.options.Observer, issued: time.Now()}
	if plan.disconnect {
		answer.leaveAt = 1
	}
	patient, cancel := context.WithTimeout(ctx, s.options.Patience)
	defer cancel()
	requests := newRequester(&s.options, s.tenant, random)
	requests.daemon, requests.tracked = s.daemon(), !plan.disconnect
	err := s.fetch(patient, requests, id, request, answer)
	s.keepDaemon(requests.daemon)
	record := newRecord(request)
	record.Answer, record.Complete = answer.text, err == nil && answer.complete
	if known, reported := failure.As(err); reported && Final(err) {
		record.FailureType, record.Outcome = known.Type(), known.Outcome()
	}
	if plan.repeat && record.Settled() {
		s.repeatCall(patient, requests, id, request)
	}
	record.Attempts = requests.attempts
	return record
}

// fetch reads the answer, from where it stopped after each break.
func (s *Session) fetch(ctx context.Context, requests *requester, id structs.ProgramID, request caller.CallRequest, answer *assembly) error {
	accepted, sent := false, false
	return requests.until(ctx, func(ctx context.Context, target Client) error {
		from := answer.standing()
		err := answer.guard(ctx, s.options.Stall, func(ctx context.Context) error {
			if accepted && from.Next > 0 {
				return target.Read(ctx, id, request.Number, from, answer)
			}
			resend := sent
			sent = true
			return target.Call(ctx, id, request, resend, answer)
		})
		if errors.As(err, new(*caller.AnswerGap)) {
			answer.forget()
		}
		accepted = !failure.IsType(err, unknownCallType)
		if err == nil && !answer.whole() {
			return &cutShort{}
		}
		return err
	})
}

// cutShort reports an answer that ended without being complete.
type cutShort struct{}

func (*cutShort) Error() string { return "the answer ended before it was complete" }

// repeatCall sends the settled call once more, to another daemon. What it
// answers is dropped: the ledgers tell whether it ran again.
func (s *Session) repeatCall(ctx context.Context, requests *requester, id structs.ProgramID, request caller.CallRequest) {
	requests.moveOn()
	dropped := &assembly{observer: silent{}, issued: time.Now()}
	_ = requests.attempt(ctx, func(ctx context.Context, target Client) error {
		return dropped.guard(ctx, s.options.Stall, func(ctx context.Context) error {
			return target.Call(ctx, id, request, true, dropped)
		})
	})
}

func newRecord(request caller.CallRequest) promise.Call {
	return promise.Call{
		Number:          request.Number,
		Kind:            promise.Kind(request.Kind),
		Target:          request.Target,
		Adapter:         request.Adapter,
		Repeatable:      request.Repeatable,
		Input:           request.Input,
		MaxAnswerTokens: request.MaxAnswerTokens,
	}
}

// silent drops all measurements.
type silent struct{}

func (silent) FirstToken(time.Duration) {}
func (silent) InterToken(time.Duration) {}
func (silent) Refused(string)           {}
func (silent) Request(string)           {}
