package executor

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// worker dispatches the calls of one program, one after the other, while this
// daemon leads the program's shard. It ends when nothing can be dispatched.
type worker struct {
	shard   *shard
	tenant  structs.TenantID
	program structs.ProgramID
	// context ends with the leadership.
	context context.Context
	// resume is a started call without an end, taken over from an earlier
	// leader; guarded by the shard's mutex.
	resume *program.Call
	// begun is an attempt whose start is committed and that is to be sent;
	// guarded by the shard's mutex.
	begun *modelAttempt
}

// startWorker makes sure that the program's calls are being dispatched.
func (s *shard) startWorker(tenant structs.TenantID, id structs.ProgramID) {
	s.startResuming(tenant, id, nil)
}

// startResuming is startWorker with a started call to take up first. A worker
// that runs already looks after its own started call.
func (s *shard) startResuming(tenant structs.TenantID, id structs.ProgramID, started *program.Call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term == 0 {
		return
	}
	s.putToWork(&worker{shard: s, tenant: tenant, program: id, context: s.context, resume: started})
}

// putToWork starts the worker, or leaves what it was to begin with to the one
// that the program has already. The mutex is held.
func (s *shard) putToWork(created *worker) {
	if running, exists := s.workers[created.program]; exists {
		if created.begun != nil {
			running.begun = created.begun
		}
		return
	}
	s.workers[created.program] = created
	s.executor.task(created.run)
}

// task is what a worker does next.
type task struct {
	call *program.Call
	// started says that an earlier leader started the call.
	started bool
	// begun is the attempt to follow, where its start is committed already.
	begun *modelAttempt
}

func (w *worker) run() {
	for {
		next, found := w.next()
		if !found {
			return
		}
		if err := w.perform(next); err != nil {
			w.pauseAfter(err)
		}
	}
}

func (w *worker) perform(next task) error {
	switch {
	case next.begun != nil:
		return w.followModel(next.begun)
	case next.call.Kind == program.ToolCall:
		return w.runTool(next.call, next.started)
	}
	return w.runModel(next.call, next.started)
}

// next returns what to do next. Where that is nothing it returns false, and the
// worker is gone.
func (w *worker) next() (task, bool) {
	s := w.shard
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if w.context.Err() != nil {
		return task{}, false
	}
	if attempt := w.begun; attempt != nil {
		w.begun = nil
		return task{begun: attempt}, true
	}
	if call := w.resume; call != nil {
		w.resume = nil
		return task{call: call, started: true}, true
	}
	if !s.executor.quiesced.active() {
		if runnable, found := s.machine.RunnableCall(w.program); found {
			return task{call: runnable}, true
		}
	}
	delete(s.workers, w.program)
	return task{}, false
}

// pauseAfter logs an unexpected failure and keeps the worker from spinning.
func (w *worker) pauseAfter(err error) {
	const delay = 100 * time.Millisecond
	if w.context.Err() != nil {
		return
	}
	eventWorkerFailed.Log("program", w.program, "failure", failure.Classify(err).Type(), "detail", err)
	pause.For(w.context, delay)
}

// mutate makes a decision on the worker's program.
func (w *worker) mutate(decide decider) error {
	_, err := w.shard.mutate(w.context, decide, w.program)
	return err
}

// status returns the program's present status.
func (w *worker) status() (program.Status, error) {
	status := program.Status{}
	err := w.shard.inspect(func(machine *program.Machine) error {
		found, err := machine.Status(w.tenant, w.program)
		status = found
		return err
	})
	return status, err
}

// start puts the attempt's record on a majority and returns the started call.
func (w *worker) start(request program.StartRequest) (*program.Call, error) {
	err := w.mutate(func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Start(now, request)
	})
	if err != nil {
		return nil, err
	}
	var started *program.Call
	err = w.shard.inspect(func(machine *program.Machine) error {
		call, found := machine.StartedCall(request.Program, request.Number, request.DispatchKey)
		if !found {
			return &failure.CallConflict{What: "attempt"}
		}
		started = call
		return nil
	})
	return started, err
}

func (w *worker) finish(request program.FinishRequest) error {
	return w.mutate(func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Finish(now, request)
	})
}

func (w *worker) notRun(request program.NotRunRequest) error {
	return w.mutate(func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.RecordNotRun(now, request)
	})
}

func (w *worker) unknown(call *program.Call, detail string) error {
	return w.mutate(func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.RecordOutcomeUnknown(now, call.Program, call.Number, call.Attempt, detail)
	})
}

// refuse ends a call that was never sent: it truly did not run.
func (w *worker) refuse(call *program.Call, cause error) error {
	known := failure.Classify(cause)
	return w.notRun(program.NotRunRequest{
		Program:       call.Program,
		Number:        call.Number,
		Final:         true,
		FailureType:   known.Type(),
		FailureDetail: known.Error(),
	})
}

// refusable reports whether err is the state machine's own refusal of a start,
// and so the call's final outcome.
func refusable(err error) bool {
	return failure.IsType(err, (&failure.BudgetExceeded{}).Type()) ||
		failure.IsType(err, (&failure.NoPermittedPlace{}).Type()) ||
		failure.IsType(err, (&failure.NotPermitted{}).Type())
}

// callNow returns the call as the state has it now.
func (w *worker) callNow(number structs.CallNumber) (*program.Call, error) {
	var call *program.Call
	err := w.shard.inspect(func(machine *program.Machine) error {
		found, exists := machine.Call(w.program, number)
		if !exists {
			return &failure.UnknownCall{Number: uint32(number)}
		}
		call = found
		return nil
	})
	return call, err
}

// dispatchKey names an attempt: the same on every leader that takes it up.
func dispatchKey(call *program.Call) string {
	attempt := uint64(call.Attempt) + 1
	return string(call.Program) + "." + formatNumber(uint64(call.Number)) + "." + formatNumber(attempt)
}

// elapsed returns the milliseconds since the attempt started, at least 1.
func elapsed(started time.Time) int64 {
	return max(time.Since(started).Milliseconds(), 1)
}
