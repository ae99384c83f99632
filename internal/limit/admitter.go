package limit

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Config configures an Admitter.
type Config struct {
	// TargetFirstTokenLatency is the time to the first token of an answer that admitted
	// calls should meet.
	TargetFirstTokenLatency time.Duration
	// InitialLimit, MinLimit and MaxLimit bound the number of calls in flight; 0
	// selects the default.
	InitialLimit int
	MinLimit     int
	MaxLimit     int
	// Seed makes the jitter of retry delays reproducible.
	Seed uint64
}

// Defaults of Config.
const (
	DefaultTargetFirstTokenLatency = 800 * time.Millisecond
	DefaultInitialLimit            = 32
	DefaultMinLimit                = 2
	DefaultMaxLimit                = 4096
)

// Class is the kind of request that asks for admission.
type Class int

const (
	// ClassProgramStart starts a new program, which will make many calls.
	ClassProgramStart Class = iota
	// ClassCall is a call of a running program. Rejecting it would waste the program's
	// earlier calls.
	ClassCall
	classCount
)

// Request is a request to be admitted.
type Request struct {
	Tenant structs.TenantID
	// Weight is the tenant's relative share under overload; 0 means 1.
	Weight float64
	Class  Class
	// Priority is the program's declared priority; higher values are admitted first.
	Priority int
	// Deadline is the time after which the answer is useless; zero means no deadline.
	Deadline time.Time
}

// Outcome is the result of an admitted request, as the limit needs it.
type Outcome int

// Results of an admitted request.
const (
	OutcomeCompleted Outcome = iota
	// OutcomeOverloaded means that the backend rejected the request because it had no
	// capacity.
	OutcomeOverloaded
	// OutcomeIgnored means that the caller canceled the request, or that it failed for
	// a reason unrelated to load.
	OutcomeIgnored
)

// Admitter limits the calls in flight by the latency that they observe. It has no
// queue: a request is admitted or rejected immediately, and a rejection carries a retry
// delay. It is safe for concurrent use; the request path takes a lock only when a
// request is rejected or a window ends.
type Admitter struct {
	config   Config
	limit    atomic.Int64
	inFlight atomic.Int64
	// retainedStarts counts the program starts that ended in this window and still
	// count as in flight.
	retainedStarts atomic.Int64
	// lastCallRetry is the latest time at which a rejected call was told to retry, in
	// nanoseconds of the Unix epoch.
	lastCallRetry atomic.Int64
	tenants       sync.Map // structs.TenantID to *tenantLoad
	totalWeight   atomic.Uint64
	// Counters of the current window.
	samples, overTarget, overloads, peakInFlight, completions atomic.Int64

	mutex             sync.Mutex
	windowEnd         time.Time
	adaptive          adaptiveLimit
	pending           window // windows that the limit does not account for yet
	completionRate    Rate
	firstTokenLatency time.Duration
	retryPacers       [classCount]retryPacer
	random            *rand.Rand
	windowEndNanos    atomic.Int64 // windowEnd in Unix nanoseconds, read without the lock
}

// tenantLoad holds one tenant's requests in flight and its weight.
type tenantLoad struct {
	inFlight atomic.Int64
	// requests counts the requests since the end of the last window, rejected ones
	// included.
	requests atomic.Int64
	weight   atomic.Uint64 // thousandths
}

// NewAdmitter returns an admitter without calls in flight.
func NewAdmitter(now time.Time, config Config) *Admitter {
	config.TargetFirstTokenLatency = cmp.Or(config.TargetFirstTokenLatency, DefaultTargetFirstTokenLatency)
	config.InitialLimit = cmp.Or(config.InitialLimit, DefaultInitialLimit)
	config.MinLimit = cmp.Or(config.MinLimit, DefaultMinLimit)
	config.MaxLimit = cmp.Or(config.MaxLimit, DefaultMaxLimit)
	a := &Admitter{
		config:    config,
		windowEnd: now.Add(windowLength),
		adaptive:  adaptiveLimit{limit: float64(config.InitialLimit), threshold: float64(config.MaxLimit)},
		random:    rand.New(rand.NewPCG(config.Seed, 1)),
	}
	a.limit.Store(int64(config.InitialLimit))
	a.windowEndNanos.Store(a.windowEnd.UnixNano())
	return a
}

