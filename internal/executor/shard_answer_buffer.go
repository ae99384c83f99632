package executor

import "github.com/barleyshelf/barleyshelf/internal/program"

// answerBuffer returns the answer buffer of a call in progress, and creates it on
// first use.
func (s *shard) answerBuffer(call *program.Call) *answerBuffer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.answerBufferForKey(callKey{call.Program, call.Number})
}

// answerBufferForKey is answerBuffer for a caller that holds the mutex.
func (s *shard) answerBufferForKey(key callKey) *answerBuffer {
	buffer, exists := s.answerBuffers[key]
	if !exists {
		buffer = newAnswerBuffer()
		s.answerBuffers[key] = buffer
	}
	return buffer
}

func (s *shard) bufferedText(call *program.Call) []byte {
	_, text, _ := s.answerBuffer(call).read(0)
	return text
}

// dropAnswerBuffer drops the answer buffer of a call whose answer is in the journal.
func (s *shard) dropAnswerBuffer(call *program.Call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.answerBuffers, callKey{call.Program, call.Number})
}
