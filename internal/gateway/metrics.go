package gateway

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/traffic"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// latencyBuckets are in seconds and range from a tool call to a long stream.
var latencyBuckets = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

var (
	metricResponseSeconds = telemetry.Define(telemetry.Definition{
		Name: "gateway_answer_seconds", Kind: telemetry.KindHistogram, Unit: "seconds", Labels: []string{"kind"},
		Help: "Time from a request's head to the end of a worker's answer.", Buckets: latencyBuckets,
	})
	metricFirstEvent = telemetry.Define(telemetry.Definition{
		Name: "gateway_first_event_seconds", Kind: telemetry.KindHistogram, Unit: "seconds",
		Help: "Time from a streaming request's head to its first event.", Buckets: latencyBuckets,
	})
	metricRefused = telemetry.Define(telemetry.Definition{
		Name: "gateway_refused_total", Kind: telemetry.KindCounter, Unit: "requests", Labels: []string{"type"},
		Help: "Requests that got an answer of the gateway's own.",
	})
	metricAborted = telemetry.Define(telemetry.Definition{
		Name: "gateway_broken_total", Kind: telemetry.KindCounter, Unit: "requests",
		Help: "Answers that were begun and broken off.",
	})
	metricPanics = telemetry.Define(telemetry.Definition{
		Name: "gateway_panics_total", Kind: telemetry.KindCounter, Unit: "requests",
		Help: "Requests that ended in a panic: their clients got no answer.",
	})
	metricLateRequests = telemetry.Define(telemetry.Definition{
		Name: "gateway_crossed_closes_total", Kind: telemetry.KindCounter, Unit: "requests",
		Help: "Requests that crossed the close of their connection and went no further.",
	})
	metricAttempts = telemetry.Define(telemetry.Definition{
		Name: "gateway_attempts_total", Kind: telemetry.KindCounter, Unit: "attempts", Labels: []string{"verdict"},
		Help: "Attempts at workers, by how they ended.",
	})
	metricInFlight = telemetry.Define(telemetry.Definition{
		Name: "gateway_requests_under_way", Kind: telemetry.KindGauge, Unit: "requests",
		Help: "Requests that this gateway works on.",
	})
	metricVersion = telemetry.Define(telemetry.Definition{
		Name: "gateway_configuration_version", Kind: telemetry.KindGauge, Unit: "version",
		Help: "Version of the configuration in force; 0 is none.",
	})
	metricReservations = telemetry.Define(telemetry.Definition{
		Name: "gateway_reservations", Kind: telemetry.KindGauge, Unit: "reservations",
		Help: "Budget reservations that were written since the start.",
	})
	metricReservationsReread = telemetry.Define(telemetry.Definition{
		Name: "gateway_reservations_read_again", Kind: telemetry.KindGauge, Unit: "reservations",
		Help: "Reservations since the start whose sum was read again, because the round was long or showed others under way.",
	})
	metricForwarded = telemetry.Define(telemetry.Definition{
		Name: "gateway_calls_forwarded", Kind: telemetry.KindGauge, Unit: "calls",
		Help: "Calls to replicas since the start that were answered through another gateway.",
	})
	metricUnreachableZones = telemetry.Define(telemetry.Definition{
		Name: "gateway_unreached_zones", Kind: telemetry.KindGauge, Unit: "zones",
		Help: "Zones from which nobody answers this gateway.",
	})
	metricAwaitingSlot = telemetry.Define(telemetry.Definition{
		Name: "gateway_requests_awaiting_room", Kind: telemetry.KindGauge, Unit: "requests",
		Help: "Requests that wait for full workers.",
	})
	metricWaitSeconds = telemetry.Define(telemetry.Definition{
		Name: "gateway_held_seconds", Kind: telemetry.KindHistogram, Unit: "seconds", Labels: []string{"reason", "outcome"},
		Help: "Time for which a request waited before it could be sent to a worker, by what for, and whether it was begun or refused.", Buckets: latencyBuckets,
	})
	metricTenants = telemetry.Define(telemetry.Definition{
		Name: "gateway_tenant_requests_total", Kind: telemetry.KindCounter, Unit: "requests", Labels: []string{"tenant", "outcome"},
		Help: "Requests of tenants that have a limit: let in, refused at the limit, or refused because it could not be told. Tenants beyond the first 100 count as one.",
	})
	metricDrainedZones = telemetry.Define(telemetry.Definition{
		Name: "gateway_drained_zones", Kind: telemetry.KindGauge, Unit: "zones",
		Help: "Zones whose workers get nothing because operators drain them.",
	})
	metricDrainsRevision = telemetry.Define(telemetry.Definition{
		Name: "gateway_zone_drains_revision", Kind: telemetry.KindGauge, Unit: "revision",
		Help: "Revision of the platform's store as of which the drained zones are known; 0 is not at all.",
	})
	metricIneligible = telemetry.Define(telemetry.Definition{
		Name: "gateway_turned_aside_total", Kind: telemetry.KindCounter, Unit: "requests", Labels: []string{"reason"},
		Help: "Requests that could not go to some workers of their service, by why.",
	})
	metricReplicaCalls = telemetry.Define(telemetry.Definition{
		Name: "gateway_replica_calls", Kind: telemetry.KindGauge, Unit: "calls",
		Help: "Calls to replicas that were begun since the start, without questions for news.",
	})
	metricLoans = telemetry.Define(telemetry.Definition{
		Name: "gateway_loans_total", Kind: telemetry.KindCounter, Unit: "events", Labels: []string{"outcome"},
		Help: "Loans of programs' budgets that were granted and taken back, turns that drew on one, and turns that were refused because a loan could not be taken back.",
	})
	metricColdWorkers = telemetry.Define(telemetry.Definition{
		Name: "gateway_cold_workers", Kind: telemetry.KindGauge, Unit: "workers",
		Help: "Workers that count as cold: they have just started and get few requests for a while.",
	})
	metricColdRequests = telemetry.Define(telemetry.Definition{
		Name: "gateway_cold_requests_total", Kind: telemetry.KindCounter, Unit: "requests", Labels: []string{"outcome"},
		Help: "Requests for which a cold worker was chosen: admitted there, refused there, or unknown because too few replicas answered.",
	})
	metricLostWorkers = telemetry.Define(telemetry.Definition{
		Name: "gateway_lost_workers_total", Kind: telemetry.KindCounter, Unit: "attempts", Labels: []string{"verdict"},
		Help: "Attempts whose connection was lost, by what a probe of the worker showed: its process has ended, is alive, or unknown.",
	})
	metricSpoiledResponses = telemetry.Define(telemetry.Definition{
		Name: "gateway_spoiled_answers_total", Kind: telemetry.KindCounter, Unit: "attempts", Labels: []string{"part"},
		Help: "Attempts that ended because the worker's bytes were no answer (malformed), its body may be incomplete (unconfirmed_end), a part exceeded its bound, or found no memory (no_memory).",
	})
	metricQuarantineRecords = telemetry.Define(telemetry.Definition{
		Name: "gateway_quarantine_records", Kind: telemetry.KindGauge, Unit: "requests",
		Help: "Requests under which workers have ended within the last minutes, at any gateway.",
	})
	metricStreamContinuations = telemetry.Define(telemetry.Definition{
		Name: "gateway_stream_continuations_total", Kind: telemetry.KindCounter, Unit: "streams", Labels: []string{"by", "outcome"},
		Help: "Streams that were to go on after an event, within their answer (gateway) or taken up by their client (client): a worker of their version was found, none is left, or the version is unknown.",
	})
	metricBufferedAnswerBytes = telemetry.Define(telemetry.Definition{
		Name: "gateway_held_answer_bytes", Kind: telemetry.KindGauge, Unit: "bytes",
		Help: "Bytes of answers that are held for clients that read slowly.",
	})
	metricReceiveBufferBytes = telemetry.Define(telemetry.Definition{
		Name: "gateway_receive_buffer_bytes", Kind: telemetry.KindGauge, Unit: "bytes",
		Help: "Memory that the operating system may use for answers that are longer than an ordinary receive buffer, while they are not read.",
	})
	metricReceiveBufferGranted = telemetry.Define(telemetry.Definition{
		Name: "gateway_receive_buffer_granted_bytes", Kind: telemetry.KindGauge, Unit: "bytes",
		Help: "Receive buffer of one answer that the operating system grants at most.",
	})
	metricReceiveBuffersRefused = telemetry.Define(telemetry.Definition{
		Name: "gateway_receive_buffers_refused", Kind: telemetry.KindGauge, Unit: "answers",
		Help: "Answers since the start that got no larger receive buffer because the memory for all of them was taken.",
	})
	metricBufferedBodyBytes = telemetry.Define(telemetry.Definition{
		Name: "gateway_held_body_bytes", Kind: telemetry.KindGauge, Unit: "bytes",
		Help: "Bytes of requests that are held until the requests end, with the turns before them and what turns have said.",
	})
	metricSlowPeers = telemetry.Define(telemetry.Definition{
		Name: "gateway_slow_peers_total", Kind: telemetry.KindCounter, Unit: "requests", Labels: []string{"side", "cause"},
		Help: "Requests that ended because of a slow reader: a client that took nothing or was given up for others, a body without room, a worker that did not read one.",
	})
	metricDropped = telemetry.Define(telemetry.Definition{
		Name: "gateway_log_lines_dropped", Kind: telemetry.KindGauge, Unit: "lines",
		Help: "Log lines that were dropped since the start.",
	})
)

