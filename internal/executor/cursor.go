package executor

import "github.com/barleyshelf/barleyshelf/internal/caller"

// cursor is how far one reader has come in an answer. It survives a change of
// the shard's leader: the reader goes on at the new leader from here.
type cursor struct {
	// Attempt is the attempt whose text was read; 0 before the first part.
	Attempt uint32
	// Offset is the position of the next byte wanted.
	Offset uint64
}

// cursorSink passes parts on and keeps the cursor up to date.
type cursorSink struct {
	next   caller.AnswerSink
	cursor cursor
	// failed is the reader's own error: the reader has gone.
	failed error
}

// Part passes the part on and moves the cursor behind it.
func (s *cursorSink) Part(part caller.AnswerPart) error {
	if err := s.next.Part(part); err != nil {
		s.failed = err
		return err
	}
	s.cursor.Attempt = part.Attempt
	s.cursor.Offset = part.Offset + uint64(len(part.Text))
	return nil
}

// partAt builds the part that carries text of attempt to a reader at c. A
// reader that followed an earlier attempt is told to start again.
func (c cursor) partAt(attempt uint32, text []byte) caller.AnswerPart {
	if c.superseded(attempt) {
		return caller.AnswerPart{Attempt: attempt, Restart: true}
	}
	return caller.AnswerPart{Attempt: attempt, Offset: c.Offset, Text: text}
}

// superseded reports whether the reader holds text of an earlier attempt.
func (c cursor) superseded(attempt uint32) bool {
	return c.Attempt != 0 && c.Attempt != attempt
}
