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
	// replicaProbeInterval is the interval of probes while no replica answers.
	replicaProbeInterval = 200 * time.Millisecond
	replicaProbeTimeout  = 400 * time.Millisecond
	// minSilentCall is how long a call must have lasted before its lack of answers counts.
	minSilentCall = 200 * time.Millisecond
	// recentAnswerLimit is the age of the last answer of any replica up to which a failed call
	// counts as slow, not as a sign of isolation.
	recentAnswerLimit = 500 * time.Millisecond
)

var (
	eventGatewayIsolated = event.Define(2807, event.Warning, "no replica answers this gateway; it is not ready", "Check the links between this machine and the replicas.")
	eventStoreWatched    = event.Define(2809, event.Info, "no replica forwards store updates; the gateway watches the platform's store itself", "")
	eventReplicasReached = event.Define(2808, event.Info, "replicas answer this gateway again", "")
)

// replicaHealth tracks whether this gateway reaches any replica. Without replicas it cannot
// begin turns, and clients should use another gateway.
type replicaHealth struct {
	quorum *quorum.Client
	// answeredWithin reports whether any replica has answered any call within the given time.
	answeredWithin func(limit time.Duration) bool

	mutex sync.Mutex
	// isolatedNow is set from a call that no replica answered until the next successful call.
	isolatedNow bool
	wake        chan struct{}
}

func newReplicaHealth(client *quorum.Client, answeredWithin func(limit time.Duration) bool) *replicaHealth {
	return &replicaHealth{quorum: client, answeredWithin: answeredWithin, wake: make(chan struct{}, 1)}
}

// recordCall records the outcome of a call to replicas and how long it lasted. A call that
// ended early, because its client disconnected or its deadline passed, is ignored.
func (h *replicaHealth) recordCall(err error, waited time.Duration) {
	var unavailable *quorum.Unavailable
	isolated := errors.As(err, &unavailable) && unavailable.Answered == 0 && waited >= minSilentCall && !h.answeredWithin(recentAnswerLimit)
	if err != nil && !isolated {
		return
	}
	h.mutex.Lock()
	changed := h.isolatedNow != isolated
	h.isolatedNow = isolated
	h.mutex.Unlock()
	if !changed {
		return
	}
	if !isolated {
		eventReplicasReached.Log()
		return
	}
	eventGatewayIsolated.Log("cause", err.Error())
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// isolated reports whether no replica answered the last call that counts.
func (h *replicaHealth) isolated() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.isolatedNow
}

// probeWhileIsolated probes the replicas while none answers.
func (h *replicaHealth) probeWhileIsolated(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		}
		for h.isolated() && pause.For(ctx, replicaProbeInterval) {
			callContext, cancel := context.WithTimeout(ctx, replicaProbeTimeout)
			h.recordCall(h.quorum.Probe(callContext), replicaProbeTimeout)
			cancel()
		}
	}
}