type metrics struct {
	responseSeconds   *prometheus.HistogramVec
	firstEventSeconds *prometheus.HistogramVec
	refusals          *prometheus.CounterVec
	aborted           *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	waitSeconds       *prometheus.HistogramVec
	tenantRequests    *prometheus.CounterVec
	ineligible        *prometheus.CounterVec
	traffic           *traffic.Counters
	loans             *prometheus.CounterVec
	coldRequests      *prometheus.CounterVec
	slowPeers         *prometheus.CounterVec
	panics            *prometheus.CounterVec
	lateRequests      *prometheus.CounterVec
	lostWorkers       *prometheus.CounterVec
	continuations     *prometheus.CounterVec
	spoiledResponses  *prometheus.CounterVec

	// labelledTenants holds the tenants with their own label, and labelCount their number.
	labelledTenants sync.Map
	labelCount      atomic.Int64
}

const (
	// maxLabelledTenants bounds the number of tenant labels; all other tenants share
	// otherTenants.
	maxLabelledTenants = 100
	otherTenants       = "(others)"
)

func newMetrics(registry *telemetry.Registry) *metrics {
	return &metrics{
		responseSeconds: registry.Histogram(metricResponseSeconds), firstEventSeconds: registry.Histogram(metricFirstEvent),
		refusals: registry.Counter(metricRefused), aborted: registry.Counter(metricAborted),
		attempts: registry.Counter(metricAttempts), waitSeconds: registry.Histogram(metricWaitSeconds),
		tenantRequests: registry.Counter(metricTenants), ineligible: registry.Counter(metricIneligible), traffic: traffic.New(registry),
		loans: registry.Counter(metricLoans), coldRequests: registry.Counter(metricColdRequests), slowPeers: registry.Counter(metricSlowPeers),
		panics: registry.Counter(metricPanics), lateRequests: registry.Counter(metricLateRequests),
		lostWorkers: registry.Counter(metricLostWorkers), continuations: registry.Counter(metricStreamContinuations),
		spoiledResponses: registry.Counter(metricSpoiledResponses),
	}
}

