package gateway

import (
	"bufio"
	"bytes"
	"io"
)

const (
	eventReaderBytes = 8 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// streamEvent is one whole event of a stream.
type streamEvent struct {
	// raw is the event as the worker sent it, with the empty line that ends it.
	raw []byte
	// id is empty where the event has none.
	id string
	// data are the event's data lines, joined by line feeds.
	data []byte
	// hasData is false for comments and the like.
	hasData bool
}

// eventReader cuts a stream into whole events.
type eventReader struct {
	from *bufio.Reader
}

func newEventReader(from io.Reader) *eventReader {
	return &eventReader{from: bufio.NewReaderSize(from, eventReaderBytes)}
}

// next returns the next event. It returns io.EOF only at the proper end of the
// stream; a torn event gives io.ErrUnexpectedEOF.
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
		if isEnd(event.raw) {
			event.parse()
			return event, nil
		}
	}
}

// isEnd reports whether raw ends with an empty line.
func isEnd(raw []byte) bool {
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
