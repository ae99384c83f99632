package gateway

import (
	"bufio"
	"bytes"
	"io"
)

const (
	eventReadBufferBytes = 8 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
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
}

func newEventReader(from io.Reader) *eventReader {
	return &eventReader{from: bufio.NewReaderSize(from, eventReadBufferBytes)}
}

// next returns the next event. It returns io.EOF only if the stream ends between two events; a
// truncated event gives io.ErrUnexpectedEOF.
func (r *eventReader) next() (streamEvent, error) {
	var event streamEvent
	for {
		line, err := r.from.ReadSlice('\n')
		event.raw = append(event.raw, line...)
		if err == bufio.ErrBufferFull && len(event.raw) < maxEventBytes {
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
	for _, line := range bytes.Split(e.raw, []byte("\n")) {
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
