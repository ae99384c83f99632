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
	// dutyInterval is how often the shards that this daemon leads are checked for due
	// duties.
	dutyInterval = 100 * time.Millisecond
	// releaseTimeout limits one release of engine memory. A failed release is retried
	// after releaseRetryDelay until the hold is gone.
	releaseTimeout    = 2 * time.Second
	releaseRetryDelay = 500 * time.Millisecond
)

// dutyKey identifies a duty in progress, so that it is not performed twice at the same
// time.
type dutyKey struct {
	kind    program.LeaderTaskKind
	program structs.ProgramID
	engine  structs.EngineID
}

func (e *Executor) runDutyLoop() {
	for pause.For(e.context, dutyInterval) {
		for _, replica := range e.localShards() {
			replica.startDueDuties()
		}
	}
}

// startDueDuties starts every due duty that is not in progress.
func (s *shard) startDueDuties() {
	for _, duty := range s.claimDueDuties() {
		if duty.Kind == program.TaskResumeCall {
			s.startWorkerWithCall(duty.Tenant, duty.Program, duty.Call)
			continue
		}
		s.executor.runInBackground(func() {
			defer s.unclaimDuty(duty)
			s.performDuty(duty)
		})
	}
}

// claimDueDuties returns the due duties and marks them as in progress. A resume duty
// is not marked, because the program's worker prevents a second one.
func (s *shard) claimDueDuties() []program.LeaderTask {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term == 0 {
		return nil
	}
	var claimed []program.LeaderTask
	for _, duty := range s.machine.DueTasks(time.Now()) {
		if duty.Kind == program.TaskResumeCall {
			if _, running := s.workers[duty.Program]; !running {
				claimed = append(claimed, duty)
			}
			continue
		}
		if key := newDutyKey(duty); !s.dutiesInProgress[key] {
			s.dutiesInProgress[key] = true
			claimed = append(claimed, duty)
		}
	}
	return claimed
}

func newDutyKey(duty program.LeaderTask) dutyKey {
	return dutyKey{kind: duty.Kind, program: duty.Program, engine: duty.Hold.Engine}
}

func (s *shard) unclaimDuty(duty program.LeaderTask) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.dutiesInProgress, newDutyKey(duty))
}

func (s *shard) performDuty(duty program.LeaderTask) {
	ctx, err := s.leaderContext()
	if err != nil {
		return
	}
	switch duty.Kind {
	case program.TaskReleaseHold:
		s.releaseHold(ctx, duty)
	case program.TaskEndProgram:
		s.endProgram(ctx, duty)
	case program.TaskRemoveProgram:
		s.removeProgram(ctx, duty)
	}
}

// releaseHold frees the engine memory of an ended program. The release is recorded
// only after the engine has confirmed it, or after the incarnation that held the
// memory is gone.
func (s *shard) releaseHold(ctx context.Context, duty program.LeaderTask) {
	hold := duty.Hold
	s.dropProgramHints(duty.Program)
	releaseContext, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := s.executor.options.EngineClient.Release(releaseContext, hold.Address, hold.Incarnation, hold.Program)
	if err != nil && !failure.IsType(err, (&failure.EngineGone{}).Type()) {
		eventReleaseFailed.Log("program", hold.Program, "engine", hold.Engine, "cause", err)
		pause.For(ctx, releaseRetryDelay)
		return
	}
	_, err = s.proposeDecision(ctx, func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.RecordHoldReleased(now, hold.Program, hold.Engine, hold.Incarnation)
	}, hold.Program)
	s.logDutyFailure(duty, err)
}

// dropProgramHints drops the scheduling hints of a program that has ended.
func (s *shard) dropProgramHints(id structs.ProgramID) {
	s.mutex.Lock()
	status, found := s.machine.StatusForAnyTenant(id)
	s.mutex.Unlock()
	if found {
		s.dropHints(status)
	}
}

func (s *shard) endProgram(ctx context.Context, duty program.LeaderTask) {
	_, err := s.proposeDecision(ctx, func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.End(now, duty.Tenant, duty.Program, duty.Cause)
	}, duty.Program)
	eventProgramEnded.Log("program", duty.Program, "cause", duty.Cause)
	s.logDutyFailure(duty, err)
}

func (s *shard) removeProgram(ctx context.Context, duty program.LeaderTask) {
	_, err := s.proposeDecision(ctx, func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Remove(now, duty.Program)
	}, duty.Program)
	s.logDutyFailure(duty, err)
}

func (s *shard) logDutyFailure(duty program.LeaderTask, err error) {
	if err != nil && !isRetriable(err) {
		eventDutyFailed.Log("program", duty.Program, "duty", duty.Kind, "cause", err)
	}
}
