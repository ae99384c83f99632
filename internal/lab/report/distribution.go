package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of recorded latencies.
const (
	lowestLatency     = time.Microsecond
	highestLatency    = 10 * time.Minute
	significantDigits = 3
)

// Distribution collects latencies. It is safe for concurrent use.
type Distribution struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewDistribution returns an empty distribution.
func NewDistribution() *Distribution {
	return &Distribution{histogram: hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), significantDigits)}
}

// Record adds a latency; those out of range count as the nearest in range.
func (d *Distribution) Record(latency time.Duration) {
	bounded := min(max(latency, lowestLatency), highestLatency)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	// The value is in range, so that RecordValue cannot fail.
	_ = d.histogram.RecordValue(bounded.Microseconds())
}

// Count returns the number of recorded latencies.
func (d *Distribution) Count() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.histogram.TotalCount()
}

// Percentiles returns the distribution's percentiles in milliseconds.
func (d *Distribution) Percentiles() Percentiles {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at := func(percentile float64) float64 {
		return float64(d.histogram.ValueAtQuantile(percentile)) / microsecondsPerMillisecond
	}
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Count: d.histogram.TotalCount()}
}

const microsecondsPerMillisecond = 1000

// Percentiles are latencies in milliseconds.
type Percentiles struct {
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Count int64   `json:"count"`
}
