package executor

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// modelCallTimeout bounds one attempt of a model call; the attempt reserves
	// as much of the time budget, or what is left of it.
	modelCallTimeout = 120 * time.Second
	// engineSearchTimeout is how long a call waits for an engine that can take
	// it before it is refused.
	engineSearchTimeout = 3 * time.Second
	engineSearchDelay   = 100 * time.Millisecond
	// holdTimeout is how long the first call of a program is held at the most
	// while no engine has memory for it; the policy ends the hold sooner where
	// the program's deadline is near.
	holdTimeout = 30 * time.Second
	// maxModelAttempts bounds the attempts of one call.
	maxModelAttempts = 4
	// moveTimeout bounds a transfer of cache; the call prefills without it.
	moveTimeout = 2 * time.Second
)

// modelAttempt is everything needed to send, or send again, one attempt.
type modelAttempt struct {
	call     *program.Call
	segments [][]byte
	prompt   int64
	// missing are the prompt's tokens that the engine is not believed to have.
	missing  int64
	price    int64
	choice   schedule.Choice
	moveFrom string
	// taken says that an earlier leader started the attempt.
	taken bool
}

// runModel runs a model call to its end.
func (w *worker) runModel(call *program.Call, started bool) error {
	attempt, err := w.prepare(call, started)
	if err != nil {
		return err
	}
	if !started {
		if done, err := w.beginModel(attempt, nil); done || err != nil {
			return err
		}
	}
	return w.followModel(attempt)
}

// followModel follows a started attempt, and the attempts that take its place,
// to the call's end.
func (w *worker) followModel(attempt *modelAttempt) error {
	excluded := map[structs.EngineID]bool{}
	for {
		again, err := w.streamModel(attempt)
		if err != nil || !again {
			return err
		}
		excluded[structs.EngineID(attempt.call.TargetID)] = true
		attempt, err = w.nextAttempt(attempt.call, excluded)
		if err != nil || attempt == nil {
			return err
		}
	}
}

// nextAttempt starts the call once more; nil says that the call has ended.
func (w *worker) nextAttempt(lost *program.Call, excluded map[structs.EngineID]bool) (*modelAttempt, error) {
	if refused, err := w.awaitRetry(lost); refused || err != nil {
		return nil, err
	}
	call, err := w.callNow(lost.Number)
	if err != nil || call.State.Final() {
		return nil, err
	}
	attempt, err := w.prepare(call, false)
	if err != nil {
		return nil, err
	}
	if done, err := w.beginModel(attempt, excluded); done || err != nil {
		return nil, err
	}
	return attempt, nil
}

// awaitRetry waits until the daemon's retries leave room for one more. A call for
// which there is none in time is refused.
func (w *worker) awaitRetry(call *program.Call) (refused bool, err error) {
	deadline := time.Now().Add(engineSearchTimeout)
	for !w.shard.executor.retries.Allow(time.Now()) {
		if time.Now().After(deadline) {
			return true, w.refuse(call, &failure.EngineUnavailable{Wait: engineSearchTimeout})
		}
		if !pause.For(w.context, engineSearchDelay) {
			return false, w.shard.notLeader()
		}
	}
	return false, nil
}

// prepare collects the prompt: the program's whole history and the call's input.
func (w *worker) prepare(call *program.Call, started bool) (*modelAttempt, error) {
	attempt := &modelAttempt{call: call, taken: started}
	packed := program.EncodedHistory{}
	err := w.shard.inspect(func(machine *program.Machine) error {
		history, err := machine.EncodedHistory(w.program)
		packed = history
		return err
	})
	if err != nil {
		return nil, err
	}
	// A long history takes milliseconds to unpack, beside the shard's lock.
	turns, err := packed.Turns()
	if err != nil {
		return nil, err
	}
	for _, turn := range turns {
		attempt.segments = append(attempt.segments, turn.Input, turn.Answer)
	}
	attempt.segments = append(attempt.segments, call.Input)
	for _, segment := range attempt.segments {
		attempt.prompt += engine.TokenCount(segment)
	}
	attempt.missing = attempt.prompt
	attempt.price = modelPrice(w.shard.executor.options.Configuration(), structs.ModelName(call.Target))
	return attempt, nil
}

// beginModel chooses an engine and records the start. done says that the call
// has ended instead.
func (w *worker) beginModel(attempt *modelAttempt, excluded map[structs.EngineID]bool) (done bool, err error) {
	status, err := w.status()
	if err != nil {
		return false, err
	}
	if err := w.findEngine(attempt, status, excluded); err != nil {
		return true, w.refuse(attempt.call, err)
	}
	started, err := w.start(attempt.startRequest(status.Remaining))
	if refusable(err) {
		return true, w.refuse(attempt.call, err)
	}
	if err != nil {
		return false, err
	}
	attempt.call = started
	return false, nil
}

// startRequest announces the attempt, with what is left of the budget given.
func (a *modelAttempt) startRequest(left structs.Amount) program.StartRequest {
	return program.StartRequest{
		Program:           a.call.Program,
		Number:            a.call.Number,
		TargetID:          string(a.choice.Engine),
		TargetIncarnation: a.choice.Incarnation,
		TargetAddress:     a.choice.Address,
		DispatchKey:       dispatchKey(a.call),
		Reserve:           a.reservation(left),
		MayCache:          true,
	}
}

// prospect describes the attempt to the scheduler.
func (a *modelAttempt) prospect() prospect {
	return prospect{
		model:           structs.ModelName(a.call.Target),
		adapter:         a.call.Adapter,
		promptTokens:    a.prompt,
		maxAnswerTokens: a.call.MaxAnswerTokens,
		pauseHint:       a.call.ExpectedPause,
		firstInput:      a.segments[0],
	}
}