// defineGauges registers the gauges that are computed at each scrape.
func (g *Gateway) defineGauges(registry *telemetry.Registry) {
	registry.GaugeFunc(metricBufferedAnswerBytes, func() float64 { return float64(g.responseBudget.Used()) })
	registry.GaugeFunc(metricBufferedBodyBytes, func() float64 { return float64(g.bodyBudget.Used()) })
	registry.GaugeFunc(metricReceiveBufferBytes, func() float64 { return float64(g.receiveBuffers.budget.Used()) })
	registry.GaugeFunc(metricReceiveBuffersRefused, func() float64 { return float64(g.receiveBuffers.refused.Load()) })
	registry.GaugeFunc(metricReceiveBufferGranted, func() float64 { return float64(g.receiveBuffers.granted) })
	registry.GaugeFunc(metricQuarantineRecords, func() float64 { return float64(g.quarantine.Len()) })
	registry.GaugeFunc(metricInFlight, func() float64 { return float64(g.inFlight.Load()) })
	registry.GaugeFunc(metricVersion, func() float64 {
		if table := g.directory.View().Table; table != nil {
			return float64(table.Version())
		}
		return 0
	})
	registry.GaugeFunc(metricReservations, func() float64 {
		written, _ := g.quorum.Reservations()
		return float64(written)
	})
	registry.GaugeFunc(metricReservationsReread, func() float64 {
		_, readAgain := g.quorum.Reservations()
		return float64(readAgain)
	})
	registry.GaugeFunc(metricReplicaCalls, func() float64 { return float64(g.quorum.ReplicaCalls()) })
	registry.GaugeFunc(metricForwarded, func() float64 { return float64(g.quorum.ForwardedCalls()) })
	registry.GaugeFunc(metricUnreachableZones, func() float64 { return float64(g.zoneMonitor.detector.UnreachableCount()) })
	registry.GaugeFunc(metricColdWorkers, func() float64 { return float64(g.coldWorkers.tracker.ColdCount()) })
	registry.GaugeFunc(metricAwaitingSlot, func() float64 { return float64(g.slotQueues.waitingCount()) })
	registry.GaugeFunc(metricDrainedZones, func() float64 { return float64(g.directory.View().Drains.Count()) })
	registry.GaugeFunc(metricDrainsRevision, func() float64 { return float64(g.directory.View().Drains.Revision) })
	registry.GaugeFunc(metricDropped, func() float64 {
		if g.options.LogSink == nil {
			return 0
		}
		return float64(g.options.LogSink.Dropped())
	})
}

