package executor

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// modelCallTimeout limits one attempt of a model call. The attempt reserves this
	// much of the time budget, or the remaining budget if that is less.
	modelCallTimeout = 120 * time.Second
	// engineSearchTimeout is how long a call waits for an engine with room before it
	// is rejected.
	engineSearchTimeout  = 3 * time.Second
	engineSearchInterval = 100 * time.Millisecond
	// maxDeferTime is the longest time that a call is deferred while no engine has
	// memory for its program. The scheduling policy stops deferring earlier if the
	// program's deadline is near.
	maxDeferTime = 30 * time.Second
	// maxModelAttempts limits the attempts of one call.
	maxModelAttempts = 4
	// moveTimeout limits a cache transfer between engines. If it fails, the engine
	// prefills the prompt instead.
	moveTimeout = 2 * time.Second
)

// modelAttempt contains everything needed to send one attempt, or to resend it.
type modelAttempt struct {
	call         *program.Call
	segments     [][]byte
	promptTokens int64
	// uncachedTokens are the prompt tokens that the engine is not expected to have
	// cached.
	uncachedTokens        int64
	pricePerMillionTokens int64
	choice                schedule.Choice
	moveSourceAddress     string
	// startedByFormerLeader is set if an earlier leader started the attempt.
	startedByFormerLeader bool
	// accepted is set once the engine has accepted the attempt's stream.
	accepted bool
}

// runModel executes a model call until it ends.
func (w *worker) runModel(call *program.Call, startedByFormerLeader bool) error {
	attempt, err := w.prepareAttempt(call, startedByFormerLeader)
	if err != nil {
		return err
	}
	if !startedByFormerLeader {
		if done, err := w.startModelAttempt(attempt, nil); done || err != nil {
			return err
		}
	}
	return w.runModelAttempts(attempt)
}

// runModelAttempts executes a started attempt, and further attempts if it is lost,
// until the call ends.
func (w *worker) runModelAttempts(attempt *modelAttempt) error {
	excluded := map[structs.EngineID]bool{}
	for {
		retry, err := w.streamAttempt(attempt)
		if err != nil || !retry {
			return err
		}
		excluded[structs.EngineID(attempt.call.TargetID)] = true
		attempt, err = w.nextAttempt(attempt.call, excluded)
		if err != nil || attempt == nil {
			return err
		}
	}
}

// nextAttempt starts another attempt of the call. It returns nil if the call has
// ended.
func (w *worker) nextAttempt(lost *program.Call, excluded map[structs.EngineID]bool) (*modelAttempt, error) {
	if rejected, err := w.awaitRetryBudget(lost); rejected || err != nil {
		return nil, err
	}
	call, err := w.currentCall(lost.Number)
	if err != nil || call.State.Final() {
		return nil, err
	}
	attempt, err := w.prepareAttempt(call, false)
	if err != nil {
		return nil, err
	}
	if done, err := w.startModelAttempt(attempt, excluded); done || err != nil {
		return nil, err
	}
	return attempt, nil
}

// awaitRetryBudget waits until the daemon's retry budget permits a retry, and rejects
// the call if it does not within engineSearchTimeout.
func (w *worker) awaitRetryBudget(call *program.Call) (rejected bool, err error) {
	deadline := time.Now().Add(engineSearchTimeout)
	for !w.shard.executor.retryBudget.Allow(time.Now()) {
		if time.Now().After(deadline) {
			return true, w.reject(call, &failure.EngineUnavailable{Wait: engineSearchTimeout})
		}
		if !pause.For(w.context, engineSearchInterval) {
			return false, w.shard.notLeaderError()
		}
	}
	return false, nil
}

// prepareAttempt collects the prompt: the program's complete history and the call's
// input.
func (w *worker) prepareAttempt(call *program.Call, startedByFormerLeader bool) (*modelAttempt, error) {
	attempt := &modelAttempt{call: call, startedByFormerLeader: startedByFormerLeader}
	packed := program.EncodedHistory{}
	err := w.shard.readState(func(machine *program.Machine) error {
		history, err := machine.EncodedHistory(w.program)
		packed = history
		return err
	})
	if err != nil {
		return nil, err
	}
	// Unpacking a long history takes milliseconds, so it is done without the shard's
	// lock.
	turns, err := packed.Turns()
	if err != nil {
		return nil, err
	}
	for _, turn := range turns {
		attempt.segments = append(attempt.segments, turn.Input, turn.Answer)
	}
	attempt.segments = append(attempt.segments, call.Input)
	for _, segment := range attempt.segments {
		attempt.promptTokens += engine.TokenCount(segment)
	}
	attempt.uncachedTokens = attempt.promptTokens
	attempt.pricePerMillionTokens = modelPrice(w.shard.executor.options.Configuration(), structs.ModelName(call.Target))
	return attempt, nil
}

