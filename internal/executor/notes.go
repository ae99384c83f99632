package executor

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// programNote is what the leader of a program noticed of it and has not in the
// journal: hints for the scheduler, lost with the leadership.
type programNote struct {
	// cached holds the tokens of the program's prefix believed to be cached on
	// engines. The engine's own count of reused tokens is what happened.
	cached map[structs.EngineID]int64
	// firstPrompt is the length of the first prompt seen here, in tokens.
	firstPrompt int64
	// sharedPrefix names the start of the prompt that programs share.
	sharedPrefix uint64
	// modelEnded is when the last model call ended; zero while none has.
	modelEnded time.Time
}

// noteOf returns the program's note, made at its first use. The mutex is held.
func (s *shard) noteOf(id structs.ProgramID) *programNote {
	note, exists := s.notes[id]
	if !exists {
		note = &programNote{cached: map[structs.EngineID]int64{}}
		s.notes[id] = note
	}
	return note
}

// noteAnswered remembers that the engine holds the program's first tokens.
func (s *shard) noteAnswered(id structs.ProgramID, engine structs.EngineID, tokens int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	note := s.noteOf(id)
	note.cached[engine] = tokens
	note.modelEnded = time.Now()
}

// notePause learns how long programs of a name stay away between model calls.
func (s *shard) notePause(status program.Status) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if note, exists := s.notes[status.ID]; exists && !note.modelEnded.IsZero() {
		s.executor.pauses.Observe(status.ProgramName, time.Since(note.modelEnded))
		note.modelEnded = time.Time{}
	}
}

// forgetNote drops the note of a program that has ended, and learns how much
// programs of its name grow.
func (s *shard) forgetNote(status program.Status) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if note, exists := s.notes[status.ID]; exists && note.firstPrompt > 0 {
		s.executor.growth.Observe(status.ProgramName, max(status.HistoryTokens-note.firstPrompt, 0))
	}
	delete(s.notes, status.ID)
}

// LowerCachedTokens takes an engine's word that less of a program's prefix is cached
// there. It comes late and with gaps, and only ever lowers what is believed.
func (e *Executor) LowerCachedTokens(id structs.EngineID, holder structs.ProgramID, tokens int64) {
	number, err := holder.Shard()
	if err != nil {
		return
	}
	held, known := e.shard(number)
	if !known {
		return
	}
	held.mutex.Lock()
	defer held.mutex.Unlock()
	note, exists := held.notes[holder]
	if !exists {
		return
	}
	if believed, noted := note.cached[id]; noted && tokens < believed {
		note.cached[id] = tokens
	}
}

// cachedTokens returns the leader's notes; a leader new to the program takes
// the engines that the journal has holds for. The mutex is held.
func (s *shard) cachedTokens(status program.Status) map[structs.EngineID]int64 {
	cached := map[structs.EngineID]int64{}
	if note, exists := s.notes[status.ID]; exists && len(note.cached) > 0 {
		for engine, tokens := range note.cached {
			cached[engine] = tokens
		}
		return cached
	}
	for _, hold := range s.machine.ProgramHolds(status.ID) {
		cached[hold.Engine] = status.HistoryTokens
	}
	return cached
}

// parentEngine returns the engine that holds most of the parent's prefix. The
// mutex is held.
func (s *shard) parentEngine(parent structs.ProgramID) structs.EngineID {
	note, exists := s.notes[parent]
	if !exists {
		return ""
	}
	best, most := structs.EngineID(""), int64(0)
	for engine, tokens := range note.cached {
		if tokens > most || tokens == most && engine < best {
			best, most = engine, tokens
		}
	}
	return best
}
