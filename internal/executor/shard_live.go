package executor

import "github.com/barleyshelf/barleyshelf/internal/program"

// liveFor returns the buffer of a call under way, made at its first use.
func (s *shard) liveFor(call *program.Call) *liveAnswer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.liveOf(callKey{call.Program, call.Number})
}

// liveOf is liveFor with the mutex held.
func (s *shard) liveOf(key callKey) *liveAnswer {
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