// reservation is the most that the attempt can cost. Its time is bounded by
// what is left, and the attempt is stopped when that is over.
func (a *modelAttempt) reservation(left structs.Amount) structs.Amount {
	tokens := a.prompt + a.call.MaxAnswerTokens
	return structs.Amount{
		Tokens:       tokens,
		CostMicros:   tokenCost(tokens, a.price),
		Turns:        1,
		Milliseconds: max(min(modelCallTimeout.Milliseconds(), left.Milliseconds), 1),
	}
}

// findEngine asks the policy, and again for a bounded time while no engine is
// there; reports of engines are late.
func (w *worker) findEngine(attempt *modelAttempt, status program.Status, excluded map[structs.EngineID]bool) error {
	began := time.Now()
	deadline := began.Add(engineSearchTimeout)
	request := w.shard.scheduleRequest(status, attempt.prospect())
	request.Excluded = excluded
	for {
		choice, err := w.shard.executor.choose(request)
		if err == nil && choice.Defer > 0 && time.Since(began) < holdTimeout {
			if !pause.For(w.context, choice.Defer) {
				return w.shard.notLeader()
			}
			continue
		}
		if err == nil {
			err = w.shard.mayRest(choice, status)
		}
		if err == nil {
			w.assign(attempt, choice, request, status)
			return nil
		}
		w.shard.executor.options.Engines.RequestEngines(status.CacheZones, request.Model)
		known, isFailure := failure.As(err)
		searching := isFailure && known.Retry().Allowed
		if !searching || time.Now().After(deadline) || !pause.For(w.context, engineSearchDelay) {
			return err
		}
		clear(excluded)
	}
}

// streamModel sends the attempt, or takes its stream up again, and settles it.
// again says that the attempt is lost and the call can be sent once more.
func (w *worker) streamModel(attempt *modelAttempt) (again bool, err error) {
	call := attempt.call
	deadline := call.StartedAt.Add(time.Duration(call.Reserved.Milliseconds) * time.Millisecond)
	ctx, cancel := context.WithDeadline(w.context, deadline)
	defer cancel()
	stopWatching := w.watchAbandon(ctx, cancel, call.Number)
	defer stopWatching()
	end := w.shard.executor.options.Engines.StreamStarted(structs.EngineID(call.TargetID), attempt.missing)
	defer end()

	w.moveCache(ctx, attempt)
	usage, err := w.receive(ctx, attempt)
	if w.context.Err() != nil {
		return false, w.shard.notLeader()
	}
	if err == nil {
		return false, w.settleFinished(attempt, usage)
	}
	return w.settleLost(ctx, attempt, err)
}

// settleFinished records the answer; only then is it complete for any reader.
func (w *worker) settleFinished(attempt *modelAttempt, usage engine.Usage) error {
	call := attempt.call
	tokens := usage.PromptTokens + usage.AnswerTokens
	err := w.finish(program.FinishRequest{
		Program:      call.Program,
		Number:       call.Number,
		Attempt:      call.Attempt,
		Answer:       w.shard.liveText(call),
		PromptTokens: usage.PromptTokens,
		AnswerTokens: usage.AnswerTokens,
		ReusedTokens: usage.ReusedTokens,
		Spent: structs.Amount{
			Tokens:       tokens,
			CostMicros:   tokenCost(tokens, attempt.price),
			Milliseconds: elapsed(call.StartedAt),
		},
	})
	if err != nil {
		return err
	}
	w.shard.executor.retries.RecordSuccess(time.Now())
	w.shard.endLive(call)
	w.shard.noteAnswered(call.Program, structs.EngineID(call.TargetID), tokens)
	return nil
}

// settleLost takes an attempt back that brought no whole answer. What it cost
// is not known, so the whole reservation counts as spent, unless the engine
// refused it. An attempt that was stopped here says nothing against its engine.
func (w *worker) settleLost(ctx context.Context, attempt *modelAttempt, cause error) (again bool, err error) {
	call := attempt.call
	known := failure.Classify(cause)
	if ctx.Err() == nil {
		w.shard.executor.options.Engines.ReportFailure(structs.EngineID(call.TargetID))
	}
	request := program.NotRunRequest{
		Program:       call.Program,
		Number:        call.Number,
		Attempt:       call.Attempt,
		FailureType:   known.Type(),
		FailureDetail: known.Error(),
	}
	if known.Outcome() != failure.NotRun || attempt.taken {
		request.GivenUp = true
		request.Spent = call.Reserved
		request.Spent.Milliseconds = min(elapsed(call.StartedAt), call.Reserved.Milliseconds)
	}
	request.Final = ctx.Err() != nil || call.Attempt >= maxModelAttempts
	if ctx.Err() != nil {
		w.cancelStream(call)
	}
	if request.GivenUp && !call.Repeatable && !call.AbandonRequested && !request.Final {
		request.Final = true
	}
	if err := w.notRunOrUnknown(call, request); err != nil {
		return false, err
	}
	if request.Final {
		w.shard.endLive(call)
	}
	eventAttemptLost.Log("program", call.Program, "call", call.Number, "attempt", call.Attempt,
		"engine", call.TargetID, "failure", known.Type(), "final", request.Final)
	return !request.Final, nil
}

// notRunOrUnknown records the request; a call that is not repeatable and may
// have run is recorded as of unknown outcome.
func (w *worker) notRunOrUnknown(call *program.Call, request program.NotRunRequest) error {
	if request.GivenUp && !call.Repeatable {
		return w.unknown(call, request.FailureDetail)
	}
	return w.notRun(request)
}
