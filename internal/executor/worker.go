package executor

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// worker dispatches the calls of one program sequentially while this daemon leads the
// program's shard. It stops when no call can be dispatched.
type worker struct {
	shard   *shard
	tenant  structs.TenantID
	program structs.ProgramID
	// context is cancelled when the leadership ends.
	context context.Context
	// resumedCall is a started but unfinished call of an earlier leader. It is guarded
	// by the shard's mutex.
	resumedCall *program.Call
	// committedAttempt is an attempt whose start is committed and that has to be sent. It is
	// guarded by the shard's mutex.
	committedAttempt *modelAttempt
}

// startWorker makes sure that a worker dispatches the program's calls.
func (s *shard) startWorker(tenant structs.TenantID, id structs.ProgramID) {
	s.startWorkerWithCall(tenant, id, nil)
}

// startWorkerWithCall is startWorker with a started call to resume first. A worker
// that is already running handles its own started call.
func (s *shard) startWorkerWithCall(tenant structs.TenantID, id structs.ProgramID, started *program.Call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term == 0 {
		return
	}
	s.ensureWorker(&worker{shard: s, tenant: tenant, program: id, context: s.context, resumedCall: started})
}

// ensureWorker starts the worker. If the program already has one, that worker
// receives the committed attempt of the new one instead. The caller holds the mutex.
func (s *shard) ensureWorker(worker *worker) {
	if running, exists := s.workers[worker.program]; exists {
		if worker.committedAttempt != nil {
			running.committedAttempt = worker.committedAttempt
		}
		return
	}
	s.workers[worker.program] = worker
	s.executor.runInBackground(worker.run)
}

// workerTask is the next work of a worker.
type workerTask struct {
	call *program.Call
	// startedByFormerLeader is set if an earlier leader started the call.
	startedByFormerLeader bool
	// committedAttempt is the attempt to run if its start is already committed; nil otherwise.
	committedAttempt *modelAttempt
}

func (w *worker) run() {
	for {
		next, found := w.nextTask()
		if !found {
			return
		}
		if err := w.execute(next); err != nil {
			w.logAndDelay(err)
		}
	}
}

func (w *worker) execute(next workerTask) error {
	switch {
	case next.committedAttempt != nil:
		return w.runModelAttempts(next.committedAttempt)
	case next.call.Kind == program.ToolCall:
		return w.runTool(next.call, next.startedByFormerLeader)
	}
	return w.runModel(next.call, next.startedByFormerLeader)
}

// nextTask returns the next task. If there is none, it removes the worker from the
// shard and returns false.
func (w *worker) nextTask() (workerTask, bool) {
	s := w.shard
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if w.context.Err() != nil {
		return workerTask{}, false
	}
	if attempt := w.committedAttempt; attempt != nil {
		w.committedAttempt = nil
		return workerTask{committedAttempt: attempt}, true
	}
	if call := w.resumedCall; call != nil {
		w.resumedCall = nil
		return workerTask{call: call, startedByFormerLeader: true}, true
	}
	if !s.executor.quiescence.isStopping() {
		if runnable, found := s.machine.RunnableCall(w.program); found {
			return workerTask{call: runnable}, true
		}
	}
	delete(s.workers, w.program)
	return workerTask{}, false
}

// logAndDelay logs an unexpected failure and waits, so that the worker does not retry
// in a tight loop.
func (w *worker) logAndDelay(err error) {
	const delay = 100 * time.Millisecond
	if w.context.Err() != nil {
		return
	}
	eventWorkerFailed.Log("program", w.program, "failure", failure.Classify(err).Type(), "detail", err)
	pause.For(w.context, delay)
}

// proposeDecision makes a decision on the worker's program.
func (w *worker) proposeDecision(decide decisionFunc) error {
	_, err := w.shard.proposeDecision(w.context, decide, w.program)
	return err
}

// status returns the program's current status.
func (w *worker) status() (program.Status, error) {
	status := program.Status{}
	err := w.shard.readState(func(machine *program.Machine) error {
		found, err := machine.Status(w.tenant, w.program)
		status = found
		return err
	})
	return status, err
}

// recordStart commits the start of the attempt and returns the started call.
func (w *worker) recordStart(request program.StartRequest) (*program.Call, error) {
	err := w.proposeDecision(func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Start(now, request)
	})
	if err != nil {
		return nil, err
	}
	var started *program.Call
	err = w.shard.readState(func(machine *program.Machine) error {
		call, found := machine.StartedCall(request.Program, request.Number, request.DispatchKey)
		if !found {
			return &failure.CallConflict{What: "attempt"}
		}
		started = call
		return nil
	})
	return started, err
}

func (w *worker) recordFinish(request program.FinishRequest) error {
	return w.proposeDecision(func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Finish(now, request)
	})
}

func (w *worker) recordNotRun(request program.NotRunRequest) error {
	return w.proposeDecision(func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.RecordNotRun(now, request)
	})
}

func (w *worker) recordUnknownOutcome(call *program.Call, detail string) error {
	return w.proposeDecision(func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.RecordOutcomeUnknown(now, call.Program, call.Number, call.Attempt, detail)
	})
}

// reject ends a call that was never sent and therefore did not run.
func (w *worker) reject(call *program.Call, cause error) error {
	classified := failure.Classify(cause)
	return w.recordNotRun(program.NotRunRequest{
		Program:       call.Program,
		Number:        call.Number,
		Final:         true,
		FailureType:   classified.Type(),
		FailureDetail: classified.Error(),
	})
}

// isFinalRejection reports whether the state machine rejected the start of a call,
// which is then the call's final outcome.
func isFinalRejection(err error) bool {
	return failure.IsType(err, (&failure.BudgetExceeded{}).Type()) ||
		failure.IsType(err, (&failure.NoPermittedPlace{}).Type()) ||
		failure.IsType(err, (&failure.NotPermitted{}).Type())
}

// currentCall returns the call from the current state.
func (w *worker) currentCall(number structs.CallNumber) (*program.Call, error) {
	var call *program.Call
	err := w.shard.readState(func(machine *program.Machine) error {
		found, exists := machine.Call(w.program, number)
		if !exists {
			return &failure.UnknownCall{Number: uint32(number)}
		}
		call = found
		return nil
	})
	return call, err
}

// dispatchKey identifies an attempt. It is the same on every leader that resumes the
// attempt.
func dispatchKey(call *program.Call) string {
	attempt := uint64(call.Attempt) + 1
	return string(call.Program) + "." + formatNumber(uint64(call.Number)) + "." + formatNumber(attempt)
}

// elapsedMilliseconds returns the milliseconds since the attempt started, at least 1.
func elapsedMilliseconds(started time.Time) int64 {
	return max(time.Since(started).Milliseconds(), 1)
}
