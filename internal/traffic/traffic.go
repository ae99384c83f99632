// Package traffic counts the bytes that a process exchanges with others, by how far those
// are and what for: ways between regions are slow and paid for. Bodies are counted, not
// heads.
package traffic

import (
	"io"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// Cause is what bytes are exchanged for.
type Cause uint8

// The causes.
const (
	// Prompts are the bodies of requests to workers.
	Prompts Cause = iota
	// Answers are the bodies of workers' answers.
	Answers
	// Records are calls about kept turns, budgets and limits, and their answers.
	Records
	// Directory are questions for workers, groups and configurations, and their answers.
	Directory

	causes
)

var causeNames = [causes]string{"prompts", "answers", "records", "news"}

// String returns the cause's name in metrics.
func (c Cause) String() string { return causeNames[c] }

var metricBytes = telemetry.Define(telemetry.Definition{
	Name: "link_bytes_total", Kind: telemetry.KindCounter, Unit: "bytes", Labels: []string{"distance", "cause"},
	Help: "Bytes of bodies exchanged with workers and replicas, both ways, by how far they are and what for.",
})

// Counters are the bytes of a process. Its nil value counts nothing.
type Counters struct{ byCause [][causes]prometheus.Counter }

// New returns counters in a registry.
func New(registry *telemetry.Registry) *Counters {
	vector := registry.Counter(metricBytes)
	counted := &Counters{byCause: make([][causes]prometheus.Counter, len(distance.Classes))}
	for _, class := range distance.Classes {
		for cause := range causes {
			counted.byCause[class][cause] = vector.WithLabelValues(class.String(), cause.String())
		}
	}
	return counted
}

// Add counts bytes.
func (c *Counters) Add(class distance.Class, cause Cause, bytes int) {
	if c != nil && bytes > 0 {
		c.byCause[class][cause].Add(float64(bytes))
	}
}

// Adder counts bytes; *Counted is one.
type Adder interface {
	Add(class distance.Class, cause Cause, bytes int)
}

// NewCountingReader returns a reader that counts what is read of another.
func NewCountingReader(counted Adder, from io.Reader, class distance.Class, cause Cause) io.Reader {
	return &reader{counted: counted, from: from, class: class, cause: cause}
}

type reader struct {
	counted Adder
	from    io.Reader
	class   distance.Class
	cause   Cause
}

func (r *reader) Read(data []byte) (int, error) {
	n, err := r.from.Read(data)
	r.counted.Add(r.class, r.cause, n)
	return n, err
}