// Limit returns the current limit of calls in flight.
func (a *Admitter) Limit() int { return int(a.limit.Load()) }

// InFlight returns the number of admitted requests that have not ended.
func (a *Admitter) InFlight() int { return int(a.inFlight.Load()) }

// Admit admits a request or rejects it with a *failure.Overloaded. The caller must call
// Done on the ticket.
func (a *Admitter) Admit(now time.Time, request Request) (*Ticket, error) {
	a.rollWindow(now)
	tenant := a.loadOf(request)
	tenant.requests.Add(1)
	inFlight := a.inFlight.Add(1)
	tenantInFlight := tenant.inFlight.Add(1)
	state := admissionState{
		limit:          float64(a.limit.Load()),
		inFlight:       float64(inFlight),
		tenantInFlight: float64(tenantInFlight),
		weight:         float64(tenant.weight.Load()),
		totalWeight:    float64(a.totalWeight.Load()),
	}
	if !state.admits(request) || a.mustWaitForCallRetries(now, request) || a.cannotMeetDeadline(now, request, state) {
		a.inFlight.Add(-1)
		tenant.inFlight.Add(-1)
		return nil, &failure.Overloaded{Resource: "calls under way", Wait: a.retryDelay(now, request.Class)}
	}
	storeMax(&a.peakInFlight, inFlight)
	return &Ticket{admitter: a, tenant: tenant, class: request.Class, admitted: now}, nil
}

// mustWaitForCallRetries reports whether a program start must wait because calls of
// running programs were rejected and have not been retried yet. Otherwise more programs
// would start than can finish, and the work done for them would be wasted.
func (a *Admitter) mustWaitForCallRetries(now time.Time, request Request) bool {
	return request.Class == ClassProgramStart && now.UnixNano() < a.lastCallRetry.Load()
}

// cannotMeetDeadline reports whether the answer cannot arrive before the request's
// deadline. Below the utilization threshold only an expired deadline is rejected: with
// spare capacity the latency estimate does not prove that the deadline will be missed.
func (a *Admitter) cannotMeetDeadline(now time.Time, request Request, state admissionState) bool {
	if request.Deadline.IsZero() {
		return false
	}
	remaining := request.Deadline.Sub(now)
	if remaining <= 0 {
		return true
	}
	if state.inFlight < minUtilization*state.limit {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return remaining < a.firstTokenLatency
}

// retryDelay returns the delay after which a rejected request should retry. Each class
// has its own retry slots, so that running programs do not wait behind programs that
// have not started.
func (a *Admitter) retryDelay(now time.Time, class Class) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	rate := max(a.completionRate, 1)
	if class != ClassCall {
		return a.retryPacers[class].delay(now, rate, maxRetryDelay, a.random)
	}
	delay := a.retryPacers[class].delay(now, rate, maxCallRetryDelay, a.random)
	storeMax(&a.lastCallRetry, now.Add(delay).UnixNano())
	return delay
}

// loadOf returns the load of the request's tenant, updated with the request's weight.
func (a *Admitter) loadOf(request Request) *tenantLoad {
	value, exists := a.tenants.Load(request.Tenant)
	if !exists {
		value, _ = a.tenants.LoadOrStore(request.Tenant, &tenantLoad{})
	}
	load := value.(*tenantLoad)
	weight := request.Weight
	if weight <= 0 {
		weight = 1
	}
	load.weight.Store(uint64(weight * weightScale))
	return load
}

// weightScale is the number of stored weight units in a weight of 1.
const weightScale = 1000
