package executor

import "github.com/barleyshelf/barleyshelf/internal/caller"

// cursor is a reader's position in an answer. It survives a change of the shard's
// leader: the reader continues at the new leader from here.
type cursor struct {
	// Attempt is the attempt whose text was read; 0 before the first part.
	Attempt uint32
	// Offset is the position of the next byte to send.
	Offset uint64
}

// cursorSink forwards parts to another sink and updates the cursor.
type cursorSink struct {
	sink   caller.AnswerSink
	cursor cursor
	// readerError is the error that the reader returned; the reader is gone then.
	readerError error
}

// Part forwards the part and moves the cursor past it.
func (s *cursorSink) Part(part caller.AnswerPart) error {
	if err := s.sink.Part(part); err != nil {
		s.readerError = err
		return err
	}
	s.cursor.Attempt = part.Attempt
	s.cursor.Offset = part.Offset + uint64(len(part.Text))
	return nil
}

// newPart returns the part with text of an attempt for a reader at c. If the reader
// followed an earlier attempt, the part tells it to restart.
func (c cursor) newPart(attempt uint32, text []byte) caller.AnswerPart {
	if c.isSupersededBy(attempt) {
		return caller.AnswerPart{Attempt: attempt, Restart: true}
	}
	return caller.AnswerPart{Attempt: attempt, Offset: c.Offset, Text: text}
}

// isSupersededBy reports whether the reader has text of an earlier attempt.
func (c cursor) isSupersededBy(attempt uint32) bool {
	return c.Attempt != 0 && c.Attempt != attempt
}
