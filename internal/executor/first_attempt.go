package executor

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// firstAttempt prepares the first attempt of a model call, so that the record that
// accepts the call can also start the attempt. This saves a commit before the first
// token. It returns nil if the call has to wait, and a *failure.Overloaded error if no
// engine has room for the call before its deadline. In that case nothing is recorded
// of the call, and the same call can be sent again.
func (s *shard) firstAttempt(tenant structs.TenantID, status program.Status, request caller.CallRequest) (*modelAttempt, error) {
	if request.Kind != caller.CallModel {
		return nil, nil
	}
	s.observePause(status)
	worker := &worker{shard: s, tenant: tenant, program: status.ID}
	attempt, err := worker.prepareAttempt(&program.Call{
		Program:         status.ID,
		Number:          request.Number,
		Kind:            program.ModelCall,
		Target:          request.Target,
		Adapter:         request.Adapter,
		Repeatable:      request.Repeatable,
		Input:           request.Input,
		MaxAnswerTokens: request.MaxAnswerTokens,
		ExpectedPause:   time.Duration(request.ExpectedPauseMilliseconds) * time.Millisecond,
	}, false)
	if err != nil {
		return nil, err
	}
	scheduleRequest := s.newScheduleRequest(status, attempt.describeCall())
	choice, err := s.executor.chooseEngine(scheduleRequest)
	if failure.IsType(err, (&failure.Overloaded{}).Type()) {
		return nil, err
	}
	if err != nil || choice.Defer > 0 || s.executor.quiescence.isStopping() || s.permitCachePlacement(choice, status) != nil {
		return nil, nil
	}
	worker.assignEngine(attempt, choice, scheduleRequest, status)
	return attempt, nil
}

// permitCachePlacement returns nil if the program's cache may be placed in the
// engine's zone, and a *failure.NoPermittedPlace error otherwise.
func (s *shard) permitCachePlacement(choice schedule.Choice, status program.Status) error {
	policy := placement.Policy{CacheZones: status.CacheZones}
	return placement.Check(policy, placement.Cache, s.executor.engineZone(choice.Engine))
}

// assignEngine assigns the chosen engine to the attempt.
func (w *worker) assignEngine(attempt *modelAttempt, choice schedule.Choice, scheduleRequest *schedule.Request, status program.Status) {
	attempt.choice = choice
	attempt.uncachedTokens = max(attempt.promptTokens-scheduleRequest.CachedTokens[choice.Engine], 0)
	attempt.moveSourceAddress = w.moveSource(choice, status)
}

// acceptDecision returns the decision that accepts a call. It also starts the first
// attempt if that is prepared and the call is still the next one.
func acceptDecision(request program.CallRequest, attempt *modelAttempt, status program.Status) decisionFunc {
	return func(now time.Time, machine *program.Machine) (program.Decision, error) {
		if attempt == nil || !machine.CanStartOnAccept(request.Program, request.Number) {
			return machine.Accept(now, request)
		}
		return machine.AcceptAndStart(now, request, attempt.startRequest(status.Remaining))
	}
}

// handOverAttempt hands an attempt whose start is committed to the program's worker.
// It does nothing if the call was accepted without an attempt.
func (s *shard) handOverAttempt(tenant structs.TenantID, attempt *modelAttempt) {
	if attempt == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call, found := s.machine.StartedCall(attempt.call.Program, attempt.call.Number, dispatchKey(attempt.call))
	if !found || s.term == 0 {
		return
	}
	attempt.call = call
	s.ensureWorker(&worker{shard: s, tenant: tenant, program: call.Program, context: s.context, committedAttempt: attempt})
}
