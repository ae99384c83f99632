package caller

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// Metrics counts what callers ask and what they are told. A nil *Metrics
// counts nothing.
type Metrics struct {
	requests *prometheus.CounterVec
	failures *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	underWay prometheus.Gauge
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "barleyshelf_caller_requests_total",
			Help: "Requests of callers by method and HTTP status code.",
		}, []string{"method", "code"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "barleyshelf_caller_failures_total",
			Help: "Failures told to callers by type and outcome.",
		}, []string{"type", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "barleyshelf_caller_request_seconds",
			Help:    "Time from a request's arrival to the end of its response, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"method"}),
		underWay: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "barleyshelf_caller_requests_under_way",
			Help: "Requests of callers whose response has not ended.",
		}),
	}
	registry.MustRegister(m.requests, m.failures, m.seconds, m.underWay)
	return m
}

// begin counts a request and returns what to call at its end.
func (m *Metrics) begin(method string) func(status int) {
	if m == nil {
		return func(int) {}
	}
	began := time.Now()
	method = knownMethod(method)
	m.underWay.Inc()
	return func(status int) {
		m.underWay.Dec()
		m.requests.WithLabelValues(method, strconv.Itoa(status)).Inc()
		m.seconds.WithLabelValues(method).Observe(time.Since(began).Seconds())
	}
}

// failed counts a failure told.
func (m *Metrics) failed(f failure.Failure) {
	if m == nil {
		return
	}
	m.failures.WithLabelValues(string(f.Type()), string(f.Outcome())).Inc()
}

// knownMethod keeps callers from making label values of their own.
func knownMethod(method string) string {
	switch method {
	case "GET", "PUT", "POST", "DELETE":
		return method
	}
	return "other"
}
