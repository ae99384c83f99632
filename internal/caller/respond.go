package caller

import (
	"bytes"
	"context"
	"unicode/utf8"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/callerapi"
)

// answerRequest is how the caller wants an answer.
type answerRequest struct {
	options *Options
	number  int64
	offset  uint64
	stream  bool
}

// answerResponse is a response of both operations that give an answer.
type answerResponse interface {
	callerapi.IssueCallRes
	callerapi.ReadCallRes
}

// respond waits for the first part, so that a failure before it still has a
// status code of its own, and then gives the answer in the form wanted.
func (a answerRequest) respond(ctx context.Context, feed *answerFeed) (answerResponse, error) {
	first := feed.next(ctx)
	if first.ended && first.problem != nil {
		feed.Close()
		return nil, first.problem
	}
	if a.stream {
		tell := func(f failure.Failure) failure.Failure { return a.options.tell(ctx, f) }
		return &callerapi.AnswerTextEventStream{Data: newEventStream(ctx, feed, first, tell)}, nil
	}
	defer feed.Close()
	return a.collect(ctx, feed, first)
}

// collect waits for the whole answer.
func (a answerRequest) collect(ctx context.Context, feed *answerFeed, item answerItem) (answerResponse, error) {
	text := new(bytes.Buffer)
	answer := &callerapi.Answer{Number: a.number, Offset: int64(a.offset)}
	for ; !item.ended; item = feed.next(ctx) {
		if item.part.Restart {
			text.Reset()
			answer.Offset = 0
		}
		text.Write(item.part.Text)
		answer.Attempt = int64(item.part.Attempt)
		answer.Usage = usageOf(item.part)
	}
	if item.problem != nil {
		return nil, item.problem
	}
	if utf8.Valid(text.Bytes()) {
		answer.Text = callerapi.NewOptString(text.String())
	} else {
		answer.Base64 = text.Bytes()
	}
	return answer, nil
}
