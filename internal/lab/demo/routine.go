package demo

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Times of the routine.
const (
	stopTimeout = 30 * time.Second
	// stopLead lets requests come in before the stop, so that it has some in
	// progress to keep.
	stopLead = 2 * time.Second
	// stopWait bounds the wait for requests in progress before a stop.
	stopWait = 2 * time.Second
	// busyTimeout bounds the wait for a daemon with requests in progress.
	busyTimeout = 5 * time.Second
	busyPoll    = 5 * time.Millisecond
	// departureSpan is how long an engine stays away.
	departureSpan = 6 * time.Second
)

// plannedStop stops a daemon in an orderly way and starts it again. The error
// says that the stop did not end in time, or that the daemon did not start.
func (b *bench) plannedStop(ctx context.Context, member *topology.Member) error {
	b.awaitRequests(ctx, member)
	stop := promise.PlannedStop{Daemon: member.Spec.Node, Begun: time.Now()}
	limited, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := member.Stop(limited)
	stop.Done = time.Now()
	b.mutex.Lock()
	b.evidence.Stops = append(b.evidence.Stops, stop)
	b.mutex.Unlock()
	b.progress("planned stop of %s took %s", member.Spec.Node, stop.Done.Sub(stop.Begun).Round(time.Millisecond))
	b.impair(member.Spec.Node, stop.Begun, time.Now())
	return cmp.Or(err, member.Start(ctx))
}

// awaitRequests returns when the daemon has requests in progress, so that its
// stop has some to keep, or after a while.
func (b *bench) awaitRequests(ctx context.Context, member *topology.Member) {
	limited, cancel := context.WithTimeout(ctx, stopWait)
	defer cancel()
	for b.requests.at(member.Spec.Node) == 0 && pause.For(limited, busyPoll) {
	}
}

// departure marks an engine as leaving in the machine list, and takes the mark
// back after a while. The promise counts from when the list shows it.
func (b *bench) departure(ctx context.Context, engine *emulator.Engine) {
	b.outside.Platform.SetEngineLeaving(engine.ID(), true)
	left := promise.Departure{Engine: engine.ID(), Since: time.Now().Add(machineListLag)}
	b.progress("engine %s is leaving", engine.ID())
	pause.For(ctx, departureSpan)
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
		if !pause.For(limited, busyPoll) {
			return b.anyMember(random)
		}
	}
}

// anyLeader returns a member at random, the more shards it leads the likelier.
// Where no leader is known, any member that suits will do.
func (b *bench) anyLeader(ctx context.Context, random *rand.Rand, suits func(*topology.Member) bool) *topology.Member {
	leaders, err := b.operator.leaders(ctx)
	if err != nil {
		b.progress("no leaders known: %v", err)
	}
	led := map[structs.NodeID]int{}
	for _, leader := range leaders {
		led[leader]++
	}
	var tickets []*topology.Member
	for _, member := range b.cluster.Members {
		for range led[member.Spec.Node] {
			if suits(member) {
				tickets = append(tickets, member)
			}
		}
	}
	for len(tickets) == 0 {
		if member := b.anyMember(random); suits(member) {
			tickets = append(tickets, member)
		}
	}
	return tickets[random.IntN(len(tickets))]
}

func anyone(*topology.Member) bool { return true }

func hasDisk(member *topology.Member) bool { return member.Spec.DataFolder != "" }

// anyMember returns a member at random.
func (b *bench) anyMember(random *rand.Rand) *topology.Member {
	return b.cluster.Members[random.IntN(len(b.cluster.Members))]
}
