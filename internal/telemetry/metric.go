// Package telemetry gives the daemon's metrics, liveness and readiness over
// HTTP. Packages define their metrics as package variables, as they do events;
// docs/operations/metrics.md lists every metric, and a test keeps the two equal.
package telemetry

import (
	"fmt"
	"sort"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Namespace begins the name of every metric.
const Namespace = "barleyshelf_"

// Kind is how a metric's value behaves.
type Kind string

// The kinds of metric.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Definition is one metric.
type Definition struct {
	// Name is the full name; a unit ends it, before "_total" for counters.
	Name string
	Kind Kind
	// Unit is what the value counts.
	Unit   string
	Help   string
	Labels []string
	// Buckets are a histogram's upper bounds, in Unit.
	Buckets []float64
}

var (
	catalogueMutex sync.Mutex
	catalogue      = map[string]Definition{}
)

// Define records a metric; its name goes without Namespace. It is called from
// package variables; a name used twice is a programming error and stops the
// program at start.
func Define(definition Definition) Definition {
	catalogueMutex.Lock()
	defer catalogueMutex.Unlock()
	definition.Name = Namespace + definition.Name
	if _, taken := catalogue[definition.Name]; taken {
		panic(fmt.Sprintf("metric %s defined twice", definition.Name))
	}
	catalogue[definition.Name] = definition
	return definition
}

// All returns every defined metric, by name.
func All() []Definition {
	catalogueMutex.Lock()
	defer catalogueMutex.Unlock()
	all := make([]Definition, 0, len(catalogue))
	for _, definition := range catalogue {
		all = append(all, definition)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Registry holds the metrics of one daemon. A process may run several.
type Registry struct {
	inner *prometheus.Registry
}

// NewRegistry returns a registry with the metrics of the Go runtime and of the
// process.
func NewRegistry() *Registry {
	inner := prometheus.NewRegistry()
	inner.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return &Registry{inner: inner}
}

// Counter makes a defined counter. Making it twice in one registry panics.
func (r *Registry) Counter(d Definition) *prometheus.CounterVec {
	d.mustBe(KindCounter)
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{Name: d.Name, Help: d.Help}, d.Labels)
	r.inner.MustRegister(counter)
	return counter
}

// Gauge makes a defined gauge. Making it twice in one registry panics.
func (r *Registry) Gauge(d Definition) *prometheus.GaugeVec {
	d.mustBe(KindGauge)
	gauge := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: d.Name, Help: d.Help}, d.Labels)
	r.inner.MustRegister(gauge)
	return gauge
}

// GaugeFunc makes a defined gauge without labels, whose value is read from the
// function at each scrape.
func (r *Registry) GaugeFunc(d Definition, value func() float64) {
	d.mustBe(KindGauge)
	r.inner.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: d.Name, Help: d.Help}, value))
}

// CounterFunc makes one series of a defined counter, whose value is read from the function at each scrape. labels
// holds a value for each of the definition's labels. The function must never return less than before.
func (r *Registry) CounterFunc(d Definition, labels prometheus.Labels, value func() float64) {
	d.mustBe(KindCounter)
	r.inner.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: d.Name, Help: d.Help, ConstLabels: labels}, value))
}

// Histogram makes a defined histogram. Making it twice in one registry panics.
func (r *Registry) Histogram(d Definition) *prometheus.HistogramVec {
	d.mustBe(KindHistogram)
	histogram := prometheus.NewHistogramVec(
		prometheus.HistogramOpts{Name: d.Name, Help: d.Help, Buckets: d.Buckets}, d.Labels)
	r.inner.MustRegister(histogram)
	return histogram
}

func (d Definition) mustBe(kind Kind) {
	if d.Kind != kind {
		panic(fmt.Sprintf("metric %s is a %s, not a %s", d.Name, d.Kind, kind))
	}
}
