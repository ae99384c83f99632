package executor

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// callKey names a call within a shard.
type callKey struct {
	program structs.ProgramID
	number  structs.CallNumber
}

// liveAnswer buffers the answer of a call under way, so that any number of
// readers can follow it from any offset. It is dropped once the answer is in
// the journal. Text of one attempt only grows.
type liveAnswer struct {
	mutex   sync.Mutex
	attempt uint32
	text    []byte
	changed chan struct{}
}

func newLiveAnswer() *liveAnswer {
	return &liveAnswer{changed: make(chan struct{})}
}

// begin voids the text of earlier attempts. Beginning the same attempt again,
// as a resumed stream does, keeps what there is.
func (l *liveAnswer) begin(attempt uint32) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.attempt == attempt {
		return
	}
	l.attempt = attempt
	l.text = nil
	l.wake()
}

// write stores text at offset of the attempt. Text that is there already is
// skipped, so that a stream read twice adds nothing.
func (l *liveAnswer) write(attempt uint32, offset uint64, text []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	have := uint64(len(l.text))
	if attempt != l.attempt || offset > have || offset+uint64(len(text)) <= have {
		return
	}
	l.text = append(l.text, text[have-offset:]...)
	l.wake()
}

// length returns how many bytes of the attempt are there.
func (l *liveAnswer) length() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return uint64(len(l.text))
}

// read returns the current attempt, its text from offset on, and a channel
// that is closed at the next change.
func (l *liveAnswer) read(offset uint64) (attempt uint32, text []byte, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if offset < uint64(len(l.text)) {
		text = l.text[offset:len(l.text):len(l.text)]
	}
	return l.attempt, text, l.changed
}

// wake must be called with the mutex held.
func (l *liveAnswer) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}
