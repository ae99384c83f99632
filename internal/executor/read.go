package executor

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// answerView is a snapshot of a call's answer and the channels that signal changes to
// it.
type answerView struct {
	answer program.CallResult
	// buffer has the text so far of a started model call; nil otherwise.
	buffer *answerBuffer
	// changed is closed at the program's next record.
	changed <-chan struct{}
	// leadershipEnded is closed when the leadership ends.
	leadershipEnded <-chan struct{}
}

// followAnswer streams the answer of a call and returns once the answer is complete in
// the journal. If the leadership ends first, it returns a *failure.NotLeader error and
// the reader continues at the next leader.
func (s *shard) followAnswer(ctx context.Context, op operation, number structs.CallNumber, sink replySink) error {
	for {
		view, err := s.newAnswerView(op, number)
		if err != nil {
			return err
		}
		if view.answer.State.Final() {
			return sendFinal(view.answer, sink)
		}
		if view.answer.State == program.Accepted {
			s.startWorker(op.tenant, op.program)
		}
		if err := s.followBuffer(ctx, view, sink); err != nil {
			return err
		}
	}
}

func (s *shard) newAnswerView(op operation, number structs.CallNumber) (answerView, error) {
	view := answerView{}
	err := s.readState(func(machine *program.Machine) error {
		answer, err := machine.CallResult(op.tenant, op.program, number)
		if err != nil {
			return err
		}
		view.answer = answer
		if answer.State == program.Started && answer.Kind == program.ModelCall {
			view.buffer = s.answerBufferForKey(callKey{op.program, number})
		}
		view.changed = s.changeChannel(op.program)
		view.leadershipEnded = s.context.Done()
		return nil
	})
	return view, err
}

// followBuffer sends text as it arrives until the program's next record.
func (s *shard) followBuffer(ctx context.Context, view answerView, sink replySink) error {
	for {
		changed, err := sendBuffered(view.buffer, sink)
		if err != nil {
			return err
		}
		select {
		case <-changed:
		case <-view.changed:
			return nil
		case <-view.leadershipEnded:
			return s.notLeaderError()
		case <-ctx.Done():
			return &failure.ProposalUnknown{Shard: uint32(s.id)}
		}
	}
}

// sendBuffered sends the buffered text that the reader does not have yet. It returns a
// channel that is closed when there is more text, or nil without a buffer.
func sendBuffered(buffer *answerBuffer, sink replySink) (<-chan struct{}, error) {
	if buffer == nil {
		return nil, nil
	}
	for {
		position := sink.parts.cursor
		attempt, text, changed := buffer.read(position.Offset)
		if attempt == 0 {
			return changed, nil
		}
		if position.isSupersededBy(attempt) {
			if err := sink.parts.Part(position.newPart(attempt, nil)); err != nil {
				return nil, err
			}
			continue
		}
		if len(text) == 0 {
			return changed, nil
		}
		if err := sink.parts.Part(position.newPart(attempt, text)); err != nil {
			return nil, err
		}
	}
}

// sendFinal sends the rest of a finished answer, or returns the failure recorded in
// the journal.
func sendFinal(answer program.CallResult, sink replySink) error {
	if answer.State != program.Finished {
		return finalFailure(answer)
	}
	position := sink.parts.cursor
	if position.isSupersededBy(answer.Attempt) {
		if err := sink.parts.Part(position.newPart(answer.Attempt, nil)); err != nil {
			return err
		}
		position = sink.parts.cursor
	}
	if position.Offset > uint64(len(answer.Answer)) {
		return &failure.Malformed{Field: "offset", Reason: "beyond the end of the answer"}
	}
	return sink.parts.Part(caller.AnswerPart{
		Attempt:      answer.Attempt,
		Offset:       position.Offset,
		Text:         answer.Answer[position.Offset:],
		Complete:     true,
		PromptTokens: answer.PromptTokens,
		AnswerTokens: answer.AnswerTokens,
		ReusedTokens: answer.ReusedTokens,
	})
}

// finalFailure returns the failure of a call as recorded in the journal. It is the
// same every time.
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
