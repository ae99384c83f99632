package session

import (
	"context"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
)

const bytesPerToken = 4

// assembly puts the parts of one answer together, over all attempts.
type assembly struct {
	observer Observer
	issued   time.Time

	mutex    sync.Mutex
	attempt  uint32
	text     []byte
	complete bool
	usage    caller.AnswerPart
	first    bool
	last     time.Time
	// progress is touched at every part.
	progress time.Time
	// leaveAt is the length at which the caller disconnects once; 0 is never.
	leaveAt int
}

// lostPlace reports that the parts do not follow what was read before: the
// answer is read again from its start.
type lostPlace struct{}

func (*lostPlace) Error() string { return "the answer went on at another place" }

// Part takes a part. An error ends the request.
func (a *assembly) Part(part caller.AnswerPart) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	a.progress = now
	if part.Restart {
		a.attempt, a.text = part.Attempt, nil
	}
	if a.attempt != 0 && part.Attempt != a.attempt {
		a.attempt, a.text = 0, nil
		return &lostPlace{}
	}
	a.attempt = part.Attempt
	if err := a.add(part, now); err != nil {
		return err
	}
	if part.Complete {
		a.complete, a.usage = true, part
	}
	if a.leaveAt > 0 && len(a.text) >= a.leaveAt && !a.complete {
		a.leaveAt = 0
		return &errGaveUp{}
	}
	return nil
}

// add appends the text that was not read before.
func (a *assembly) add(part caller.AnswerPart, now time.Time) error {
	if len(part.Text) == 0 {
		return nil
	}
	known := uint64(len(a.text))
	if part.Offset > known {
		return &lostPlace{}
	}
	if part.Offset+uint64(len(part.Text)) <= known {
		return nil
	}
	fresh := part.Text[known-part.Offset:]
	a.text = append(a.text, fresh...)
	a.measure(len(fresh), now)
	return nil
}

func (a *assembly) measure(bytes int, now time.Time) {
	if !a.first {
		a.first = true
		a.observer.FirstToken(now.Sub(a.issued))
	} else {
		tokens := max((bytes+bytesPerToken-1)/bytesPerToken, 1)
		a.observer.InterToken(now.Sub(a.last) / time.Duration(tokens))
	}
	a.last = now
}

func (a *assembly) length() uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return uint64(len(a.text))
}

func (a *assembly) whole() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.complete
}

func (a *assembly) touch() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.progress = time.Now()
}

func (a *assembly) stalledFor() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return time.Since(a.progress)
}

// watchdog checks for a stall this many times within the allowed span.
const stallChecks = 4

// guard runs send under a context that ends when the answer stalls.
func (a *assembly) guard(ctx context.Context, stall time.Duration, send func(context.Context) error) error {
	guarded, cancel := context.WithCancel(ctx)
	defer cancel()
	a.touch()
	go func() {
		for sleep(guarded, stall/stallChecks) {
			if a.stalledFor() > stall {
				cancel()
			}
		}
	}()
	err := send(guarded)
	if err != nil && guarded.Err() != nil {
		return &errGaveUp{}
	}
	return err
}
