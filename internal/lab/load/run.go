package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/lab/report"
	"github.com/barleyshelf/barleyshelf/internal/lab/session"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// Options set up a run of load.
type Options struct {
	// Workload names the deployment whose programs are run.
	Workload string
	// Arrivals are the planned starts, from the beginning of the run.
	Arrivals []time.Duration
	Seed     uint64
	// Limit bounds the whole run.
	Limit time.Duration
	// Endpoints returns the daemons of a tenant; none where it has no token.
	Endpoints func(structs.TenantID) []session.Endpoint
	Patience  time.Duration
	TimeScale float64
}

// MissingToken reports a tenant of the workload that no token was given for.
type MissingToken struct{ Tenant structs.TenantID }

func (e *MissingToken) Error() string {
	return fmt.Sprintf("the workload has programs of tenant %s, for which no token is given", e.Tenant)
}

// Run opens a program at each planned start and waits for all of them, at most
// to the limit. Latencies count from the planned starts. Errors: *workload.UnknownDeployment, *MissingToken.
func Run(ctx context.Context, options Options) (report.Callers, error) {
	programs, err := draw(options)
	if err != nil {
		return report.Callers{}, err
	}
	limited, cancel := context.WithTimeout(ctx, options.Limit)
	defer cancel()
	measured := report.NewMeter()
	var group sync.WaitGroup
	runner := newRunner(limited, options, programs, measured)
	runner.Spawn = func(work func()) {
		group.Add(1)
		go func() {
			defer group.Done()
			work()
		}()
	}
	runner.Run(options.Arrivals)
	group.Wait()
	return measured.Callers(), nil
}

// newRunner returns a runner that plays the programs by the wall clock.
func newRunner(ctx context.Context, options Options, programs []*workload.Program, measured *report.Meter) *Runner {
	played := session.Options{
		Endpoints: options.Endpoints, Observer: measured, TimeScale: options.TimeScale,
		Patience: options.Patience, Stall: options.Patience,
	}
	outcomes := make([]session.Outcome, len(programs))
	return &Runner{
		Now:   time.Now,
		Sleep: func(span time.Duration) { pause(ctx, span) },
		Work: func(number int) {
			measured.ProgramStarted()
			program := programs[number]
			behaved := session.New(played, program.Tenant, session.Behavior{})
			random := rand.New(rand.NewPCG(options.Seed, seedStream+uint64(number)))
			outcomes[number] = behaved.Run(ctx, program, random)
		},
		Done: func(number int, latency time.Duration) {
			outcome := outcomes[number]
			measured.ProgramEnded(outcome.Completed, outcome.Cause, latency)
			measured.SubAgentsUnfinished(outcome.SubAgents)
		},
	}
}

// draw draws the programs and makes sure that each can be opened.
func draw(options Options) ([]*workload.Program, error) {
	generator, err := workload.NewGenerator(options.Workload, options.Seed)
	if err != nil {
		return nil, err
	}
	programs := make([]*workload.Program, len(options.Arrivals))
	for i := range programs {
		programs[i] = generator.Next()
		// Programs of different runs must not find each other by their keys.
		programs[i].Key = fmt.Sprintf("%s-%x", programs[i].Key, time.Now().UnixNano())
		if len(options.Endpoints(programs[i].Tenant)) == 0 {
			return nil, &MissingToken{Tenant: programs[i].Tenant}
		}
	}
	return programs, nil
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