// startModelAttempt chooses an engine and records the start of the attempt. done
// reports that the call has ended instead.
func (w *worker) startModelAttempt(attempt *modelAttempt, excluded map[structs.EngineID]bool) (done bool, err error) {
	status, err := w.status()
	if err != nil {
		return false, err
	}
	if err := w.findEngine(attempt, status, excluded); err != nil {
		return true, w.reject(attempt.call, err)
	}
	started, err := w.recordStart(attempt.startRequest(status.Remaining))
	if isFinalRejection(err) {
		return true, w.reject(attempt.call, err)
	}
	if err != nil {
		return false, err
	}
	attempt.call = started
	return false, nil
}

// startRequest returns the request that records the start of the attempt. left is the
// remaining budget.
func (a *modelAttempt) startRequest(left structs.Amount) program.StartRequest {
	return program.StartRequest{
		Program:           a.call.Program,
		Number:            a.call.Number,
		TargetID:          string(a.choice.Engine),
		TargetIncarnation: a.choice.Incarnation,
		TargetAddress:     a.choice.Address,
		DispatchKey:       dispatchKey(a.call),
		Reserve:           a.maxCost(left),
		MayCache:          true,
	}
}

// describeCall describes the call to the scheduler.
func (a *modelAttempt) describeCall() callDescription {
	return callDescription{
		model:           structs.ModelName(a.call.Target),
		adapter:         a.call.Adapter,
		promptTokens:    a.promptTokens,
		maxAnswerTokens: a.call.MaxAnswerTokens,
		pauseHint:       a.call.ExpectedPause,
		firstInput:      a.segments[0],
	}
}

// maxCost returns the maximum cost of the attempt, which is reserved. The attempt is
// stopped when its reserved time is over, so that time is limited to what is left.
func (a *modelAttempt) maxCost(left structs.Amount) structs.Amount {
	tokens := a.promptTokens + a.call.MaxAnswerTokens
	return structs.Amount{
		Tokens:       tokens,
		CostMicros:   tokenCost(tokens, a.pricePerMillionTokens),
		Turns:        1,
		Milliseconds: max(min(modelCallTimeout.Milliseconds(), left.Milliseconds), 1),
	}
}

// findEngine asks the scheduling policy for an engine. It retries for a limited time
// while no engine is available, because reports of engines arrive with a delay. The time
// for which the policy defers the call does not count.
func (w *worker) findEngine(attempt *modelAttempt, status program.Status, excluded map[structs.EngineID]bool) error {
	searchStart := time.Now()
	deadline := searchStart.Add(engineSearchTimeout)
	request := w.shard.newScheduleRequest(status, attempt.describeCall())
	request.Excluded = excluded
	for {
		choice, err := w.shard.executor.chooseEngine(request)
		if err == nil && choice.Defer > 0 && time.Since(searchStart) < maxDeferTime {
			if !pause.For(w.context, choice.Defer) {
				return w.shard.notLeaderError()
			}
			deadline = time.Now().Add(engineSearchTimeout)
			continue
		}
		if err == nil {
			err = w.shard.permitCachePlacement(choice, status)
		}
		if err == nil {
			w.assignEngine(attempt, choice, request, status)
			return nil
		}
		w.shard.executor.options.Engines.RequestEngines(status.CacheZones, request.Model)
		classified, isFailure := failure.As(err)
		searching := isFailure && classified.Retry().Allowed
		if !searching || time.Now().After(deadline) || !pause.For(w.context, engineSearchInterval) {
			return err
		}
		clear(excluded)
	}
}

// streamAttempt sends the attempt, or resumes its stream, and settles it. retry
// reports that the attempt was lost and the call can be sent again.
func (w *worker) streamAttempt(attempt *modelAttempt) (retry bool, err error) {
	call := attempt.call
	deadline := call.StartedAt.Add(time.Duration(call.Reserved.Milliseconds) * time.Millisecond)
	ctx, cancel := context.WithDeadline(w.context, deadline)
	defer cancel()
	stopWatching := w.cancelWhenAbandoned(ctx, cancel, call.Number)
	defer stopWatching()
	endStream := w.shard.executor.options.Engines.StreamStarted(structs.EngineID(call.TargetID), attempt.uncachedTokens)
	defer endStream()

	w.moveCache(ctx, attempt)
	usage, err := w.receiveAnswer(ctx, attempt)
	if w.context.Err() != nil {
		return false, w.shard.notLeaderError()
	}
	if err == nil {
		return false, w.settleFinished(attempt, usage)
	}
	return w.settleLost(ctx, attempt, err)
}

