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

// firstAttempt prepares the first attempt of a model call that can be started in
// the entry that accepts it, which saves a commit before the first token. It
// returns nil where the call has to wait, and an *failure.Overloaded where no
// engine has room for it before its deadline: nothing is recorded of the call
// then, and the same call may be sent again.
func (s *shard) firstAttempt(tenant structs.TenantID, status program.Status, request caller.CallRequest) (*modelAttempt, error) {
	if request.Kind != caller.CallModel {
		return nil, nil
	}
	s.notePause(status)
	worker := &worker{shard: s, tenant: tenant, program: status.ID}
	attempt, err := worker.prepare(&program.Call{
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
	asked := s.scheduleRequest(status, attempt.prospect())
	choice, err := s.executor.choose(asked)
	if failure.IsType(err, (&failure.Overloaded{}).Type()) {
		return nil, err
	}
	if err != nil || choice.Defer > 0 || s.executor.quiesced.active() || s.mayRest(choice, status) != nil {
		return nil, nil
	}
	worker.assign(attempt, choice, asked, status)
	return attempt, nil
}

// mayRest returns nil where the program's cache may rest in the engine's zone,
// and else a *failure.NoPermittedPlace.
func (s *shard) mayRest(choice schedule.Choice, status program.Status) error {
	policy := placement.Policy{CacheZones: status.CacheZones}
	return placement.Check(policy, placement.Cache, s.executor.engineZone(choice.Engine))
}

// assign gives the attempt the engine that was chosen for what was asked.
func (w *worker) assign(attempt *modelAttempt, choice schedule.Choice, asked *schedule.Request, status program.Status) {
	attempt.choice = choice
	attempt.missing = max(attempt.prompt-asked.CachedTokens[choice.Engine], 0)
	attempt.moveFrom = w.moveSource(choice, status)
}

// acceptance returns the decision that takes a call, with its first attempt
// where that is prepared and the call is still the next one.
func acceptance(request program.CallRequest, attempt *modelAttempt, status program.Status) decider {
	return func(now time.Time, machine *program.Machine) (program.Decision, error) {
		if attempt == nil || !machine.CanStartOnAccept(request.Program, request.Number) {
			return machine.Accept(now, request)
		}
		return machine.AcceptAndStart(now, request, attempt.startRequest(status.Remaining))
	}
}

// beginAttempt hands an attempt whose start is committed to the program's
// worker. It does nothing where the call was accepted alone.
func (s *shard) beginAttempt(tenant structs.TenantID, attempt *modelAttempt) {
	if attempt == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	started, found := s.machine.StartedCall(attempt.call.Program, attempt.call.Number, dispatchKey(attempt.call))
	if !found || s.term == 0 {
		return
	}
	attempt.call = started
	s.putToWork(&worker{shard: s, tenant: tenant, program: started.Program, context: s.context, begun: attempt})
}
