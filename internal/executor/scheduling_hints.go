package executor

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// schedulingHints are observations of a program for the scheduler. Only the leader has
// them: they are not in the journal and are lost when the leadership ends.
type schedulingHints struct {
	// cachedTokens is the number of tokens of the program's prefix that each engine is
	// expected to have cached. The reused tokens that the engine reports are
	// authoritative.
	cachedTokens map[structs.EngineID]int64
	// firstPromptTokens is the length of the first prompt that this leader saw.
	firstPromptTokens int64
	// sharedPrefixKey identifies the start of the prompt, which programs can have in
	// common.
	sharedPrefixKey uint64
	// lastModelCallEnd is when the last model call ended; zero if none has ended.
	lastModelCallEnd time.Time
}

// programHints returns the program's hints, and creates them on first use. The caller
// holds the mutex.
func (s *shard) programHints(id structs.ProgramID) *schedulingHints {
	hints, exists := s.hints[id]
	if !exists {
		hints = &schedulingHints{cachedTokens: map[structs.EngineID]int64{}}
		s.hints[id] = hints
	}
	return hints
}

// recordCachedTokens records that the engine has the program's first tokens cached,
// and that a model call ended.
func (s *shard) recordCachedTokens(id structs.ProgramID, engine structs.EngineID, tokens int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hints := s.programHints(id)
	hints.cachedTokens[engine] = tokens
	hints.lastModelCallEnd = time.Now()
}

// observePause records how long a program paused between model calls, to estimate the
// pauses of programs with the same name.
func (s *shard) observePause(status program.Status) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if hints, exists := s.hints[status.ID]; exists && !hints.lastModelCallEnd.IsZero() {
		s.executor.pauseEstimator.Observe(status.ProgramName, time.Since(hints.lastModelCallEnd))
		hints.lastModelCallEnd = time.Time{}
	}
}

// dropHints drops the hints of a program that has ended, and records its growth to
// estimate the growth of programs with the same name.
func (s *shard) dropHints(status program.Status) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if hints, exists := s.hints[status.ID]; exists && hints.firstPromptTokens > 0 {
		s.executor.growthEstimator.Observe(status.ProgramName, max(status.HistoryTokens-hints.firstPromptTokens, 0))
	}
	delete(s.hints, status.ID)
}

// LowerCachedTokens handles an engine's report that it has evicted a part of a
// program's prefix. Reports arrive late and some are lost, so a report only ever
// lowers the expected number of cached tokens.
func (e *Executor) LowerCachedTokens(id structs.EngineID, holder structs.ProgramID, tokens int64) {
	number, err := holder.Shard()
	if err != nil {
		return
	}
	replica, found := e.localShard(number)
	if !found {
		return
	}
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	hints, exists := replica.hints[holder]
	if !exists {
		return
	}
	if expected, hasExpected := hints.cachedTokens[id]; hasExpected && tokens < expected {
		hints.cachedTokens[id] = tokens
	}
}

// cachedTokens returns the cached tokens by engine, from the hints. Without hints, it
// assumes that each engine for which the journal has a hold has the whole history. The
// caller holds the mutex.
func (s *shard) cachedTokens(status program.Status) map[structs.EngineID]int64 {
	cached := map[structs.EngineID]int64{}
	if hints, exists := s.hints[status.ID]; exists && len(hints.cachedTokens) > 0 {
		for engine, tokens := range hints.cachedTokens {
			cached[engine] = tokens
		}
		return cached
	}
	for _, hold := range s.machine.ProgramHolds(status.ID) {
		cached[hold.Engine] = status.HistoryTokens
	}
	return cached
}

// parentEngine returns the engine with the most cached tokens of the parent's prefix.
// The caller holds the mutex.
func (s *shard) parentEngine(parent structs.ProgramID) structs.EngineID {
	hints, exists := s.hints[parent]
	if !exists {
		return ""
	}
	best, most := structs.EngineID(""), int64(0)
	for engine, tokens := range hints.cachedTokens {
		if tokens > most || tokens == most && engine < best {
			best, most = engine, tokens
		}
	}
	return best
}
