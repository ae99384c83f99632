package hollow

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/membership"
)

// The setting of the comparison: sites that all watch each other, as in the
// paper, over links between regions.
const (
	siteCount = 10
	// comparedSeeds is the number of runs that a result sums up.
	comparedSeeds = 3
	// failureEvery and failureLength give the sites' failures.
	failureEvery  = 2 * time.Minute
	failureLength = 20 * time.Second
	// heartbeatBytes is a heartbeat without anything but itself.
	heartbeatBytes = 45
	probeBytes     = 30
)

// Cooperation says what sites tell each other of their suspicions.
type Cooperation string

// The forms of cooperation.
const (
	// CooperationNone: each site suspects alone.
	CooperationNone Cooperation = "none"
	// CooperationProbe: before suspecting, the peer is pinged directly and by
	// two others.
	CooperationProbe Cooperation = "indirect probe"
	// CooperationAdopt: sites take over suspicions of sites with a more stable
	// link, as the paper's cooperative algorithm does.
	CooperationAdopt Cooperation = "adopt (paper)"
)

// DetectorResult is what one detector did, summed over the seeds.
type DetectorResult struct {
	Detector    string        `json:"detector"`
	Cooperation Cooperation   `json:"cooperation"`
	Period      time.Duration `json:"period_ns"`
	// MistakesPerHour is over all watched links together.
	MistakesPerHour float64     `json:"mistakes_per_hour"`
	Detection       Percentiles `json:"detection_ms"`
	// Missed are failures that a watcher did not suspect before their end.
	Missed         int     `json:"missed"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	// NanosecondsPerHeartbeat is processor time, with the simulated network's.
	NanosecondsPerHeartbeat float64 `json:"cpu_ns_per_heartbeat"`
}

// detector is a way to time out the links into one site.
type detector struct {
	name        string
	cooperation Cooperation
	// links returns a maker of the estimators of one site's links.
	links func(period, margin time.Duration) func() membership.Estimator
}

func fixedLinks(period, margin time.Duration) func() membership.Estimator {
	return func() membership.Estimator { return membership.NewFixed(period + margin) }
}

func chenLinks(period, margin time.Duration) func() membership.Estimator {
	return func() membership.Estimator { return membership.NewChen(period, margin) }
}

func stabilityLinks(period, margin time.Duration) func() membership.Estimator {
	group := membership.NewStabilityGroup(period, margin)
	return func() membership.Estimator { return group.New() }
}

func detectors() []detector {
	return []detector{
		{"fixed", CooperationNone, fixedLinks},
		{"fixed", CooperationProbe, fixedLinks},
		{"chen", CooperationNone, chenLinks},
		{"chen", CooperationProbe, chenLinks},
		{"stability", CooperationNone, stabilityLinks},
		{"stability", CooperationProbe, stabilityLinks},
		{"stability", CooperationAdopt, stabilityLinks},
	}
}

// settings are the period and margin pairs that are compared: the paper's, and
// the project's own.
var settings = []struct{ period, margin time.Duration }{
	{100 * time.Millisecond, 150 * time.Millisecond},
	{time.Second, 500 * time.Millisecond},
}

// CompareDetectors runs all detectors over the same simulated links.
func CompareDetectors(seed uint64, duration time.Duration) []DetectorResult {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var results []DetectorResult
	for _, setting := range settings {
		for _, d := range detectors() {
			results = append(results, compareOne(d, seed, duration, setting.period, setting.margin))
		}
	}
	return results
}

func compareOne(d detector, seed uint64, duration, period, margin time.Duration) DetectorResult {
	result := DetectorResult{Detector: d.name, Cooperation: d.cooperation, Period: period}
	var detections []time.Duration
	var mistakes, heartbeats int
	var bytes int64
	begin := threadTime()
	for i := range uint64(comparedSeeds) {
		c := newComparison(d, seed+i, period, margin)
		c.run(duration)
		detections = append(detections, c.detections...)
		mistakes += c.mistakes
		heartbeats += c.heartbeats
		bytes += c.bytes
		result.Missed += c.missed
	}
	total := duration * comparedSeeds
	result.MistakesPerHour = float64(mistakes) / total.Hours()
	result.Detection = percentiles(detections)
	result.BytesPerSecond = float64(bytes) / total.Seconds() / siteCount
	result.NanosecondsPerHeartbeat = float64(threadTime()-begin) / float64(max(heartbeats, 1))
	return result
}

// DetectorTable is the comparison for reading.
func DetectorTable(results []DetectorResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %-10s %-15s %15s %10s %10s %7s %9s %8s\n",
		"period", "detector", "cooperation", "mistakes/hour", "p50 ms", "p99 ms", "missed", "bytes/s", "cpu ns")
	for _, r := range slices.Clone(results) {
		fmt.Fprintf(&b, "%-8s %-10s %-15s %15.1f %10.0f %10.0f %7d %9.0f %8.0f\n", r.Period, r.Detector, r.Cooperation,
			r.MistakesPerHour, r.Detection.P50, r.Detection.P99, r.Missed, r.BytesPerSecond, r.NanosecondsPerHeartbeat)
	}
	return b.String()
}
