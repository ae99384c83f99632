package session

import (
	"context"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

const bytesPerToken = 4

// assembly puts the parts of one answer together, over all attempts.
type assembly struct {
	observer Observer
	issued   time.Time

	mutex sync.Mutex
	// sequence is where the text stands.
	sequence caller.Sequence
	text     []byte
	complete bool
	first    bool
	last     time.Time
	// progress is touched at every part.
	progress time.Time
	// leaveAt is the length at which the caller disconnects once; 0 is never.
	leaveAt int
}

// Part takes a part. An error ends the request.
func (a *assembly) Part(part caller.AnswerPart) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	a.progress = now
	accepted, err := a.sequence.Accept(part)
	if err != nil {
		a.sequence, a.text = caller.Sequence{}, nil
		return err
	}
	if accepted.Restart {
		a.text = nil
	}
	if len(accepted.Text) > 0 {
		a.text = append(a.text, accepted.Text...)
		a.measure(len(accepted.Text), now)
	}
	a.complete = a.complete || accepted.Complete
	if a.leaveAt > 0 && len(a.text) >= a.leaveAt && !a.complete {
		a.leaveAt = 0
		return &errGaveUp{}
	}
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

// standing is where the next request goes on.
func (a *assembly) standing() caller.Sequence {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.sequence
}

// forget drops what was read, so that the answer is read from its start.
func (a *assembly) forget() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sequence, a.text = caller.Sequence{}, nil
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

// stallChecks is the number of looks for a stall within the allowed span.
const stallChecks = 4

// guard runs send under a context that ends when the answer stalls.
func (a *assembly) guard(ctx context.Context, stall time.Duration, send func(context.Context) error) error {
	guarded, cancel := context.WithCancel(ctx)
	defer cancel()
	a.touch()
	go func() {
		for pause.For(guarded, stall/stallChecks) {
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
