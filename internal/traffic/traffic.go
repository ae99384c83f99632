// Package traffic counts the bytes that a process exchanges with other processes, by distance
// and cause, because links between regions are slow and billed. It counts message bodies, not
// headers.
package traffic

import (
	"io"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// Cause is the purpose of a transfer.
type Cause uint8

// The causes.
const (
	// Prompts are the bodies of requests to workers.
	Prompts Cause = iota
	// Answers are the response bodies of workers.
	Answers
	// Records are calls about stored turns, budgets and limits, and their responses.
	Records
	// Directory are queries for workers, groups and configurations, and their responses.
	Directory

	causeCount
)

var causeNames = [causeCount]string{"prompts", "answers", "records", "news"}

// String returns the name of the cause in metrics.
func (c Cause) String() string { return causeNames[c] }

var metricBytes = telemetry.Define(telemetry.Definition{
	Name: "link_bytes_total", Kind: telemetry.KindCounter, Unit: "bytes", Labels: []string{"distance", "cause"},
	Help: "Bytes of bodies exchanged with workers and replicas, both ways, by how far they are and what for.",
})

// Counters counts the bytes that a process exchanges. A nil *Counters counts nothing.
type Counters struct {
	byClassAndCause [][causeCount]prometheus.Counter
}

// New returns counters that are registered with registry.
func New(registry *telemetry.Registry) *Counters {
	counterVector := registry.Counter(metricBytes)
	counters := &Counters{byClassAndCause: make([][causeCount]prometheus.Counter, len(distance.Classes))}
	for _, class := range distance.Classes {
		for cause := range causeCount {
			counters.byClassAndCause[class][cause] = counterVector.WithLabelValues(class.String(), cause.String())
		}
	}
	return counters
}

// Add adds bytes to the counter of a class and a cause.
func (c *Counters) Add(class distance.Class, cause Cause, bytes int) {
	if c != nil && bytes > 0 {
		c.byClassAndCause[class][cause].Add(float64(bytes))
	}
}

// Adder counts bytes. *Counters implements it.
type Adder interface {
	Add(class distance.Class, cause Cause, bytes int)
}

// NewCountingReader returns a reader that reads from source and counts the bytes with adder.
func NewCountingReader(adder Adder, source io.Reader, class distance.Class, cause Cause) io.Reader {
	return &countingReader{adder: adder, source: source, class: class, cause: cause}
}

type countingReader struct {
	adder  Adder
	source io.Reader
	class  distance.Class
	cause  Cause
}

func (r *countingReader) Read(data []byte) (int, error) {
	n, err := r.source.Read(data)
	r.adder.Add(r.class, r.cause, n)
	return n, err
}
