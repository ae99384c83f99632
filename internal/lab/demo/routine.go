package demo

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
)

// Times of the routine.
const (
	stopTimeout = 30 * time.Second
	// stopLead lets requests come in before the stop, so that it has some in
	// progress to keep.
	stopLead = 2 * time.Second
	// busyTimeout bounds the wait for a daemon with requests in progress.
	busyTimeout = 5 * time.Second
	busyPoll    = 5 * time.Millisecond
	// departureSpan is how long an engine stays away.
	departureSpan = 6 * time.Second
)

// plannedStop stops a daemon in an orderly way and starts it again.
func (b *bench) plannedStop(ctx context.Context, member *topology.Member) error {
	stop := promise.PlannedStop{Daemon: member.Spec.Node, Begun: time.Now()}
	limited, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := member.Stop(limited)
	stop.Done = time.Now()
	b.mutex.Lock()
	b.evidence.Stops = append(b.evidence.Stops, stop)
	b.mutex.Unlock()
	b.progress("planned stop of %s took %s", member.Spec.Node, stop.Done.Sub(stop.Begun).Round(time.Millisecond))
	if err != nil {
		return err
	}
	b.impair(member.Spec.Node, stop.Begun, time.Now())
	return member.Start(ctx)
}

// departure marks an engine as leaving in the machine list, and takes the mark
// back after a while. The promise counts from when the list shows it.
func (b *bench) departure(ctx context.Context, engine *emulator.Engine) {
	b.outside.Platform.SetEngineLeaving(engine.ID(), true)
	left := promise.Departure{Engine: engine.ID(), Since: time.Now().Add(machineListLag)}
	b.progress("engine %s is leaving", engine.ID())
	wait(ctx, departureSpan)
	left.Until = time.Now()
	b.outside.Platform.SetEngineLeaving(engine.ID(), false)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.evidence.Departures = append(b.evidence.Departures, left)
}

// busiestEngine returns the engine with the most streams so far.
func (b *bench) busiestEngine() *emulator.Engine {
	busiest, most := b.outside.Engines[0], -1
	for _, engine := range b.outside.Engines {
		if streams := len(engine.Ledger().Streams); streams > most {
			busiest, most = engine, streams
		}
	}
	return busiest
}

// busiestMember returns the daemon with the most requests in progress, as soon
// as there is one.
func (b *bench) busiestMember(ctx context.Context, random *rand.Rand) *topology.Member {
	limited, cancel := context.WithTimeout(ctx, busyTimeout)
	defer cancel()
	for {
		if daemon, busy := b.requests.busiest(); busy {
			for _, member := range b.cluster.Members {
				if member.Spec.Node == daemon {
					return member
				}
			}
		}
		if !wait(limited, busyPoll) {
			return b.anyMember(random)
		}
	}
}

// anyMember returns a member at random.
func (b *bench) anyMember(random *rand.Rand) *topology.Member {
	return b.cluster.Members[random.IntN(len(b.cluster.Members))]
}
