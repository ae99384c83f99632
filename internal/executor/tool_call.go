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
	// defaultToolTimeout bounds a call to a tool that declares no deadline.
	defaultToolTimeout = 30 * time.Second
	toolRetryDelay     = 50 * time.Millisecond
	// outcomeTimeout bounds asking a tool for the outcome of an earlier call.
	outcomeTimeout = 10 * time.Second
	outcomeDelay   = 200 * time.Millisecond
)

// runTool runs a tool call to its end.
//
// Invariant: a call that is not repeatable is sent at most once, by the leader
// whose own start record it carries; a later leader only asks for its outcome.
func (w *worker) runTool(call *program.Call, started bool) error {
	declared, err := w.permittedTool(call)
	if err != nil && !started {
		return w.refuse(call, err)
	}
	if err != nil {
		return w.unknown(call, err.Error())
	}
	if started {
		return w.takeOverTool(declared, call)
	}
	for {
		begun, done, err := w.beginTool(declared, call)
		if done || err != nil {
			return err
		}
		again, err := w.sendTool(declared, begun, false)
		if err != nil || !again {
			return err
		}
		if call, err = w.callNow(call.Number); err != nil || call.State.Final() {
			return err
		}
	}
}

// permittedTool returns the tool as declared now, where its zone may see the
// program's data.
func (w *worker) permittedTool(call *program.Call) (structs.Tool, error) {
	declared, found := declaredTool(w.shard.executor.options.Configuration(), structs.ToolName(call.Target))
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

// beginTool records the start. done says that the call has ended instead.
func (w *worker) beginTool(declared structs.Tool, call *program.Call) (begun *program.Call, done bool, err error) {
	begun, err = w.start(program.StartRequest{
		Program:       call.Program,
		Number:        call.Number,
		TargetID:      call.Target,
		TargetAddress: declared.Address,
		DispatchKey:   toolKey(call),
		Reserve: structs.Amount{
			CostMicros:   declared.PriceMicros,
			Turns:        1,
			Milliseconds: toolTimeout(declared).Milliseconds(),
		},
	})
	if refusable(err) {
		return nil, true, w.refuse(call, err)
	}
	return begun, false, err
}

// toolKey is the idempotency key of a call. All attempts of a repeatable call
// share it, so that a tool that knows keys runs the call once.
func toolKey(call *program.Call) string {
	if call.Repeatable {
		return string(call.Program) + "." + formatNumber(uint64(call.Number))
	}
	return dispatchKey(call)
}

// sendTool sends the call once. again says that it may be sent another time.
// taken says that an earlier leader may have sent the attempt already: a refusal
// of this sending is then no proof that it did not run.
func (w *worker) sendTool(declared structs.Tool, call *program.Call, taken bool) (again bool, err error) {
	ctx, cancel := context.WithDeadline(w.shard.executor.context, attemptDeadline(call))
	defer cancel()
	leave := w.shard.executor.quiesced.enter()
	defer leave()
	result, err := w.shard.executor.options.ToolClient.Call(ctx, declared, call.DispatchKey, call.Input)
	if err == nil {
		return false, w.settleTool(declared, call, result, nil)
	}
	switch {
	case failure.IsType(err, (&failure.ToolFailed{}).Type()):
		return false, w.settleTool(declared, call, tool.Result{}, err)
	case failure.Classify(err).Outcome() == failure.NotRun && !taken:
		return w.settleToolRefused(declared, call, err)
	case call.Repeatable:
		return w.settleToolLost(declared, call, err)
	}
	return false, w.learnOutcome(declared, call)
}

// attemptDeadline is when the attempt's reserved time is over.
func attemptDeadline(call *program.Call) time.Time {
	return call.StartedAt.Add(time.Duration(call.Reserved.Milliseconds) * time.Millisecond)
}

// settleTool records the end of a call that ran.
func (w *worker) settleTool(declared structs.Tool, call *program.Call, result tool.Result, failed error) error {
	request := program.FinishRequest{
		Program: call.Program,
		Number:  call.Number,
		Attempt: call.Attempt,
		Answer:  result.Body,
		Spent: structs.Amount{
			CostMicros:   declared.PriceMicros,
			Milliseconds: elapsed(call.StartedAt),
		},
	}
	if failed != nil {
		request.FailureType = failure.Classify(failed).Type()
		request.FailureDetail = failed.Error()
	}
	return w.finish(request)
}

// settleToolRefused takes an attempt back that the tool did not run.
func (w *worker) settleToolRefused(declared structs.Tool, call *program.Call, cause error) (again bool, err error) {
	again = int(call.Attempt) <= declared.Retries
	err = w.notRun(program.NotRunRequest{
		Program:       call.Program,
		Number:        call.Number,
		Attempt:       call.Attempt,
		Spent:         structs.Amount{Milliseconds: min(elapsed(call.StartedAt), call.Reserved.Milliseconds)},
		Final:         !again,
		FailureType:   failure.Classify(cause).Type(),
		FailureDetail: cause.Error(),
	})
	return w.retryTool(again, err, call)
}

// settleToolLost gives an attempt of a repeatable call up whose answer was
// lost; what it may have cost counts as spent.
func (w *worker) settleToolLost(declared structs.Tool, call *program.Call, cause error) (again bool, err error) {
	if int(call.Attempt) > declared.Retries {
		return false, w.unknown(call, cause.Error())
	}
	err = w.notRun(program.NotRunRequest{
		Program: call.Program,
		Number:  call.Number,
		Attempt: call.Attempt,
		Spent: structs.Amount{
			CostMicros:   declared.PriceMicros,
			Milliseconds: min(elapsed(call.StartedAt), call.Reserved.Milliseconds),
		},
		GivenUp:       true,
		FailureType:   failure.Classify(cause).Type(),
		FailureDetail: cause.Error(),
	})
	return w.retryTool(true, err, call)
}

func (w *worker) retryTool(again bool, err error, call *program.Call) (bool, error) {
	if err != nil || !again {
		return false, err
	}
	return pause.For(w.context, toolRetryDelay<<min(call.Attempt, 6)), nil
}

// takeOverTool ends a call that an earlier leader started.
func (w *worker) takeOverTool(declared structs.Tool, call *program.Call) error {
	if !call.Repeatable {
		return w.learnOutcome(declared, call)
	}
	again, err := w.sendTool(declared, call, true)
	if err != nil || !again {
		return err
	}
	next, err := w.callNow(call.Number)
	if err != nil || next.State.Final() {
		return err
	}
	return w.runTool(next, false)
}

// learnOutcome asks the tool what became of a call by its key, where the tool
// can tell, and records the outcome as unknown otherwise. A tool's word that
// the call did not run is no proof while the request may still be on its way,
// so it is asked until the time is over.
func (w *worker) learnOutcome(declared structs.Tool, call *program.Call) error {
	if !declared.StatusByKey {
		return w.unknown(call, "the tool gave no answer and cannot tell")
	}
	ctx, cancel := context.WithTimeout(w.context, outcomeTimeout)
	defer cancel()
	for {
		outcome, err := w.shard.executor.options.ToolClient.Outcome(ctx, declared, call.DispatchKey)
		if err == nil && outcome.Known && outcome.Ran {
			return w.settleTool(declared, call, tool.Result{Body: outcome.Body}, nil)
		}
		if !pause.For(ctx, outcomeDelay) {
			break
		}
	}
	if w.context.Err() != nil {
		return w.shard.notLeader()
	}
	return w.unknown(call, "the tool does not know the call's outcome")
}

func toolTimeout(declared structs.Tool) time.Duration {
	if declared.DeadlineMilliseconds <= 0 {
		return defaultToolTimeout
	}
	return time.Duration(declared.DeadlineMilliseconds) * time.Millisecond
}
