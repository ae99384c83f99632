package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

const (
	eventReadBufferBytes = 8 << 10
	// maxEventBytes bounds the size of one event, however many lines it has.
	maxEventBytes = 1 << 20
	// smallEventBytes is the size up to which an event takes no memory that is counted.
	smallEventBytes = 16 << 10
	// eventMemoryFactor is how many bytes of memory a byte of an event takes: in the event as it came, with what its
	// buffer grows ahead, and in its data.
	eventMemoryFactor = 3
)

// streamEvent is one complete server-sent event.
type streamEvent struct {
	// raw is the event as the worker sent it, including the empty line that ends it.
	raw []byte
	// id is empty if the event has none.
	id string
	// data holds the event's data lines, joined by line feeds.
	data []byte
	// hasData is false for events without data, such as comments.
	hasData bool
}

// eventReader splits a stream into complete events.
type eventReader struct {
	from *bufio.Reader
	// memory counts what an event takes that exceeds smallEventBytes; nil does not count it. reserved is what is
	// counted for the current event, and covered the size of the event that suffices for.
	memory            *flowcontrol.Reservation
	reserved, covered int
}

// newEventReader returns a reader. The caller must call release.
func newEventReader(from io.Reader, memory *flowcontrol.Reservation) *eventReader {
	return &eventReader{from: bufio.NewReaderSize(from, eventReadBufferBytes), memory: memory, covered: smallEventBytes}
}

// release gives the memory of the last event back.
func (r *eventReader) release() {
	if r.reserved > 0 {
		r.memory.Release(r.reserved)
	}
	r.reserved, r.covered = 0, smallEventBytes
}

// reserve counts the memory for an event of a size.
func (r *eventReader) reserve(size int) error {
	if size > maxEventBytes {
		return &worker.ResponseTooLarge{Part: worker.PartEvent, Limit: maxEventBytes}
	}
	if size <= r.covered || r.memory == nil {
		return nil
	}
	covered := min(maxEventBytes, max(size, 2*r.covered))
	wanted := eventMemoryFactor * (covered - r.covered)
	if !r.memory.TryAcquire(wanted) {
		return &flowcontrol.BudgetExhausted{Wanted: wanted, Limit: r.memory.Limit()}
	}
	r.reserved += wanted
	r.covered = covered
	return nil
}

// next returns the next event, for which the one before must not be used any more. It returns io.EOF only if the
// stream ends between two events; a truncated event gives io.ErrUnexpectedEOF. An event beyond its bound gives
// *worker.ResponseTooLarge, and one that finds no memory *flowcontrol.BudgetExhausted.
func (r *eventReader) next() (streamEvent, error) {
	r.release()
	var event streamEvent
	for {
		line, err := r.from.ReadSlice('\n')
		if err := r.reserve(len(event.raw) + len(line)); err != nil {
			return streamEvent{}, err
		}
		event.raw = append(event.raw, line...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			if err == io.EOF && len(event.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return streamEvent{}, err
		}
		if endsEvent(event.raw) {
			event.parse()
			return event, nil
		}
	}
}

// endsEvent reports whether raw ends with an empty line.
func endsEvent(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n"))
}

func (e *streamEvent) parse() {
	for line := range bytes.SplitSeq(e.raw, []byte("\n")) {
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.id = string(value)
		case "data":
			if e.hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			e.hasData = true
		}
	}
}
