package executor

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/tool"
)

const (
	// defaultToolTimeout limits a call to a tool that declares no deadline.
	defaultToolTimeout = 30 * time.Second
	toolRetryDelay     = 50 * time.Millisecond
	// outcomeQueryTimeout limits how long a tool is asked for the outcome of an
	// earlier call.
	outcomeQueryTimeout  = 10 * time.Second
	outcomeQueryInterval = 200 * time.Millisecond
)

// runTool executes a tool call until it ends.
//
// Invariant: a call that is not repeatable is sent at most once, by the leader that
// recorded its start. A later leader only queries its outcome.
func (w *worker) runTool(call *program.Call, startedByFormerLeader bool) error {
	declared, err := w.permittedTool(call)
	if err != nil && !startedByFormerLeader {
		return w.reject(call, err)
	}
	if err != nil {
		return w.recordUnknownOutcome(call, err.Error())
	}
	if startedByFormerLeader {
		return w.resumeTool(declared, call)
	}
	for {
		startedCall, done, err := w.startToolAttempt(declared, call)
		if done || err != nil {
			return err
		}
		retry, err := w.sendTool(declared, startedCall, false)
		if err != nil || !retry {
			return err
		}
		if call, err = w.currentCall(call.Number); err != nil || call.State.Final() {
			return err
		}
	}
}

// permittedTool returns the tool as currently declared, and an error if its zone may
// not receive the program's data.
func (w *worker) permittedTool(call *program.Call) (structs.Tool, error) {
	declared, found := findTool(w.shard.executor.options.Configuration(), structs.ToolName(call.Target))
	if !found {
		return structs.Tool{}, &failure.NotPermitted{What: "tool " + call.Target}
	}
	status, err := w.status()
	if err != nil {
		return structs.Tool{}, err
	}
	policy := placement.Policy{HistoryZones: status.HistoryZones, CacheZones: status.CacheZones}
	return declared, placement.Check(policy, placement.ToolArguments, declared.Zone)
}

// startToolAttempt records the start of an attempt. done reports that the call has
// ended instead.
func (w *worker) startToolAttempt(declared structs.Tool, call *program.Call) (startedCall *program.Call, done bool, err error) {
	startedCall, err = w.recordStart(program.StartRequest{
		Program:       call.Program,
		Number:        call.Number,
		TargetID:      call.Target,
		TargetAddress: declared.Address,
		DispatchKey:   idempotencyKey(call),
		Reserve: structs.Amount{
			CostMicros:   declared.PriceMicros,
			Turns:        1,
			Milliseconds: toolTimeout(declared).Milliseconds(),
		},
	})
	if isFinalRejection(err) {
		return nil, true, w.reject(call, err)
	}
	return startedCall, false, err
}

// idempotencyKey returns the idempotency key of a call. All attempts of a repeatable
// call share it, so that a tool that supports keys runs the call once.
func idempotencyKey(call *program.Call) string {
	if call.Repeatable {
		return string(call.Program) + "." + formatNumber(uint64(call.Number))
	}
	return dispatchKey(call)
}

// sendTool sends the call once. retry reports that it may be sent again.
// startedByFormerLeader says that an earlier leader may already have sent the attempt;
// if the tool rejects it now, that does not prove that it did not run.
func (w *worker) sendTool(declared structs.Tool, call *program.Call, startedByFormerLeader bool) (retry bool, err error) {
	ctx, cancel := context.WithDeadline(w.shard.executor.context, attemptDeadline(call))
	defer cancel()
	endToolCall := w.shard.executor.quiescence.beginToolCall()
	defer endToolCall()
	result, err := w.shard.executor.options.ToolClient.Call(ctx, declared, call.DispatchKey, call.Input)
	if err == nil {
		return false, w.settleTool(declared, call, result, nil)
	}
	switch {
	case failure.IsType(err, (&failure.ToolFailed{}).Type()):
		return false, w.settleTool(declared, call, tool.Result{}, err)
	case failure.Classify(err).Outcome() == failure.NotRun && !startedByFormerLeader:
		return w.settleToolNotRun(declared, call, err)
	case call.Repeatable:
		return w.settleToolLost(declared, call, err)
	}
	return false, w.queryOutcome(declared, call)
}

// attemptDeadline returns the end of the attempt's reserved time.
func attemptDeadline(call *program.Call) time.Time {
	return call.StartedAt.Add(time.Duration(call.Reserved.Milliseconds) * time.Millisecond)
}

