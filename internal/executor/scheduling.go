package executor

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// callDescription describes a model call to the scheduler.
type callDescription struct {
	model           structs.ModelName
	adapter         string
	promptTokens    int64
	maxAnswerTokens int64
	pauseHint       time.Duration
	// firstInput is the input at the start of the prompt; nil if it is not available.
	firstInput []byte
}

// newScheduleRequest describes a call of the program to the scheduling policy. Order
// and deadline are those of the root program, because only its latency matters to the
// caller.
func (s *shard) newScheduleRequest(status program.Status, call callDescription) *schedule.Request {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	root := s.rootProgram(status)
	return &schedule.Request{
		Program:         status.ID,
		Model:           call.model,
		Adapter:         call.adapter,
		CacheZones:      status.CacheZones,
		CallerZone:      s.executor.options.Self.Zone,
		PromptTokens:    call.promptTokens,
		MaxAnswerTokens: call.maxAnswerTokens,
		CachedTokens:    s.cachedTokens(status),
		ParentEngine:    s.parentEngine(status.Parent),
		SharedPrefix:    s.sharedPrefixKey(status.ID, call),
		EngineTimeUsed:  time.Duration(root.Spent.Milliseconds) * time.Millisecond,
		Started:         root.OpenedAt,
		Deadline:        root.Deadline,
		Priority:        root.Priority,
		ExpectedPause:   s.executor.pauseEstimator.Expected(status.ProgramName, call.pauseHint),
		ExpectedGrowth:  s.executor.growthEstimator.Expected(status.ProgramName),
	}
}

// rootProgram follows the chain of parents as far as this shard knows them. All of
// them belong to this shard. The caller holds the mutex.
func (s *shard) rootProgram(status program.Status) program.Status {
	for status.Parent != "" {
		parent, found := s.machine.StatusForAnyTenant(status.Parent)
		if !found {
			break
		}
		status = parent
	}
	return status
}

// sharedPrefixKey returns the key of the prompt's start, which is computed once per
// program. The caller holds the mutex.
func (s *shard) sharedPrefixKey(id structs.ProgramID, call callDescription) uint64 {
	if call.firstInput == nil {
		return 0
	}
	hints := s.programHints(id)
	if hints.sharedPrefixKey == 0 {
		hints.sharedPrefixKey = schedule.SharedPrefixKey(call.model, call.adapter, call.firstInput)
	}
	if hints.firstPromptTokens == 0 {
		hints.firstPromptTokens = call.promptTokens
	}
	return hints.sharedPrefixKey
}
