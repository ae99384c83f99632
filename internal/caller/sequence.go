package caller

// Sequence follows the parts of one answer and keeps them whole: it drops what
// was received before and refuses a gap. The zero value expects an answer from
// its beginning.
type Sequence struct {
	// Attempt is the attempt that the parts so far belong to; 0 before the first.
	Attempt uint32
	// Next is the offset at which the next part begins, in bytes.
	Next uint64
}

// Accept returns the part without the bytes that were received before. After a
// Restart, or a change of attempt at offset 0, the answer begins again. The
// error is an *AnswerGap.
func (s *Sequence) Accept(part AnswerPart) (AnswerPart, error) {
	if s.Attempt != 0 && part.Attempt != s.Attempt && part.Offset == 0 {
		part.Restart = true
	}
	if part.Restart {
		s.Next = 0
	} else if s.Attempt != 0 && part.Attempt != s.Attempt {
		return AnswerPart{}, &AnswerGap{Wanted: 0, Got: part.Offset}
	}
	s.Attempt = part.Attempt
	if part.Offset > s.Next {
		return AnswerPart{}, &AnswerGap{Wanted: s.Next, Got: part.Offset}
	}
	if end := part.Offset + uint64(len(part.Text)); part.Complete && end < s.Next {
		return AnswerPart{}, &AnswerGap{Wanted: s.Next, Got: end}
	}
	known := min(s.Next-part.Offset, uint64(len(part.Text)))
	part.Text = part.Text[known:]
	part.Offset = s.Next
	s.Next += uint64(len(part.Text))
	return part, nil
}
