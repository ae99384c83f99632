package demo

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/report"
	"github.com/barleyshelf/barleyshelf/internal/lab/session"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// Run carries the whole run out and returns its report.
func Run(ctx context.Context, options Options) (*report.Report, error) {
	began := time.Now()
	chosen, err := chooseFaults(options.Faults)
	if err != nil {
		return nil, err
	}
	options.Duration = cmp.Or(options.Duration, defaultDuration(chosen))
	generator, err := workload.NewGenerator(options.Declarations.Deployment.Name, options.Seed)
	if err != nil {
		return nil, err
	}
	running, err := newBench(options)
	if err != nil {
		return nil, err
	}
	defer running.close()
	control, probing, err := running.start(ctx)
	if err != nil {
		return nil, err
	}
	running.drive(ctx, generator, chosen, probing)
	running.collect()
	written := running.report(time.Since(began))
	written.Control = control
	return written, nil
}

// defaultDuration makes programs arrive for as long as the faults take.
func defaultDuration(chosen []fault) time.Duration {
	const quiet, perDaemonFault = 20 * time.Second, 7 * time.Second
	span := quiet
	for _, each := range chosen {
		if each.lane == daemonLane {
			span += perDaemonFault
		}
	}
	return span
}

// start brings the deployment up and measures it while it is idle.
func (b *bench) start(ctx context.Context) (report.Control, *probes, error) {
	probing := newProbes(b)
	began := time.Now()
	if err := b.cluster.Start(ctx); err != nil {
		return report.Control{}, nil, err
	}
	if err := b.operator.first(ctx); err != nil {
		return report.Control{}, nil, err
	}
	if err := probing.awaitReady(ctx); err != nil {
		return report.Control{}, nil, err
	}
	b.progress("%d daemons ready after %s", len(b.cluster.Members), time.Since(began).Round(time.Millisecond))
	pause.For(ctx, joinSpan)
	return b.measureControl(ctx), probing, nil
}

// drive puts the load, the routine and the faults on the deployment, and
// returns when every program has ended and engines had time to forget them.
func (b *bench) drive(ctx context.Context, generator *workload.Generator, chosen []fault, probing *probes) {
	background, stop := context.WithCancel(ctx)
	var beside sync.WaitGroup
	inBackground := func(work func(context.Context)) {
		beside.Add(1)
		go func() {
			defer beside.Done()
			work(background)
		}()
	}
	inBackground(probing.run)
	inBackground(b.operator.runChanges)
	inBackground(b.watchHolds)
	inBackground(b.runProgress)
	disturbed := make(chan struct{})
	go func() {
		defer close(disturbed)
		b.disturb(ctx, chosen)
	}()
	b.runPrograms(ctx, generator)
	<-disturbed
	b.awaitRelease(ctx)
	stop()
	beside.Wait()
}

// runPrograms starts each program at its planned time and waits for all.
func (b *bench) runPrograms(ctx context.Context, generator *workload.Generator) {
	limited, cancel := context.WithTimeout(ctx, b.options.Duration+finishTimeout)
	defer cancel()
	began := time.Now()
	behaviors := b.random(forBehavior)
	var group sync.WaitGroup
	for _, offset := range b.arrivals() {
		planned := began.Add(offset)
		program, behavior := generator.Next(), session.DrawBehavior(behaviors)
		random := rand.New(rand.NewPCG(behaviors.Uint64(), behaviors.Uint64()))
		if !pause.For(limited, time.Until(planned)) {
			break
		}
		group.Add(1)
		go func() {
			defer group.Done()
			b.runProgram(limited, program, behavior, random, planned)
		}()
	}
	group.Wait()
}

// arrivals draws the planned starts; the number of programs is fixed.
func (b *bench) arrivals() []time.Duration {
	random := b.random(forArrivals)
	offsets := make([]time.Duration, b.options.Programs)
	for i := range offsets {
		offsets[i] = time.Duration(random.Int64N(int64(max(b.options.Duration, 1))))
	}
	slices.Sort(offsets)
	return offsets
}

func (b *bench) runProgram(ctx context.Context, program *workload.Program, behavior session.Behavior, random *rand.Rand, planned time.Time) {
	b.measured.ProgramStarted()
	outcome := session.New(b.sessionOptions(), program.Tenant, behavior).Run(ctx, program, random)
	b.measured.ProgramEnded(outcome.Completed, outcome.Cause, time.Since(planned))
	b.measured.SubAgentsUnfinished(outcome.SubAgents)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.programs = append(b.programs, outcome.Records...)
}

// awaitRelease waits until no engine holds memory for a program that has
// ended, or until the bound for it is over.
func (b *bench) awaitRelease(ctx context.Context) {
	bound := time.Now().Add(promise.DefaultBounds().Release)
	for time.Now().Before(bound) {
		held := 0
		for _, engine := range b.outside.Engines {
			held += len(engine.Ledger().Holds)
		}
		if held == 0 || !pause.For(ctx, releasePoll) {
			return
		}
	}
}

// collect fills the evidence from the ledgers and the records.
func (b *bench) collect() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.evidence.Oracle = topology.Oracle()
	b.evidence.Bounds = promise.DefaultBounds()
	b.evidence.Programs = b.programs
	b.evidence.Collected = time.Now()
	b.outside.Collect(&b.evidence)
	b.operator.collect(&b.evidence)
}

func (b *bench) report(elapsed time.Duration) *report.Report {
	written := &report.Report{
		Deployment:     b.options.Declarations.Deployment.Name,
		Policy:         cmp.Or(b.options.Policy, b.options.Declarations.Deployment.Policy, "default"),
		Seed:           b.options.Seed,
		Seconds:        elapsed.Seconds(),
		Daemons:        len(b.cluster.Members),
		Callers:        b.measured.Callers(),
		Release:        b.releases(),
		ConfigInForce:  inForce(&b.evidence),
		Cache:          b.outside.Cache(),
		FaultsInjected: b.injected,
		FaultsFailed:   b.failed,
		Promises:       promise.Check(&b.evidence),
	}
	written.Failover = percentilesOf(b.failover)
	written.PauseFailover = percentilesOf(b.pauseFailover)
	return written
}

// percentilesOf returns nil where nothing was recorded.
func percentilesOf(distribution *report.Distribution) *report.Percentiles {
	percentiles := distribution.Percentiles()
	if percentiles.Count == 0 {
		return nil
	}
	return &percentiles
}

func (b *bench) runProgress(ctx context.Context) {
	began := time.Now()
	for pause.For(ctx, progressPeriod) {
		started, completed, ended := b.measured.Programs()
		b.progress("%3.0fs  programs: %d started, %d under way, %d completed, %d not completed",
			time.Since(began).Seconds(), started, started-ended, completed, ended-completed)
	}
}
