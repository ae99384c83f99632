package executor

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// cacheNote is what the leader believes of a program's cached prefix. It is a
// hint: the engine's own count of reused tokens is what happened.
type cacheNote struct {
	tokens map[structs.EngineID]int64
}

// liveFor returns the buffer of a call under way, made at its first use.
func (s *shard) liveFor(call *program.Call) *liveAnswer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := callKey{call.Program, call.Number}
	live, exists := s.live[key]
	if !exists {
		live = newLiveAnswer()
		s.live[key] = live
	}
	return live
}

func (s *shard) liveText(call *program.Call) []byte {
	_, text, _ := s.liveFor(call).read(0)
	return text
}

// endLive drops the buffer of a call whose answer is in the journal.
func (s *shard) endLive(call *program.Call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.live, callKey{call.Program, call.Number})
}

// noteCached remembers that the engine holds the program's first tokens.
func (s *shard) noteCached(id structs.ProgramID, engine structs.EngineID, tokens int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	note, exists := s.cached[id]
	if !exists {
		note = cacheNote{tokens: map[structs.EngineID]int64{}}
		s.cached[id] = note
	}
	note.tokens[engine] = tokens
}

// cachedTokens returns the leader's notes; a leader new to the program takes
// the engines that the journal has holds for.
func (s *shard) cachedTokens(status program.Status) map[structs.EngineID]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	cached := map[structs.EngineID]int64{}
	if note, exists := s.cached[status.ID]; exists {
		for engine, tokens := range note.tokens {
			cached[engine] = tokens
		}
		return cached
	}
	for _, hold := range s.machine.Engines(status.ID) {
		cached[hold.Engine] = status.HistoryTokens
	}
	return cached
}

// scheduleRequest describes the call to the policy.
func (w *worker) scheduleRequest(attempt *modelAttempt, status program.Status, excluded map[structs.EngineID]bool) *schedule.Request {
	return &schedule.Request{
		Program:         w.program,
		Model:           structs.ModelName(attempt.call.Target),
		Adapter:         attempt.call.Adapter,
		CacheZones:      status.CacheZones,
		CallerZone:      w.shard.executor.options.Self.Zone,
		PromptTokens:    attempt.prompt,
		MaxAnswerTokens: attempt.call.MaxAnswerTokens,
		Cached:          w.shard.cachedTokens(status),
		ParentEngine:    w.shard.parentEngine(status.Parent),
		Received:        time.Duration(status.Spent.Milliseconds) * time.Millisecond,
		Started:         status.Opened,
		Deadline:        status.Deadline,
		Priority:        status.Priority,
		ExpectedPause:   attempt.call.ExpectedPause,
		Exclude:         excluded,
	}
}

// parentEngine returns the engine that holds most of the parent's prefix.
func (s *shard) parentEngine(parent structs.ProgramID) structs.EngineID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	best := structs.EngineID("")
	most := int64(0)
	for engine, tokens := range s.cached[parent].tokens {
		if tokens > most || tokens == most && engine < best {
			best, most = engine, tokens
		}
	}
	return best
}
