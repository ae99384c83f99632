package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
)

// lane groups faults that never overlap each other. Faults of different lanes
// come together.
type lane int

const (
	// daemonLane has the faults of daemons and zones. Two of them at once could
	// take the memory of more replicas than a group may lose.
	daemonLane lane = iota
	// backendLane has the faults of engines, tools and the platform.
	backendLane
	lanes
)

// fault is something that can be brought about. inject returns when the fault
// is over, and the error when it could not be brought about.
type fault struct {
	name   string
	lane   lane
	inject func(ctx context.Context, b *bench, random *rand.Rand) error
}

func faults() []fault {
	return slices.Concat(daemonFaults(), backendFaults(), platformFaults())
}

// FaultNames returns the names that Options.Faults takes.
func FaultNames() []string {
	var names []string
	for _, each := range faults() {
		names = append(names, each.name)
	}
	return names
}

// UnknownFault reports a fault that does not exist.
type UnknownFault struct{ Name string }

func (e *UnknownFault) Error() string {
	return fmt.Sprintf("unknown fault %q; known are none, all, %s", e.Name, strings.Join(FaultNames(), ", "))
}

// chooseFaults resolves names; "all" stands for every fault and "none" for
// none. The error is an *UnknownFault.
func chooseFaults(names []string) ([]fault, error) {
	var chosen []fault
	for _, name := range names {
		if name == "none" || name == "" {
			continue
		}
		if name == "all" {
			chosen = append(chosen, faults()...)
			continue
		}
		position := slices.IndexFunc(faults(), func(each fault) bool { return each.name == name })
		if position < 0 {
			return nil, &UnknownFault{Name: name}
		}
		chosen = append(chosen, faults()[position])
	}
	return chosen, nil
}

// settleSpan is the quiet time after a fault of a lane.
const settleSpan = 500 * time.Millisecond

// disturb carries out the routine and the chosen faults, each lane in an order
// drawn from the seed. It returns when the last one is over.
func (b *bench) disturb(ctx context.Context, chosen []fault) {
	var group sync.WaitGroup
	for each := range lanes {
		random := rand.New(rand.NewPCG(b.options.Seed, forFaults<<8+uint64(each)))
		group.Add(1)
		go func() {
			defer group.Done()
			if !pause.For(ctx, stopLead) {
				return
			}
			b.routine(ctx, each, random)
			for _, next := range order(chosen, each, random) {
				if !pause.For(ctx, settleSpan) {
					return
				}
				b.inject(ctx, next, random)
			}
		}()
	}
	group.Wait()
}

// routine is what operators do on an ordinary day.
func (b *bench) routine(ctx context.Context, each lane, random *rand.Rand) {
	if each == backendLane {
		b.departure(ctx, b.busiestEngine())
		return
	}
	if err := b.plannedStop(ctx, b.busiestMember(ctx, random)); err != nil {
		b.progress("planned stop failed: %v", err)
		b.note(b.failed, "planned-stop")
	}
}

func order(chosen []fault, each lane, random *rand.Rand) []fault {
	var ordered []fault
	for _, candidate := range chosen {
		if candidate.lane == each {
			ordered = append(ordered, candidate)
		}
	}
	random.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	return ordered
}

func (b *bench) inject(ctx context.Context, next fault, random *rand.Rand) {
	b.progress("fault: %s", next.name)
	if err := next.inject(ctx, b, random); err != nil {
		b.progress("fault %s: %v", next.name, err)
		b.note(b.failed, next.name)
		return
	}
	b.note(b.injected, next.name)
}

func (b *bench) note(counts map[string]int, name string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts[name]++
}