// settleTool records the end of a call that ran.
func (w *worker) settleTool(declared structs.Tool, call *program.Call, result tool.Result, toolErr error) error {
	request := program.FinishRequest{
		Program: call.Program,
		Number:  call.Number,
		Attempt: call.Attempt,
		Answer:  result.Body,
		Spent: structs.Amount{
			CostMicros:   declared.PriceMicros,
			Milliseconds: elapsedMilliseconds(call.StartedAt),
		},
	}
	if toolErr != nil {
		request.FailureType = failure.Classify(toolErr).Type()
		request.FailureDetail = toolErr.Error()
	}
	return w.recordFinish(request)
}

// settleToolNotRun settles an attempt that the tool did not run.
func (w *worker) settleToolNotRun(declared structs.Tool, call *program.Call, cause error) (retry bool, err error) {
	retry = int(call.Attempt) <= declared.Retries
	err = w.recordNotRun(program.NotRunRequest{
		Program:       call.Program,
		Number:        call.Number,
		Attempt:       call.Attempt,
		Spent:         structs.Amount{Milliseconds: min(elapsedMilliseconds(call.StartedAt), call.Reserved.Milliseconds)},
		Final:         !retry,
		FailureType:   failure.Classify(cause).Type(),
		FailureDetail: cause.Error(),
	})
	return w.delayToolRetry(retry, err, call)
}

// settleToolLost settles an attempt of a repeatable call whose answer was lost. Its
// possible cost counts as spent.
func (w *worker) settleToolLost(declared structs.Tool, call *program.Call, cause error) (retry bool, err error) {
	if int(call.Attempt) > declared.Retries {
		return false, w.recordUnknownOutcome(call, cause.Error())
	}
	err = w.recordNotRun(program.NotRunRequest{
		Program: call.Program,
		Number:  call.Number,
		Attempt: call.Attempt,
		Spent: structs.Amount{
			CostMicros:   declared.PriceMicros,
			Milliseconds: min(elapsedMilliseconds(call.StartedAt), call.Reserved.Milliseconds),
		},
		GivenUp:       true,
		FailureType:   failure.Classify(cause).Type(),
		FailureDetail: cause.Error(),
	})
	return w.delayToolRetry(true, err, call)
}

func (w *worker) delayToolRetry(retry bool, err error, call *program.Call) (bool, error) {
	if err != nil || !retry {
		return false, err
	}
	return pause.For(w.context, toolRetryDelay<<min(call.Attempt, 6)), nil
}

// resumeTool ends a call that an earlier leader started.
func (w *worker) resumeTool(declared structs.Tool, call *program.Call) error {
	if !call.Repeatable {
		return w.queryOutcome(declared, call)
	}
	retry, err := w.sendTool(declared, call, true)
	if err != nil || !retry {
		return err
	}
	next, err := w.currentCall(call.Number)
	if err != nil || next.State.Final() {
		return err
	}
	return w.runTool(next, false)
}

// queryOutcome asks the tool for the outcome of a call by its key if the tool supports
// that, and records the outcome as unknown otherwise. While the request may still be
// in transit, a reply that the call did not run proves nothing, so the query is
// repeated until outcomeQueryTimeout.
func (w *worker) queryOutcome(declared structs.Tool, call *program.Call) error {
	if !declared.StatusByKey {
		return w.recordUnknownOutcome(call, "the tool gave no answer and cannot tell")
	}
	ctx, cancel := context.WithTimeout(w.context, outcomeQueryTimeout)
	defer cancel()
	for {
		outcome, err := w.shard.executor.options.ToolClient.Outcome(ctx, declared, call.DispatchKey)
		if err == nil && outcome.Known && outcome.Ran {
			return w.settleTool(declared, call, tool.Result{Body: outcome.Body}, nil)
		}
		if !pause.For(ctx, outcomeQueryInterval) {
			break
		}
	}
	if w.context.Err() != nil {
		return w.shard.notLeaderError()
	}
	return w.recordUnknownOutcome(call, "the tool does not know the call's outcome")
}

func toolTimeout(declared structs.Tool) time.Duration {
	if declared.DeadlineMilliseconds <= 0 {
		return defaultToolTimeout
	}
	return time.Duration(declared.DeadlineMilliseconds) * time.Millisecond
}
