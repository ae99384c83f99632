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
	// TargetFirstTokenLatency is the delay until the first part of an answer that admitted calls
	// should meet.
	TargetFirstTokenLatency time.Duration
	// InitialLimit, Smallest and Largest bound the calls under way at once; 0 means
	// the defaults.
	InitialLimit int
	MinLimit     int
	MaxLimit     int
	// Seed makes the spread of waits repeatable.
	Seed uint64
}

// Defaults of Config.
const (
	DefaultTargetFirstTokenLatency = 800 * time.Millisecond
	DefaultInitialLimit            = 32
	DefaultMinLimit                = 2
	DefaultMaxLimit                = 4096
)

// Class says how much an admitted request asks for.
type Class int

const (
	// ClassProgramStart begins a new program, which will ask for many calls.
	ClassProgramStart Class = iota
	// ClassCall is a call of a program under way, whose earlier calls would be
	// wasted by a refusal.
	ClassCall
	classes
)

// Request is a request to be admitted.
type Request struct {
	Tenant structs.TenantID
	// Weight is the tenant's share under overload, relative to others; 0 means 1.
	Weight float64
	Class  Class
	// Priority is the program's declared priority; higher goes first.
	Priority int
	// Deadline is when the answer is of use no more; zero means never.
	Deadline time.Time
}

// Outcome is how an admitted request ended.
type Outcome int

// The outcomes.
const (
	OutcomeCompleted Outcome = iota
	// OutcomeOverloaded for want of room behind this daemon.
	OutcomeOverloaded
	// OutcomeIgnored by the caller, or failed for reasons that tell nothing of load.
	OutcomeIgnored
)

// Admitter bounds the calls under way by the delay that they meet. It queues
// nothing: a request is admitted or refused at once, with a time to come back.
// It is safe for concurrent use; the path of a request takes a lock only when
// it is refused or a window ends.
type Admitter struct {
	config   Config
	limit    atomic.Int64
	inFlight atomic.Int64
	// opened counts openings that ended in this window and still hold a place.
	opened atomic.Int64
	// callsBack is when the last refused call was told to come back, in
	// nanoseconds of the Unix epoch.
	callsBack atomic.Int64
	tenants   sync.Map // structs.TenantID to *tenantLoad
	weights   atomic.Uint64
	// The window being filled.
	samples, late, overloads, peak, done atomic.Int64

	mutex     sync.Mutex
	windowEnd time.Time
	adaptive  adaptive
	seen      window // not yet judged
	doneRate  Rate
	firstPart time.Duration
	comebacks [classes]comeback
	random    *rand.Rand
	ends      atomic.Int64 // windowEnd in nanoseconds, read without the lock
}

// tenantLoad is what one tenant has under way.
type tenantLoad struct {
	inFlight atomic.Int64
	// asked counts requests since the last window's end, refused ones too.
	asked  atomic.Int64
	weight atomic.Uint64 // thousandths
}

// NewAdmitter returns an admitter with nothing under way.
func NewAdmitter(now time.Time, config Config) *Admitter {
	config.TargetFirstTokenLatency = cmp.Or(config.TargetFirstTokenLatency, DefaultTargetFirstTokenLatency)
	config.InitialLimit = cmp.Or(config.InitialLimit, DefaultInitialLimit)
	config.MinLimit = cmp.Or(config.MinLimit, DefaultMinLimit)
	config.MaxLimit = cmp.Or(config.MaxLimit, DefaultMaxLimit)
	a := &Admitter{
		config:    config,
		windowEnd: now.Add(windowLength),
		adaptive:  adaptive{limit: float64(config.InitialLimit), threshold: float64(config.MaxLimit)},
		random:    rand.New(rand.NewPCG(config.Seed, 1)),
	}
	a.limit.Store(int64(config.InitialLimit))
	a.ends.Store(a.windowEnd.UnixNano())
	return a
}

// Limit returns how many calls may be under way now.
func (a *Admitter) Limit() int { return int(a.limit.Load()) }

// InFlight returns how many admitted requests have not ended.
func (a *Admitter) InFlight() int { return int(a.inFlight.Load()) }

// Admit lets a request in, or refuses it with a *failure.Overloaded. The caller
// must give the ticket back by Done.
func (a *Admitter) Admit(now time.Time, request Request) (*Ticket, error) {
	a.roll(now)
	tenant := a.load(request)
	tenant.asked.Add(1)
	inFlight := a.inFlight.Add(1)
	held := tenant.inFlight.Add(1)
	seen := standing{
		limit:    float64(a.limit.Load()),
		inFlight: float64(inFlight),
		tenant:   float64(held),
		weight:   float64(tenant.weight.Load()),
		weights:  float64(a.weights.Load()),
	}
	if !seen.admits(request) || a.callsComeBack(now, request) || a.tooLate(now, request, seen) {
		a.inFlight.Add(-1)
		tenant.inFlight.Add(-1)
		return nil, &failure.Overloaded{Resource: "calls under way", Wait: a.wait(now, request.Class)}
	}
	storeMax(&a.peak, inFlight)
	return &Ticket{admitter: a, tenant: tenant, class: request.Class, admitted: now}, nil
}

// callsComeBack tells whether an opening must wait because calls of programs
// under way were refused and have not come back yet. Otherwise more programs
// would be begun than can be finished, and the work on them wasted.
func (a *Admitter) callsComeBack(now time.Time, request Request) bool {
	return request.Class == ClassProgramStart && now.UnixNano() < a.callsBack.Load()
}

// tooLate tells whether an answer cannot come before the request's deadline.
// Only a full daemon refuses for it: with room, the estimate is no proof.
func (a *Admitter) tooLate(now time.Time, request Request, seen standing) bool {
	if request.Deadline.IsZero() {
		return false
	}
	left := request.Deadline.Sub(now)
	if left <= 0 {
		return true
	}
	if seen.inFlight < inUse*seen.limit {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return left < a.firstPart
}

// wait returns when a refused request is to come back. The classes come back
// apart: a program under way must not wait behind those not yet begun.
func (a *Admitter) wait(now time.Time, class Class) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	rate := max(a.doneRate, 1)
	if class != ClassCall {
		return a.comebacks[class].wait(now, rate, longestWait, a.random)
	}
	wait := a.comebacks[class].wait(now, rate, longestCallWait, a.random)
	storeMax(&a.callsBack, now.Add(wait).UnixNano())
	return wait
}

// load returns the tenant's load.
func (a *Admitter) load(request Request) *tenantLoad {
	found, seen := a.tenants.Load(request.Tenant)
	if !seen {
		found, _ = a.tenants.LoadOrStore(request.Tenant, &tenantLoad{})
	}
	load := found.(*tenantLoad)
	weight := request.Weight
	if weight <= 0 {
		weight = 1
	}
	load.weight.Store(uint64(weight * weightScale))
	return load
}

// weightScale is the number of a weight's units in 1.
const weightScale = 1000
