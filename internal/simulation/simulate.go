package simulation

import (
	"fmt"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// Fault names something that goes wrong during a run.
type Fault string

// The faults of a run. Times are shares of the run's duration.
const (
	FaultNone Fault = "none"
	// FaultEngineCrash loses one engine at 40% and another at 60%; each comes
	// back empty after the restart time.
	FaultEngineCrash Fault = "engine-crash"
	// FaultEngineLeaving drains one engine from 40% on, for good.
	FaultEngineLeaving Fault = "engine-leaving"
	// FaultReportsLost loses every load report for five seconds, from 40% on.
	FaultReportsLost Fault = "reports-lost"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{FaultNone, FaultEngineCrash, FaultEngineLeaving, FaultReportsLost}
}

// Config is one run of the simulator.
type Config struct {
	Deployment string
	Policy     string
	Fault      Fault
	Seed       uint64
	// ProgramsPerSecond is the mean arrival rate.
	ProgramsPerSecond float64
	// Duration is how long programs arrive; those under way then run to their
	// end, for at most drainFactor times as long and drainLeast more.
	Duration time.Duration
	// WarmUp is how long arrivals are not measured.
	WarmUp     time.Duration
	Parameters Parameters
}

// A run is cut off after drainFactor durations and drainLeast.
const (
	drainFactor = 6
	drainLeast  = 15 * time.Minute
)

// Totals count what programs used.
type Totals struct {
	PromptTokens int64
	ReusedTokens int64
	// WastedTokens were prefilled again though the same prefix of the program
	// had been computed before, on any engine.
	WastedTokens int64
	Calls        int64
	// Refused counts refusals; a refused call comes back until it runs.
	Refused int64
	// Deferred counts how often first calls were held back.
	Deferred int64
	// Restarted counts calls whose engine failed under them.
	Restarted int64
}

func (t *Totals) add(other Totals) {
	t.PromptTokens += other.PromptTokens
	t.ReusedTokens += other.ReusedTokens
	t.WastedTokens += other.WastedTokens
	t.Calls += other.Calls
	t.Refused += other.Refused
	t.Deferred += other.Deferred
	t.Restarted += other.Restarted
}

// ProgramResult is one measured program, sub-agents included.
type ProgramResult struct {
	Name string
	// Latency is from opening to the end, tools and pauses included. For a
	// program still under way when the run was cut off it is a lower bound.
	Latency time.Duration
	// Paused is the part of Latency in which a person was waited for.
	Paused    time.Duration
	Completed bool
}

// Result is what one run gave.
type Result struct {
	Config   Config
	Programs []ProgramResult
	Totals   Totals
	// Busy is the mean share of time in which engines ran steps while programs
	// arrived.
	Busy float64
	// Moves counts KV caches moved, MovedTokens their size.
	Moves       int
	MovedTokens int64
}

// UnknownFault reports a fault that the simulator does not know.
type UnknownFault struct{ Fault Fault }

func (e *UnknownFault) Error() string {
	return fmt.Sprintf("unknown fault %q; known are %v", e.Fault, Faults())
}

// Simulate runs the simulator. The error is a *workload.UnknownDeployment, a
// *schedule.UnknownPolicy or an *UnknownFault.
func Simulate(config Config) (Result, error) {
	deployment, err := workload.DeploymentByName(config.Deployment)
	if err != nil {
		return Result{}, err
	}
	generator, err := workload.NewGenerator(config.Deployment, config.Seed)
	if err != nil {
		return Result{}, err
	}
	w, err := newWorld(config, deployment)
	if err != nil {
		return Result{}, err
	}
	if err := w.plan(config.Fault, config.Duration); err != nil {
		return Result{}, err
	}
	return w.simulate(config, generator.Arrivals(config.ProgramsPerSecond, config.Duration)), nil
}

// simulate opens each program at its time and runs until all have ended.
func (w *world) simulate(config Config, arrivals []workload.Arrival) Result {
	left := len(arrivals)
	roots := make([]*run, 0, len(arrivals))
	finished := map[*run]time.Duration{}
	for _, arrival := range arrivals {
		w.clock.after(arrival.At, func() {
			var opened *run
			opened = w.open(arrival.Program, nil, func() {
				left--
				finished[opened] = w.clock.now
			})
			opened.measured = arrival.At >= config.WarmUp
			roots = append(roots, opened)
			opened.next()
		})
	}
	var busy float64
	w.clock.after(config.Duration, func() { busy = w.busyShare() })
	for left > 0 && w.clock.now < drainFactor*config.Duration+drainLeast {
		w.clock.step()
	}
	result := w.collect(roots, finished)
	result.Config, result.Busy = config, busy
	return result
}

func (w *world) collect(roots []*run, finished map[*run]time.Duration) Result {
	result := Result{Moves: w.moves, MovedTokens: w.movedTokens}
	for _, root := range roots {
		if !root.measured {
			continue
		}
		at, completed := finished[root]
		if !completed {
			at = w.clock.now
		}
		result.Totals.add(root.totals)
		result.Programs = append(result.Programs, ProgramResult{
			Name: string(root.program.Name), Latency: at - root.started, Paused: root.paused, Completed: completed,
		})
	}
	return result
}

func (w *world) busyShare() float64 {
	var busy time.Duration
	for _, e := range w.engines {
		busy += e.busy
	}
	return float64(busy) / float64(w.clock.now) / float64(len(w.engines))
}

// plan adds a fault's actions.
func (w *world) plan(fault Fault, duration time.Duration) error {
	first, second := duration*2/5, duration*3/5
	switch fault {
	case FaultNone, "":
	case FaultEngineCrash:
		w.clock.after(first, w.engines[0].crash)
		w.clock.after(second, w.engines[1].crash)
	case FaultEngineLeaving:
		w.clock.after(first, func() { w.engines[0].leaving = true })
	case FaultReportsLost:
		const lost = 5 * time.Second
		w.clock.after(first, func() { w.reportsLost = true })
		w.clock.after(first+lost, func() { w.reportsLost = false })
	default:
		return &UnknownFault{Fault: fault}
	}
	return nil
}
