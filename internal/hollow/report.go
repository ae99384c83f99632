package hollow

import (
	"cmp"
	"fmt"
	"math"
	"runtime"
	"runtime/debug"
	"slices"
	"time"
)

// Failed reports a run that could not be carried through.
type Failed struct{ Cause error }

func (e *Failed) Error() string { return fmt.Sprintf("hollow run failed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *Failed) Unwrap() error { return e.Cause }

// Spread is a value over daemons.
type Spread struct {
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

// Percentiles are of times in milliseconds.
type Percentiles struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Count int     `json:"count"`
}

// Control is what control costs a daemon.
type Control struct {
	// CPUFraction is the share of a core, with the real transport's time.
	CPUFraction Spread `json:"cpu_fraction"`
	// DecisionCPUFraction is the share of a core of the decision code alone.
	DecisionCPUFraction Spread `json:"decision_cpu_fraction"`
	// HeapBytes is live heap, sampled over daemons.
	HeapBytes Spread `json:"heap_bytes"`
	// BytesPerSecond counts both directions between daemons, with HTTP/2, TCP
	// and IP headers.
	BytesPerSecond    Spread `json:"bytes_per_second"`
	MessagesPerSecond Spread `json:"messages_per_second"`
	// OverByteBudget counts daemons above the budget of bytes, which a transfer
	// to a joining daemon within the measured time can bring about.
	OverByteBudget int `json:"daemons_over_byte_budget"`
}

// byteBudget is the target's bound on a daemon's control bytes a second.
const byteBudget = 5000

// KindRate is the mean rate of one kind of message, sent and received together.
type KindRate struct {
	MessagesPerSecond float64 `json:"messages_per_second"`
	BytesPerSecond    float64 `json:"bytes_per_second"`
}

// PlatformReaders is what reading the platform costs the few daemons that do.
type PlatformReaders struct {
	Readers        int     `json:"readers"`
	ObjectBytes    int     `json:"object_bytes"`
	BytesPerSecond Spread  `json:"bytes_per_second"`
	CPUFraction    float64 `json:"cpu_fraction"`
}

// Report is the result of a run.
type Report struct {
	Daemons         int                 `json:"daemons"`
	Workers         int                 `json:"workers"`
	Zones           int                 `json:"zones"`
	Programs        int                 `json:"programs"`
	Tenants         int                 `json:"tenants"`
	Scenario        Scenario            `json:"scenario"`
	Loss            float64             `json:"loss"`
	SimulatedSecond float64             `json:"simulated_seconds"`
	Control         Control             `json:"control"`
	ByKind          map[string]KindRate `json:"by_kind"`
	// LargestByKind is of the one daemon with the most bytes.
	LargestByKind map[string]KindRate `json:"largest_by_kind"`
	Readers       PlatformReaders     `json:"platform_readers"`
	ConfigInForce Percentiles         `json:"config_in_force_ms"`
	// Changes is the number of versions made; Unfinished of them were not in
	// force everywhere when the run ended.
	Changes    int `json:"config_changes"`
	Unfinished int `json:"config_changes_unfinished"`
	// Detection is until all in the zone removed a dead daemon, Suspicion until
	// all in it suspected it, Everywhere until all daemons removed it.
	Detection       Percentiles `json:"detection_ms"`
	Suspicion       Percentiles `json:"suspicion_ms"`
	Everywhere      Percentiles `json:"removed_everywhere_ms"`
	Undetected      int         `json:"deaths_undetected"`
	Join            Percentiles `json:"join_ms"`
	FalseRemovals   int         `json:"false_removals"`
	FalseSuspicions int         `json:"false_suspicions"`
	Backwards       int         `json:"versions_backwards"`
	MergeMillis     float64     `json:"merge_ms,omitempty"`
	Seed            uint64      `json:"seed"`
	WallSeconds     float64     `json:"wall_seconds"`
}

func (r *run) report() *Report {
	o := &r.observed
	report := &Report{
		Daemons:         r.options.Daemons,
		Workers:         r.options.Workers,
		Zones:           r.options.Zones,
		Programs:        r.options.Programs,
		Tenants:         r.options.Tenants,
		Scenario:        r.options.Scenario,
		Loss:            r.options.Loss,
		SimulatedSecond: r.options.Duration.Seconds(),
		ByKind:          r.kinds(r.daemons),
		LargestByKind:   r.kinds([]*daemon{r.largest()}),
		Readers:         r.readers(),
		ConfigInForce:   percentiles(o.inForceAll),
		Changes:         len(o.inForceAll) + len(o.changes),
		Unfinished:      len(o.changes),
		Suspicion:       percentiles(o.suspected),
		Detection:       percentiles(o.detected),
		Everywhere:      percentiles(o.removed),
		Undetected:      len(o.deaths),
		Join:            percentiles(o.joined),
		FalseRemovals:   len(o.falseRemovals),
		FalseSuspicions: o.falseSuspicions,
		Backwards:       o.backwards,
		Seed:            r.options.Seed,
	}
	if o.mergedAt > 0 {
		report.MergeMillis = float64((o.mergedAt - o.healedAt).Milliseconds())
	}
	report.Control = r.control()
	return report
}

func (r *run) control() Control {
	seconds := r.options.Duration.Seconds()
	over := func(value func(d *daemon) float64) Spread {
		values := make([]float64, len(r.daemons))
		for i, d := range r.daemons {
			values[i] = value(d) / seconds
		}
		return spread(values)
	}
	overBudget := 0
	for _, d := range r.daemons {
		if float64(d.measured.bytes()) > byteBudget*seconds {
			overBudget++
		}
	}
	return Control{
		OverByteBudget:      overBudget,
		CPUFraction:         over(func(d *daemon) float64 { return d.measured.processor().Seconds() }),
		DecisionCPUFraction: over(func(d *daemon) float64 { return d.measured.busy.Seconds() }),
		BytesPerSecond:      over(func(d *daemon) float64 { return float64(d.measured.bytes()) }),
		MessagesPerSecond:   over(func(d *daemon) float64 { return float64(d.measured.messages()) }),
		HeapBytes:           r.heap(),
	}
}

// largest returns the daemon with the most bytes.
func (r *run) largest() *daemon {
	return slices.MaxFunc(r.daemons, func(a, b *daemon) int { return cmp.Compare(a.measured.bytes(), b.measured.bytes()) })
}

// kinds returns the mean rates of the daemons.
func (r *run) kinds(daemons []*daemon) map[string]KindRate {
	rates := map[string]KindRate{}
	share := 1 / r.options.Duration.Seconds() / float64(len(daemons))
	for kind := range kindCount {
		var rate KindRate
		for _, d := range daemons {
			rate.MessagesPerSecond += float64(d.measured.sent[kind].messages+d.measured.received[kind].messages) * share
			rate.BytesPerSecond += float64(d.measured.sent[kind].bytes+d.measured.received[kind].bytes) * share
		}
		rates[kind.String()] = rate
	}
	return rates
}

// readers reports the cost of the daemons that read the platform.
func (r *run) readers() PlatformReaders {
	var values []float64
	for _, d := range r.daemons {
		if d.measured.platformBytes > 0 {
			values = append(values, float64(d.measured.platformBytes)/r.options.Duration.Seconds())
		}
	}
	rate := r.options.ChangesPerDay / day.Seconds()
	return PlatformReaders{
		Readers:        len(values),
		ObjectBytes:    r.latestSize,
		BytesPerSecond: spread(values),
		CPUFraction:    r.parseTime.Seconds() * rate,
	}
}

// heapSamples is the number of daemons whose heap is measured.
const heapSamples = 7

// heap measures what single daemons hold, by the fall of the live heap when
// each is dropped. The sampled ones share nothing with the others.
func (r *run) heap() Spread {
	r.queue.events = nil
	var values []float64
	for _, d := range r.daemons {
		if !d.sampled() {
			continue
		}
		before := liveHeap()
		d.state, d.store, d.document, d.view = nil, nil, nil, nil
		values = append(values, max(before-liveHeap(), 0))
	}
	return spread(values)
}

func liveHeap() float64 {
	// Two collections: the first may only finish one that was under way.
	runtime.GC()
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func spread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	return Spread{Median: values[len(values)/2], Max: values[len(values)-1]}
}

func percentiles(times []time.Duration) Percentiles {
	if len(times) == 0 {
		return Percentiles{}
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	at := func(share float64) float64 {
		index := int(math.Ceil(share*float64(len(sorted)))) - 1
		return float64(sorted[max(index, 0)].Microseconds()) / 1000
	}
	return Percentiles{P50: at(0.5), P99: at(0.99), Count: len(sorted)}
}
