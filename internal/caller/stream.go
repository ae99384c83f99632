package caller

import (
	"context"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/go-faster/jx"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// The names of the server-sent events.
const (
	EventToken   = "token"
	EventRestart = "restart"
	EventDone    = "done"
	EventProblem = "problem"
)

// writeBytes is about the most that one write to the connection carries.
const writeBytes = 32 << 10

// eventStream reads an answer as server-sent events.
type eventStream struct {
	ctx  context.Context
	feed *answerFeed
	// tell turns the failure that cut the answer off into what the caller sees.
	tell    func(failure.Failure) failure.Failure
	pending []byte
	ended   bool
}

// newEventStream returns the stream that begins with first.
func newEventStream(ctx context.Context, feed *answerFeed, first answerItem, tell func(failure.Failure) failure.Failure) *eventStream {
	stream := &eventStream{ctx: ctx, feed: feed, tell: tell}
	stream.take(first)
	return stream
}

// Read gives whole events while the buffer has room, and io.EOF after the last.
func (s *eventStream) Read(buffer []byte) (int, error) {
	if len(s.pending) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		s.pending = s.pending[:0]
		s.take(s.feed.next(s.ctx))
		s.takeReady()
	}
	n := copy(buffer, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Close stops the backend's request.
func (s *eventStream) Close() error { return s.feed.Close() }

// takeReady joins parts that have come already into the same write.
func (s *eventStream) takeReady() {
	for !s.ended && len(s.pending) < writeBytes {
		item, found := s.feed.ready()
		if !found {
			return
		}
		s.take(item)
	}
}

// take appends the events of one item.
func (s *eventStream) take(item answerItem) {
	part := item.part
	switch {
	case item.ended:
		s.ended = true
		if item.problem != nil {
			s.problem(s.tell(item.problem))
		}
	case part.Restart:
		s.event(EventRestart, part, false)
	default:
		if len(part.Text) > 0 {
			s.event(EventToken, part, false)
		}
		if part.Complete {
			part.Offset += uint64(len(part.Text))
			part.Text = nil
			s.event(EventDone, part, true)
		}
	}
}

// event appends one event. Its id is where a reader that has it goes on.
func (s *eventStream) event(name string, part AnswerPart, usage bool) {
	s.pending = append(s.pending, "event: "+name+"\nid: "...)
	s.pending = strconv.AppendUint(s.pending, uint64(part.Attempt), 10)
	s.pending = append(s.pending, ':')
	s.pending = strconv.AppendUint(s.pending, part.Offset+uint64(len(part.Text)), 10)
	encoder := new(jx.Encoder)
	encodeEvent(encoder, part, usage)
	s.data(encoder)
}

func (s *eventStream) problem(f failure.Failure) {
	s.pending = append(s.pending, "event: "+EventProblem...)
	encoder := new(jx.Encoder)
	response := problemOf(f)
	response.Response.Encode(encoder)
	s.data(encoder)
}

// data appends the data line and ends the event. JSON holds no line break.
func (s *eventStream) data(encoder *jx.Encoder) {
	s.pending = append(s.pending, "\ndata: "...)
	s.pending = append(s.pending, encoder.Bytes()...)
	s.pending = append(s.pending, "\n\n"...)
}

// encodeEvent writes the schema AnswerEvent. Text that is not UTF-8 goes as
// base64, so that no byte of an answer is lost.
func encodeEvent(e *jx.Encoder, part AnswerPart, usage bool) {
	e.ObjStart()
	e.FieldStart("attempt")
	e.UInt32(part.Attempt)
	e.FieldStart("offset")
	e.UInt64(part.Offset)
	if len(part.Text) > 0 && utf8.Valid(part.Text) {
		e.FieldStart("text")
		e.ByteStr(part.Text)
	} else if len(part.Text) > 0 {
		e.FieldStart("base64")
		e.Base64(part.Text)
	}
	if usage {
		whole := usageOf(part)
		e.FieldStart("usage")
		whole.Encode(e)
	}
	e.ObjEnd()
}
