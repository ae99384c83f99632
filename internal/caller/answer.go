package caller

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// partBuffer is the number of parts that may wait for a slow reader before the
// backend's sink blocks.
const partBuffer = 32

// runFunc sends an answer's parts to the sink and returns when it is complete.
type runFunc func(ctx context.Context, sink AnswerSink) error

// answerItem is one part of an answer, or its end.
type answerItem struct {
	part AnswerPart
	// ended is set on the last item; problem is then what cut the answer off,
	// or nil after the part that completed it.
	ended   bool
	problem failure.Failure
}

// answerFeed runs a backend's request in a goroutine of its own, checks that
// the parts follow each other and passes them on.
type answerFeed struct {
	items  chan answerItem
	cancel context.CancelFunc
	// Only the goroutine uses what follows.
	sequence Sequence
	runes    runeHolder
	complete bool
}

// startFeed runs the request. The caller must close the feed.
func startFeed(ctx context.Context, from Sequence, run runFunc) *answerFeed {
	ctx, cancel := context.WithCancel(ctx)
	feed := &answerFeed{
		items:    make(chan answerItem, partBuffer),
		cancel:   cancel,
		sequence: from,
	}
	go feed.run(ctx, run)
	return feed
}

func (f *answerFeed) run(ctx context.Context, run runFunc) {
	err := run(ctx, AnswerSinkFunc(func(part AnswerPart) error { return f.part(ctx, part) }))
	end := answerItem{ended: true}
	switch {
	case f.complete:
	case err == nil:
		end.problem = &AnswerGap{Wanted: f.sequence.Next, Got: f.sequence.Next}
	default:
		end.problem = failure.Classify(err)
	}
	// Where the reader has gone, nobody is left to be told.
	_ = f.send(ctx, end)
}

// part passes one part of the backend on.
func (f *answerFeed) part(ctx context.Context, part AnswerPart) error {
	accepted, err := f.sequence.Accept(part)
	if err != nil {
		return err
	}
	if accepted.Restart {
		f.runes.held = nil
		if err := f.send(ctx, answerItem{part: AnswerPart{Attempt: accepted.Attempt, Restart: true}}); err != nil {
			return err
		}
	}
	accepted.Restart = false
	accepted.Offset -= uint64(len(f.runes.held))
	if accepted.Complete {
		accepted.Text = f.runes.last(accepted.Text)
		f.complete = true
	} else {
		accepted.Text = f.runes.next(accepted.Text)
	}
	if len(accepted.Text) == 0 && !accepted.Complete {
		return nil
	}
	return f.send(ctx, answerItem{part: accepted})
}

func (f *answerFeed) send(ctx context.Context, item answerItem) error {
	select {
	case f.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// next waits for the next item. When ctx ends first, the caller has gone.
func (f *answerFeed) next(ctx context.Context) answerItem {
	select {
	case item := <-f.items:
		return item
	case <-ctx.Done():
		return answerItem{ended: true, problem: failure.Classify(ctx.Err())}
	}
}

// ready returns an item only where one is waiting.
func (f *answerFeed) ready() (answerItem, bool) {
	select {
	case item := <-f.items:
		return item, true
	default:
		return answerItem{}, false
	}
}

// Close stops the backend's request. The call itself goes on.
func (f *answerFeed) Close() error {
	f.cancel()
	return nil
}
