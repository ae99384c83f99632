package executor

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// answerView is one look at a call's answer.
type answerView struct {
	answer program.CallResult
	// live is the text so far of a started model call; nil otherwise.
	live *liveAnswer
	// changed is closed at the program's next record.
	changed <-chan struct{}
	// over ends with the leadership.
	over <-chan struct{}
}

// followAnswer sends the answer of a call as it comes, and returns once the
// answer is complete in the journal. Where the leadership ends first, the error
// is a *failure.NotLeader and the reader goes on at the next leader.
func (s *shard) followAnswer(ctx context.Context, op operation, number structs.CallNumber, sink replySink) error {
	for {
		view, err := s.viewAnswer(op, number)
		if err != nil {
			return err
		}
		if view.answer.State.Final() {
			return sendFinal(view.answer, sink)
		}
		if view.answer.State == program.Accepted {
			s.startWorker(op.tenant, op.program)
		}
		if err := s.followLive(ctx, view, sink); err != nil {
			return err
		}
	}
}

func (s *shard) viewAnswer(op operation, number structs.CallNumber) (answerView, error) {
	view := answerView{}
	err := s.inspect(func(machine *program.Machine) error {
		answer, err := machine.CallResult(op.tenant, op.program, number)
		if err != nil {
			return err
		}
		view.answer = answer
		if answer.State == program.Started && answer.Kind == program.ModelCall {
			view.live = s.liveOf(callKey{op.program, number})
		}
		view.changed = s.watch(op.program)
		view.over = s.context.Done()
		return nil
	})
	return view, err
}

// followLive sends what comes until the program's next record.
func (s *shard) followLive(ctx context.Context, view answerView, sink replySink) error {
	for {
		more, err := sendLive(view.live, sink)
		if err != nil {
			return err
		}
		select {
		case <-more:
		case <-view.changed:
			return nil
		case <-view.over:
			return s.notLeader()
		case <-ctx.Done():
			return &failure.ProposalUnknown{Shard: uint32(s.id)}
		}
	}
}

// sendLive sends the text that the reader lacks and returns a channel that is
// closed when there is more; nil while there is no live answer.
func sendLive(live *liveAnswer, sink replySink) (<-chan struct{}, error) {
	if live == nil {
		return nil, nil
	}
	for {
		standing := sink.parts.cursor
		attempt, text, more := live.read(standing.Offset)
		if attempt == 0 {
			return more, nil
		}
		if standing.superseded(attempt) {
			if err := sink.parts.Part(standing.partAt(attempt, nil)); err != nil {
				return nil, err
			}
			continue
		}
		if len(text) == 0 {
			return more, nil
		}
		if err := sink.parts.Part(standing.partAt(attempt, text)); err != nil {
			return nil, err
		}
	}
}

// sendFinal sends the rest of a finished answer, or returns the failure that
// the journal holds.
func sendFinal(answer program.CallResult, sink replySink) error {
	if answer.State != program.Finished {
		return finalFailure(answer)
	}
	standing := sink.parts.cursor
	if standing.superseded(answer.Attempt) {
		if err := sink.parts.Part(standing.partAt(answer.Attempt, nil)); err != nil {
			return err
		}
		standing = sink.parts.cursor
	}
	if standing.Offset > uint64(len(answer.Answer)) {
		return &failure.Malformed{Field: "offset", Reason: "beyond the end of the answer"}
	}
	return sink.parts.Part(caller.AnswerPart{
		Attempt:      answer.Attempt,
		Offset:       standing.Offset,
		Text:         answer.Answer[standing.Offset:],
		Complete:     true,
		PromptTokens: answer.PromptTokens,
		AnswerTokens: answer.AnswerTokens,
		ReusedTokens: answer.ReusedTokens,
	})
}

// finalFailure is the failure of a call as the journal holds it: the same at
// every repeat.
func finalFailure(answer program.CallResult) error {
	kind := answer.FailureType
	if kind == "" {
		kind = defaultFailureType(answer.State)
	}
	return &failure.Relayed{Kind: kind, Detail: answer.FailureDetail, Effect: answer.Outcome}
}

func defaultFailureType(state program.CallState) failure.Type {
	switch state {
	case program.OutcomeUnknown:
		return (&failure.ToolOutcomeUnknown{}).Type()
	case program.Cancelled:
		return (&failure.CallCancelled{}).Type()
	}
	return (&failure.Internal{}).Type()
}
