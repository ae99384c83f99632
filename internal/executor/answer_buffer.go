package executor

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// callKey identifies a call within a shard.
type callKey struct {
	program structs.ProgramID
	number  structs.CallNumber
}

// answerBuffer buffers the answer of a call in progress, so that any number of readers
// can follow it from any offset. It is dropped once the answer is in the journal. The
// text of an attempt only grows.
type answerBuffer struct {
	mutex   sync.Mutex
	attempt uint32
	text    []byte
	changed chan struct{}
}

func newAnswerBuffer() *answerBuffer {
	return &answerBuffer{changed: make(chan struct{})}
}

// beginAttempt discards the text of earlier attempts. Beginning the same attempt
// again, as a resumed stream does, keeps its text.
func (b *answerBuffer) beginAttempt(attempt uint32) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.attempt == attempt {
		return
	}
	b.attempt = attempt
	b.text = nil
	b.notifyReaders()
}

// write stores text at an offset of the attempt. Text that is already present is
// skipped, so that reading a stream twice adds nothing.
func (b *answerBuffer) write(attempt uint32, offset uint64, text []byte) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	length := uint64(len(b.text))
	if attempt != b.attempt || offset > length || offset+uint64(len(text)) <= length {
		return
	}
	b.text = append(b.text, text[length-offset:]...)
	b.notifyReaders()
}

// length returns the number of bytes of the attempt received so far.
func (b *answerBuffer) length() uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return uint64(len(b.text))
}

// read returns the current attempt, its text from offset on, and a channel that is
// closed at the next change.
func (b *answerBuffer) read(offset uint64) (attempt uint32, text []byte, changed <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if offset < uint64(len(b.text)) {
		text = b.text[offset:len(b.text):len(b.text)]
	}
	return b.attempt, text, b.changed
}

// notifyReaders wakes all waiting readers. The caller holds the mutex.
func (b *answerBuffer) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}
