package demo

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

// Spans and shares of the platform's faults.
const (
	platformFaultSpan = 3 * time.Second
	platformSlowness  = 300 * time.Millisecond
	lostWriteShare    = 0.6
	racingOperators   = 2
	raceRounds        = 5
)

func platformFaults() []fault {
	return []fault{
		{"platform-down", backendLane, platformDown},
		{"platform-slow", backendLane, platformSlow},
		{"platform-answer-lost", backendLane, platformAnswersLost},
		{"operator-race", backendLane, raceOperators},
	}
}

func platformDown(ctx context.Context, b *bench, _ *rand.Rand) error {
	b.outside.Platform.Faults.Down.Store(true)
	defer b.outside.Platform.Faults.Down.Store(false)
	pause.For(ctx, platformFaultSpan)
	return nil
}

func platformSlow(ctx context.Context, b *bench, _ *rand.Rand) error {
	b.outside.Platform.Faults.Slow.Set(platformSlowness)
	defer b.outside.Platform.Faults.Slow.Set(0)
	pause.For(ctx, platformFaultSpan)
	return nil
}

// platformAnswersLost makes changes whose answers are lost after the effect.
func platformAnswersLost(ctx context.Context, b *bench, _ *rand.Rand) error {
	b.outside.Platform.Faults.LoseAnswer.Set(lostWriteShare)
	defer b.outside.Platform.Faults.LoseAnswer.Set(0)
	for range raceRounds {
		if err := b.operator.update(ctx); err != nil && !failure.IsType(err, "platform_unavailable") {
			return err
		}
	}
	return nil
}

// raceOperators lets operators change the configuration from the same version;
// one of them is accepted each time.
func raceOperators(ctx context.Context, b *bench, _ *rand.Rand) error {
	var failures []error
	for range raceRounds {
		version, declarations, err := b.operator.current(ctx)
		if err != nil {
			return err
		}
		outcomes := make([]error, racingOperators)
		var group sync.WaitGroup
		for i := range outcomes {
			group.Add(1)
			go func() {
				defer group.Done()
				outcomes[i] = b.operator.change(ctx, version, declarations)
			}()
		}
		group.Wait()
		for _, outcome := range outcomes {
			if outcome != nil && !conflict(outcome) {
				failures = append(failures, outcome)
			}
		}
	}
	return errors.Join(failures...)
}
