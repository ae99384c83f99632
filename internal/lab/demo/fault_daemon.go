package demo

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Spans of the daemons' faults.
const (
	daemonDownSpan = 1500 * time.Millisecond
	// repairSpan is left after a daemon lost its memory, so that its groups are
	// whole again before the next one does: a group of three may lose one.
	repairSpan  = 6 * time.Second
	pauseSpan   = 2500 * time.Millisecond
	zoneCutSpan = 3 * time.Second
)

func daemonFaults() []fault {
	return []fault{
		{"daemon-kill", daemonLane, killDaemon},
		{"daemon-amnesia", daemonLane, amnesia},
		{"daemon-pause", daemonLane, pauseDaemon},
		{"zone-cut", daemonLane, cutZone},
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
		wait(ctx, daemonDownSpan)
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
	wait(ctx, repairSpan)
	return nil
}

func pauseDaemon(ctx context.Context, b *bench, random *rand.Rand) error {
	member := b.anyLeader(ctx, random, anyone)
	watch, err := b.prepareFailover(ctx, member)
	if err != nil {
		return err
	}
	began := time.Now()
	err = watch.measure(ctx, b.pauseFailover, func() error {
		member.Freeze(ctx, pauseSpan)
		return nil
	})
	b.impair(member.Spec.Node, began, time.Now())
	return err
}

// cutZone cuts one zone off from all others.
func cutZone(ctx context.Context, b *bench, random *rand.Rand) error {
	zones := b.options.Declarations.Zones
	alone := zones[random.IntN(len(zones))].Name
	began := time.Now()
	b.setCut(alone, b.network.Cut)
	wait(ctx, zoneCutSpan)
	b.setCut(alone, b.network.Heal)
	for _, member := range b.cluster.Members {
		if member.Spec.Zone == alone {
			b.impair(member.Spec.Node, began, time.Now())
		}
	}
	wait(ctx, settleSpan)
	return nil
}

func (b *bench) setCut(alone structs.ZoneName, set func(a, b structs.ZoneName)) {
	for _, zone := range b.options.Declarations.Zones {
		if zone.Name != alone {
			set(alone, zone.Name)
		}
	}
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
