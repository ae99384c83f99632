package executor

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// dutyInterval is how often led shards are asked for duties that are due.
	dutyInterval = 100 * time.Millisecond
	// releaseTimeout bounds one release; a failed one is tried again while the
	// hold stands.
	releaseTimeout = 2 * time.Second
	releaseDelay   = 500 * time.Millisecond
)

// dutyKey names a duty that is being met, so that it is not met twice at once.
type dutyKey struct {
	kind    program.LeaderTaskKind
	program structs.ProgramID
	engine  structs.EngineID
}

func (e *Executor) runDuties() {
	for pause.For(e.context, dutyInterval) {
		for _, held := range e.heldShards() {
			held.meetDuties()
		}
	}
}

// meetDuties begins every duty that is due and not in hand.
func (s *shard) meetDuties() {
	for _, duty := range s.takeDuties() {
		if duty.Kind == program.TaskResumeCall {
			s.startResuming(duty.Tenant, duty.Program, duty.Call)
			continue
		}
		s.executor.task(func() {
			defer s.dropDuty(duty)
			s.meet(duty)
		})
	}
}

func (s *shard) takeDuties() []program.LeaderTask {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term == 0 {
		return nil
	}
	var taken []program.LeaderTask
	for _, duty := range s.machine.DueTasks(time.Now()) {
		if duty.Kind == program.TaskResumeCall {
			if _, running := s.workers[duty.Program]; !running {
				taken = append(taken, duty)
			}
			continue
		}
		if key := keyOf(duty); !s.duties[key] {
			s.duties[key] = true
			taken = append(taken, duty)
		}
	}
	return taken
}

func keyOf(duty program.LeaderTask) dutyKey {
	return dutyKey{kind: duty.Kind, program: duty.Program, engine: duty.Hold.Engine}
}

func (s *shard) dropDuty(duty program.LeaderTask) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.duties, keyOf(duty))
}

func (s *shard) meet(duty program.LeaderTask) {
	ctx, err := s.leadership()
	if err != nil {
		return
	}
	switch duty.Kind {
	case program.TaskReleaseHold:
		s.release(ctx, duty)
	case program.TaskEndProgram:
		s.end(ctx, duty)
	case program.TaskRemoveProgram:
		s.remove(ctx, duty)
	}
}

// release frees the memory of an ended program. The record follows the
// engine's word that it is free, or that the incarnation which held it is gone.
func (s *shard) release(ctx context.Context, duty program.LeaderTask) {
	hold := duty.Hold
	s.forgetProgram(duty.Program)
	attempt, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := s.executor.options.EngineClient.Release(attempt, hold.Address, hold.Incarnation, hold.Program)
	if err != nil && !failure.IsType(err, (&failure.EngineGone{}).Type()) {
		eventReleaseFailed.Log("program", hold.Program, "engine", hold.Engine, "cause", err)
		pause.For(ctx, releaseDelay)
		return
	}
	_, err = s.mutate(ctx, func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.RecordHoldReleased(now, hold.Program, hold.Engine, hold.Incarnation)
	}, hold.Program)
	s.logDuty(duty, err)
}

// forgetProgram drops what the leader noticed of a program that has ended.
func (s *shard) forgetProgram(id structs.ProgramID) {
	s.mutex.Lock()
	status, found := s.machine.StatusForAnyTenant(id)
	s.mutex.Unlock()
	if found {
		s.forgetNote(status)
	}
}

func (s *shard) end(ctx context.Context, duty program.LeaderTask) {
	_, err := s.mutate(ctx, func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.End(now, duty.Tenant, duty.Program, duty.Cause)
	}, duty.Program)
	eventProgramEnded.Log("program", duty.Program, "cause", duty.Cause)
	s.logDuty(duty, err)
}

func (s *shard) remove(ctx context.Context, duty program.LeaderTask) {
	_, err := s.mutate(ctx, func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Remove(now, duty.Program)
	}, duty.Program)
	s.logDuty(duty, err)
}

func (s *shard) logDuty(duty program.LeaderTask, err error) {
	if err != nil && !searchable(err) {
		eventDutyFailed.Log("program", duty.Program, "duty", duty.Kind, "cause", err)
	}
}
