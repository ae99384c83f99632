package caller

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

var (
	metricRequests = telemetry.Define(telemetry.Definition{
		Name: "caller_requests_total", Kind: telemetry.KindCounter, Unit: "requests",
		Help:   "Requests of callers by method and HTTP status code.",
		Labels: []string{"method", "code"},
	})
	metricFailures = telemetry.Define(telemetry.Definition{
		Name: "caller_failures_total", Kind: telemetry.KindCounter, Unit: "failures",
		Help:   "Failures told to callers by type and outcome.",
		Labels: []string{"type", "outcome"},
	})
	metricSeconds = telemetry.Define(telemetry.Definition{
		Name: "caller_request_seconds", Kind: telemetry.KindHistogram, Unit: "seconds",
		Help:    "Time from a request's arrival to the end of its response.",
		Labels:  []string{"method"},
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
	})
	metricInFlight = telemetry.Define(telemetry.Definition{
		Name: "caller_requests_under_way", Kind: telemetry.KindGauge, Unit: "requests",
		Help: "Requests of callers whose response has not ended.",
	})
)

// Metrics counts what callers ask and what they are told. A nil *Metrics
// counts nothing.
type Metrics struct {
	requests *prometheus.CounterVec
	failures *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	inFlight prometheus.Gauge
}

// NewMetrics makes the metrics in the registry, once.
func NewMetrics(registry *telemetry.Registry) *Metrics {
	return &Metrics{
		requests: registry.Counter(metricRequests),
		failures: registry.Counter(metricFailures),
		seconds:  registry.Histogram(metricSeconds),
		inFlight: registry.Gauge(metricInFlight).WithLabelValues(),
	}
}

// begin counts a request and returns what to call at its end.
func (m *Metrics) begin(method string) func(status int) {
	if m == nil {
		return func(int) {}
	}
	began := time.Now()
	method = knownMethod(method)
	m.inFlight.Inc()
	return func(status int) {
		m.inFlight.Dec()
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
