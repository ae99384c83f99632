package demo

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Spans of the daemons' faults.
const (
	daemonDownSpan = 1500 * time.Millisecond
	// repairSpan is left after a daemon lost its memory, so that its groups are
	// whole again before the next one does: a group of three may lose one.
	repairSpan = 6 * time.Second
	pauseSpan  = 2500 * time.Millisecond
	// longPauseSpan is longer than the others wait before they go on without a
	// daemon: it wakes as a former leader.
	longPauseSpan = 7 * time.Second
	zoneCutSpan   = 3 * time.Second
	zoneLostSpan  = 3 * time.Second
)

func daemonFaults() []fault {
	return []fault{
		{"daemon-kill", daemonLane, killDaemon},
		{"daemon-amnesia", daemonLane, amnesia},
		{"daemon-pause", daemonLane, pauseDaemon(pauseSpan)},
		{"daemon-long-pause", daemonLane, pauseDaemon(longPauseSpan)},
		{"zone-cut", daemonLane, cutZone},
		{"zone-lost", daemonLane, loseZone},
		{"rolling-restart", daemonLane, rollingRestart},
	}
}

// killDaemon crashes a daemon and starts it again with the disk it had.
func killDaemon(ctx context.Context, b *bench, random *rand.Rand) error {
	return b.crash(ctx, b.anyLeader(ctx, random, anyone), false)
}

// amnesia crashes a daemon that has a disk and starts it again without.
func amnesia(ctx context.Context, b *bench, random *rand.Rand) error {
	return b.crash(ctx, b.anyLeader(ctx, random, hasDisk), true)
}

func (b *bench) crash(ctx context.Context, member *topology.Member, erase bool) error {
	b.progress("killing %s", member.Spec.Node)
	watch, err := b.prepareFailover(ctx, member)
	if err != nil {
		return err
	}
	began := time.Now()
	err = watch.measure(ctx, b.failover, func() error {
		member.Kill()
		pause.For(ctx, daemonDownSpan)
		if !erase {
			return nil
		}
		return member.EraseDisk()
	})
	if err != nil {
		return err
	}
	if err := member.Start(ctx); err != nil {
		return err
	}
	b.impair(member.Spec.Node, began, time.Now())
	pause.For(ctx, repairSpan)
	return nil
}

// pauseDaemon freezes a daemon that leads shards, and lets it go on.
func pauseDaemon(span time.Duration) func(context.Context, *bench, *rand.Rand) error {
	return func(ctx context.Context, b *bench, random *rand.Rand) error {
		member := b.anyLeader(ctx, random, anyone)
		b.progress("pausing %s", member.Spec.Node)
		watch, err := b.prepareFailover(ctx, member)
		if err != nil {
			return err
		}
		began := time.Now()
		err = watch.measure(ctx, b.pauseFailover, func() error {
			member.Freeze(ctx, span)
			return nil
		})
		b.impair(member.Spec.Node, began, time.Now())
		return err
	}
}

// cutZone cuts one zone off from all others.
func cutZone(ctx context.Context, b *bench, random *rand.Rand) error {
	zones := b.options.Declarations.Zones
	alone := zones[random.IntN(len(zones))].Name
	began := time.Now()
	b.setCut(alone, b.network.Cut)
	pause.For(ctx, zoneCutSpan)
	b.setCut(alone, b.network.Heal)
	for _, member := range b.cluster.Members {
		if member.Spec.Zone == alone {
			b.impair(member.Spec.Node, began, time.Now())
		}
	}
	pause.For(ctx, settleSpan)
	return nil
}

func (b *bench) setCut(alone structs.ZoneName, set func(a, b structs.ZoneName)) {
	for _, zone := range b.options.Declarations.Zones {
		if zone.Name != alone {
			set(alone, zone.Name)
		}
	}
}

// loseZone crashes every daemon and engine of a zone at once, and starts them
// again with the disks they had.
func loseZone(ctx context.Context, b *bench, random *rand.Rand) error {
	zones := b.options.Declarations.Zones
	lost := zones[random.IntN(len(zones))].Name
	b.progress("losing %s", lost)
	began := time.Now()
	for _, engine := range b.outside.Engines {
		if engine.Zone() == lost {
			engine.Crash()
		}
	}
	for _, member := range b.cluster.Members {
		if member.Spec.Zone == lost {
			member.Kill()
		}
	}
	pause.For(ctx, zoneLostSpan)
	if err := b.restoreZone(ctx, lost); err != nil {
		return err
	}
	for _, member := range b.cluster.Members {
		if member.Spec.Zone == lost {
			b.impair(member.Spec.Node, began, time.Now())
		}
	}
	pause.For(ctx, repairSpan)
	return nil
}

func (b *bench) restoreZone(ctx context.Context, lost structs.ZoneName) error {
	for _, engine := range b.outside.Engines {
		if engine.Zone() != lost {
			continue
		}
		if err := engine.Restart(); err != nil {
			return err
		}
	}
	for _, member := range b.cluster.Members {
		if member.Spec.Zone != lost {
			continue
		}
		if err := member.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// rollingRestart stops and starts every daemon in turn.
func rollingRestart(ctx context.Context, b *bench, _ *rand.Rand) error {
	for _, member := range b.cluster.Members {
		if err := b.plannedStop(ctx, member); err != nil {
			return err
		}
	}
	return nil
}