func (m *metrics) recordRefused(kind failure.Type) { m.refusals.WithLabelValues(string(kind)).Inc() }

// The outcome labels of metricLoans.
const (
	loanGranted     = "granted"
	loanDrawn       = "drawn"
	loanRecalled    = "taken_back"
	loanNotRecalled = "kept"
)

func (m *metrics) recordLoan(outcome string) { m.loans.WithLabelValues(outcome).Inc() }

// The side labels of metricSlowPeers, and its cause labels other than those of package
// flowcontrol.
const (
	slowPeerClient     = "client"
	slowPeerBody       = "body"
	slowPeerWorker     = "worker"
	noBufferSpaceCause = "no_room"
	unreadCause        = "unread"
)

// recordSlowPeer counts a request that ended because of a slow reader.
func (m *metrics) recordSlowPeer(side, cause string) { m.slowPeers.WithLabelValues(side, cause).Inc() }

// recordLostWorker counts a worker whose connection was lost.
func (m *metrics) recordLostWorker(verdict quarantine.Verdict) {
	m.lostWorkers.WithLabelValues(string(verdict)).Inc()
}

// The parts of spoiled responses beside those that have a bound.
const (
	spoiledMalformed   = "malformed"
	spoiledUnconfirmed = "unconfirmed_end"
	spoiledNoMemory    = "no_memory"
)

// recordSpoiledResponse counts an attempt that ended because of what its worker sent.
func (m *metrics) recordSpoiledResponse(err error) {
	var tooLarge *worker.ResponseTooLarge
	var malformed *worker.MalformedResponse
	var unconfirmed *transport.UnconfirmedEnd
	var exhausted *flowcontrol.BudgetExhausted
	switch {
	case errors.As(err, &tooLarge):
		m.spoiledResponses.WithLabelValues(string(tooLarge.Part)).Inc()
	case errors.As(err, &malformed):
		m.spoiledResponses.WithLabelValues(spoiledMalformed).Inc()
	case errors.As(err, &unconfirmed):
		m.spoiledResponses.WithLabelValues(spoiledUnconfirmed).Inc()
	case errors.As(err, &exhausted):
		m.spoiledResponses.WithLabelValues(spoiledNoMemory).Inc()
	}
}

func (m *metrics) recordAborted() { m.aborted.WithLabelValues().Inc() }

func (m *metrics) recordAnswered(kind string, total, firstEvent time.Duration) {
	m.responseSeconds.WithLabelValues(kind).Observe(total.Seconds())
	if firstEvent > 0 {
		m.firstEventSeconds.WithLabelValues().Observe(firstEvent.Seconds())
	}
}

// recordTenantRequest counts a request of a tenant with a quota, by outcome.
func (m *metrics) recordTenantRequest(tenant, outcome string) {
	m.tenantRequests.WithLabelValues(m.tenantLabel(tenant), outcome).Inc()
}

// recordColdRequest counts a request for which a cold worker was chosen, by outcome.
func (m *metrics) recordColdRequest(err error) {
	outcome := "admitted"
	var cold *WorkerCold
	if errors.As(err, &cold) {
		outcome = "refused"
		if cold.Replicas == 0 {
			outcome = "unknown"
		}
	}
	m.coldRequests.WithLabelValues(outcome).Inc()
}

// tenantLabel returns the tenant's own label, or the shared label once the limit is reached.
func (m *metrics) tenantLabel(tenant string) string {
	if _, found := m.labelledTenants.Load(tenant); found {
		return tenant
	}
	if m.labelCount.Load() >= maxLabelledTenants {
		return otherTenants
	}
	if _, found := m.labelledTenants.LoadOrStore(tenant, true); !found {
		m.labelCount.Add(1)
	}
	return tenant
}

// recordWaits observes how long a request waited, by reason and by whether a worker began to
// respond.
func (m *metrics) recordWaits(reasons map[waitReason]time.Duration, started bool) {
	outcome := "refused"
	if started {
		outcome = "begun"
	}
	for reason, waited := range reasons {
		m.waitSeconds.WithLabelValues(string(reason), outcome).Observe(waited.Seconds())
	}
}
