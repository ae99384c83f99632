package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/limit"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

var (
	metricLimit = telemetry.Define(telemetry.Definition{
		Name: "admission_limit", Kind: telemetry.KindGauge, Unit: "requests",
		Help: "Requests that may be under way at once, by the delay that calls meet.",
	})
	metricAdmitted = telemetry.Define(telemetry.Definition{
		Name: "admission_under_way", Kind: telemetry.KindGauge, Unit: "requests",
		Help: "Admitted requests that have not ended.",
	})
)

// Limits is an Admission that keeps tenants' declared rates and bounds the calls
// under way. It is safe for concurrent use.
type Limits struct {
	shares   *limit.RateLimiter
	admitter *limit.Admitter
	now      func() time.Time
	terms    atomic.Pointer[limitTerms]
}

// limitTerms is what the configuration in force says of admission.
type limitTerms struct {
	weights    map[structs.TenantID]float64
	priorities map[structs.ProgramName]int
}

// NewLimits returns an Admission over both limits.
func NewLimits(shares *limit.RateLimiter, admitter *limit.Admitter, now func() time.Time) *Limits {
	limits := &Limits{shares: shares, admitter: admitter, now: now}
	limits.terms.Store(&limitTerms{})
	return limits
}

// Update takes the configuration in force into use.
func (l *Limits) Update(configuration *structs.Configuration) {
	terms := &limitTerms{
		weights:    map[structs.TenantID]float64{},
		priorities: map[structs.ProgramName]int{},
	}
	for _, tenant := range configuration.Declarations.Tenants {
		terms.weights[tenant.Name] = tenant.Weight
	}
	for _, program := range configuration.Declarations.Programs {
		terms.priorities[program.Name] = program.Priority
	}
	l.terms.Store(terms)
	l.shares.SetRates(l.now(), limit.DeclaredRates(configuration.Declarations.Tenants))
}

// AdmitOpen admits the opening of a program.
func (l *Limits) AdmitOpen(_ context.Context, tenant structs.TenantID, program structs.ProgramName) (AdmissionTicket, error) {
	return l.admit(limit.Request{
		Tenant:   tenant,
		Class:    limit.ClassProgramStart,
		Priority: l.terms.Load().priorities[program],
	})
}

// AdmitCall admits a call of a program under way.
func (l *Limits) AdmitCall(_ context.Context, tenant structs.TenantID, _ structs.ProgramID) (AdmissionTicket, error) {
	return l.admit(limit.Request{Tenant: tenant, Class: limit.ClassCall})
}

func (l *Limits) admit(request limit.Request) (AdmissionTicket, error) {
	now := l.now()
	request.Weight = l.terms.Load().weights[request.Tenant]
	if err := l.shares.Admit(now, request.Tenant); err != nil {
		return nil, err
	}
	held, err := l.admitter.Admit(now, request)
	if err != nil {
		return nil, err
	}
	return &limitTicket{held: held, now: l.now}, nil
}

// limitTicket is a place under both limits.
type limitTicket struct {
	held *limit.Ticket
	now  func() time.Time
}

// FirstPart tells that the first part of a model's answer came.
func (t *limitTicket) FirstPart() { t.held.FirstToken(t.now()) }

// Done gives the place back.
func (t *limitTicket) Done(err error) { t.held.Done(t.now(), outcomeOf(err)) }

// noRoom lists the failures that tell of a back end without room.
var noRoom = map[failure.Type]bool{
	"overloaded":         true,
	"engine_unavailable": true,
}

func outcomeOf(err error) limit.Outcome {
	if err == nil {
		return limit.OutcomeCompleted
	}
	if noRoom[failure.Classify(err).Type()] {
		return limit.OutcomeOverloaded
	}
	return limit.OutcomeIgnored
}

// firstPartObserver is a ticket that wants to know when an answer begins.
type firstPartObserver interface {
	FirstPart()
}

// observed passes parts on and tells the ticket of a model's first one.
func observed(ticket AdmissionTicket, kind CallKind, sink AnswerSink) AnswerSink {
	observer, wants := ticket.(firstPartObserver)
	if !wants || kind != CallModel {
		return sink
	}
	return AnswerSinkFunc(func(part AnswerPart) error {
		observer.FirstPart()
		return sink.Part(part)
	})
}

// Observe makes the metrics of the admission in the registry, once.
func (l *Limits) Observe(registry *telemetry.Registry) {
	registry.GaugeFunc(metricLimit, func() float64 { return float64(l.admitter.Limit()) })
	registry.GaugeFunc(metricAdmitted, func() float64 { return float64(l.admitter.InFlight()) })
}