// settleFinished records the answer. Only then is it complete for any reader.
func (w *worker) settleFinished(attempt *modelAttempt, usage engine.Usage) error {
	call := attempt.call
	tokens := usage.PromptTokens + usage.AnswerTokens
	err := w.recordFinish(program.FinishRequest{
		Program:      call.Program,
		Number:       call.Number,
		Attempt:      call.Attempt,
		Answer:       w.shard.bufferedText(call),
		PromptTokens: usage.PromptTokens,
		AnswerTokens: usage.AnswerTokens,
		ReusedTokens: usage.ReusedTokens,
		Spent: structs.Amount{
			Tokens:       tokens,
			CostMicros:   tokenCost(tokens, attempt.pricePerMillionTokens),
			Milliseconds: elapsedMilliseconds(call.StartedAt),
		},
	})
	if err != nil {
		return err
	}
	w.shard.executor.retryBudget.RecordSuccess(time.Now())
	w.shard.dropAnswerBuffer(call)
	w.shard.recordCachedTokens(call.Program, structs.EngineID(call.TargetID), tokens)
	return nil
}

// settleLost settles an attempt that did not return a complete answer. Its cost is
// unknown, so the whole reservation counts as spent, unless the engine rejected the
// attempt. An attempt that this daemon stopped is not reported as a failure of the
// engine.
func (w *worker) settleLost(ctx context.Context, attempt *modelAttempt, cause error) (retry bool, err error) {
	call := attempt.call
	classified := failure.Classify(cause)
	if ctx.Err() == nil {
		w.shard.executor.options.Engines.ReportFailure(structs.EngineID(call.TargetID))
	}
	request := program.NotRunRequest{
		Program:       call.Program,
		Number:        call.Number,
		Attempt:       call.Attempt,
		FailureType:   classified.Type(),
		FailureDetail: classified.Error(),
	}
	if classified.Outcome() != failure.NotRun || attempt.startedByFormerLeader {
		request.GivenUp = true
		request.Spent = call.Reserved
		request.Spent.Milliseconds = min(elapsedMilliseconds(call.StartedAt), call.Reserved.Milliseconds)
	}
	request.EngineEnded = attempt.accepted && failure.IsType(cause, (&failure.EngineGone{}).Type())
	request.Final = ctx.Err() != nil || call.Attempt >= maxModelAttempts
	if quarantined := engineEndsError(call, request); quarantined != nil {
		request.Final, request.FailureType, request.FailureDetail = true, quarantined.Type(), quarantined.Error()
	}
	if ctx.Err() != nil {
		w.cancelStream(call)
	}
	if request.GivenUp && !call.Repeatable && !call.AbandonRequested && !request.Final {
		request.Final = true
	}
	if err := w.recordLostAttempt(call, request); err != nil {
		return false, err
	}
	if request.Final {
		w.shard.dropAnswerBuffer(call)
	}
	eventAttemptLost.Log("program", call.Program, "call", call.Number, "attempt", call.Attempt,
		"engine", call.TargetID, "failure", classified.Type(), "final", request.Final)
	return !request.Final, nil
}

// engineEndsError returns the error that ends a call under whose attempts too many engines have ended, or
// nil. Every attempt of a call counts, under whichever leader.
func engineEndsError(call *program.Call, lost program.NotRunRequest) *failure.CallEndsEngines {
	ends := int(call.EndedEngines)
	if lost.EngineEnded {
		ends++
	}
	if quarantine.Decide(quarantine.Situation{Ends: ends}) == quarantine.Send {
		return nil
	}
	return &failure.CallEndsEngines{Ends: ends}
}

// recordLostAttempt records the request. A call that is not repeatable and may have
// run is recorded with an unknown outcome.
func (w *worker) recordLostAttempt(call *program.Call, request program.NotRunRequest) error {
	if request.GivenUp && !call.Repeatable {
		return w.recordUnknownOutcome(call, request.FailureDetail)
	}
	return w.recordNotRun(request)
}
