package executor

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// prospect is a model call as the scheduler is to see it.
type prospect struct {
	model           structs.ModelName
	adapter         string
	promptTokens    int64
	maxAnswerTokens int64
	pauseHint       time.Duration
	// firstInput begins the prompt; nil where it is not at hand.
	firstInput []byte
}

// scheduleRequest describes a call of the program to the policy. Order and
// deadline are those of the outermost program: its latency is what counts.
func (s *shard) scheduleRequest(status program.Status, call prospect) *schedule.Request {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	root := s.outermost(status)
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
		SharedPrefix:    s.sharedPrefix(status.ID, call),
		EngineTimeUsed:  time.Duration(root.Spent.Milliseconds) * time.Millisecond,
		Started:         root.OpenedAt,
		Deadline:        root.Deadline,
		Priority:        root.Priority,
		ExpectedPause:   s.executor.pauses.Expected(status.ProgramName, call.pauseHint),
		ExpectedGrowth:  s.executor.growth.Expected(status.ProgramName),
	}
}

// outermost follows the parents as far as this shard knows them; they all lie
// in it. The mutex is held.
func (s *shard) outermost(status program.Status) program.Status {
	for status.Parent != "" {
		parent, found := s.machine.StatusForAnyTenant(status.Parent)
		if !found {
			break
		}
		status = parent
	}
	return status
}

// sharedPrefix returns the key of the prompt's start, which is worked out once
// for a program. The mutex is held.
func (s *shard) sharedPrefix(id structs.ProgramID, call prospect) uint64 {
	if call.firstInput == nil {
		return 0
	}
	note := s.noteOf(id)
	if note.sharedPrefix == 0 {
		note.sharedPrefix = schedule.SharedPrefixKey(call.model, call.adapter, call.firstInput)
	}
	if note.firstPrompt == 0 {
		note.firstPrompt = call.promptTokens
	}
	return note.sharedPrefix
}
