package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	// probeEvery is how often replicas are asked again after none answered.
	probeEvery   = 200 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// silentCall is how long replicas must have had before their silence counts.
	silentCall = 200 * time.Millisecond
	// heardLately is how long ago a replica's last answer, to any call, shows that
	// this gateway is not cut off, only slow.
	heardLately = 500 * time.Millisecond
)

var (
	eventIsolated = event.Define(2807, event.Warning, "no replica answers this gateway; it is not ready", "Look at the links between this machine and the replicas.")
	eventDirect   = event.Define(2809, event.Info, "no replica passes news on; the platform's store is followed itself", "")
	eventReached  = event.Define(2808, event.Info, "replicas answer this gateway again", "")
)

// stateHealth knows whether this gateway reaches any replica. One that reaches
// none cannot begin a turn, and its clients are better off at another gateway.
type stateHealth struct {
	quorum *quorum.Client
	// heard reports whether any replica has answered any call within a time.
	heard func(limit time.Duration) bool

	mutex sync.Mutex
	// alone is set from a failure without any answer to the next success.
	alone bool
	wake  chan struct{}
}

func newStateHealth(client *quorum.Client, heard func(limit time.Duration) bool) *stateHealth {
	return &stateHealth{quorum: client, heard: heard, wake: make(chan struct{}, 1)}
}

// note takes the outcome of a call to the replicas and how long they had. A call
// that ended early, because its client left or ran out of time, says nothing.
func (h *stateHealth) note(err error, waited time.Duration) {
	var unavailable *quorum.Unavailable
	alone := errors.As(err, &unavailable) && unavailable.Answered == 0 && waited >= silentCall && !h.heard(heardLately)
	if err != nil && !alone {
		return
	}
	h.mutex.Lock()
	changed := h.alone != alone
	h.alone = alone
	h.mutex.Unlock()
	if !changed {
		return
	}
	if !alone {
		eventReached.Log()
		return
	}
	eventIsolated.Log("cause", err.Error())
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// isolated reports whether no replica answered last.
func (h *stateHealth) isolated() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.alone
}

// run probes the replicas while none answers.
func (h *stateHealth) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		}
		for h.isolated() && pause.For(ctx, probeEvery) {
			call, cancel := context.WithTimeout(ctx, probeTimeout)
			h.note(h.quorum.Probe(call), probeTimeout)
			cancel()
		}
	}
}
