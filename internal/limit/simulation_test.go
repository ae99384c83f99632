package limit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// The simulated back end: slots that each serve one call at a time, and a queue
// before them. A caller tries to open its program for a while and then gives up.
// The program makes its calls one after the other with pauses; its work counts
// only where all are done within its deadline, which runs from its opening.
const (
	defaultSlots    = 64
	meanService     = time.Second
	pause           = 200 * time.Millisecond
	callsPerProgram = 5
	programDeadline = 15 * time.Second
	openingPatience = 10 * time.Second
	// fullLoad is the number of programs a second that fill the default slots.
	fullLoad = float64(defaultSlots) / callsPerProgram
)

type simulatedProgram struct {
	tenant   structs.TenantID
	deadline time.Time
	calls    int
	opened   bool
}

type simulatedCall struct {
	program *simulatedProgram
	ticket  *Ticket
	service time.Duration
}

// occurrence is something that happens at a time.
type occurrence struct {
	at    time.Time
	order int
	run   func()
}

type occurrences []occurrence

func (o occurrences) Len() int { return len(o) }
func (o occurrences) Less(i, j int) bool {
	return o[i].at.Before(o[j].at) || o[i].at.Equal(o[j].at) && o[i].order < o[j].order
}
func (o occurrences) Swap(i, j int) { o[i], o[j] = o[j], o[i] }
func (o *occurrences) Push(x any)   { *o = append(*o, x.(occurrence)) }
func (o *occurrences) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}

type simulation struct {
	now    time.Time
	begin  time.Time
	events occurrences
	order  int
	random *rand.Rand
	// admitters are of the daemons; without any, everything is admitted.
	admitters []*Admitter
	slots     int
	busy      int
	queue     []*simulatedCall
	down      bool
	// completed counts programs done in time, by the second of their end.
	completed map[int]int
	byTenant  map[structs.TenantID]int
	arrivals  map[int]int // requests by second
}

func newSimulation(daemons int) *simulation {
	begin := time.Unix(1_800_000_000, 0)
	s := &simulation{
		now: begin, begin: begin, slots: defaultSlots, random: rand.New(rand.NewPCG(3, 3)),
		completed: map[int]int{}, byTenant: map[structs.TenantID]int{}, arrivals: map[int]int{},
	}
	for i := range daemons {
		s.admitters = append(s.admitters, NewAdmitter(begin, Config{Seed: uint64(i)}))
	}
	return s
}

func (s *simulation) second() int { return int(s.now.Sub(s.begin) / time.Second) }

func (s *simulation) after(wait time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, occurrence{at: s.now.Add(wait), order: s.order, run: run})
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// offer lets programs of a tenant arrive at a rate, for ever.
func (s *simulation) offer(tenant structs.TenantID, perSecond float64) {
	s.after(s.exponential(time.Duration(float64(time.Second)/perSecond)), func() {
		s.step(&simulatedProgram{tenant: tenant, deadline: s.now.Add(openingPatience)})
		s.offer(tenant, perSecond)
	})
}

func (s *simulation) runFor(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(occurrence)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// step sends a program's next request, and again when it is told to come back.
func (s *simulation) step(p *simulatedProgram) {
	if s.now.After(p.deadline) {
		return
	}
	s.arrivals[s.second()]++
	class := ClassCall
	if !p.opened {
		class = ClassProgramStart
	}
	var ticket *Ticket
	if len(s.admitters) > 0 {
		var err error
		daemon := s.admitters[s.random.IntN(len(s.admitters))]
		ticket, err = daemon.Admit(s.now, Request{Tenant: p.tenant, Class: class, Deadline: p.deadline})
		if err != nil {
			refused, _ := failure.As(err)
			s.after(refused.Retry().After, func() { s.step(p) })
			return
		}
	}
	if class == ClassProgramStart {
		p.opened = true
		p.deadline = s.now.Add(programDeadline)
		s.done(ticket, OutcomeCompleted)
		s.step(p)
		return
	}
	if s.down {
		s.done(ticket, OutcomeOverloaded)
		s.after(time.Second, func() { s.step(p) })
		return
	}
	s.queue = append(s.queue, &simulatedCall{program: p, ticket: ticket, service: s.exponential(meanService)})
	s.serve()
}

func (s *simulation) done(ticket *Ticket, outcome Outcome) {
	if ticket != nil {
		ticket.Done(s.now, outcome)
	}
}

// serve fills free slots from the queue.
func (s *simulation) serve() {
	for s.busy < s.slots && len(s.queue) > 0 {
		call := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		if call.ticket != nil {
			call.ticket.FirstToken(s.now)
		}
		s.after(call.service, func() { s.finish(call) })
	}
}

func (s *simulation) finish(call *simulatedCall) {
	s.busy--
	s.done(call.ticket, OutcomeCompleted)
	p := call.program
	p.calls++
	if p.calls < callsPerProgram {
		s.after(pause, func() { s.step(p) })
	} else if !s.now.After(p.deadline) {
		s.completed[s.second()]++
		s.byTenant[p.tenant]++
	}
	s.serve()
}

// completedPerSecond averages over seconds [from, to).
func (s *simulation) completedPerSecond(from, to int) float64 {
	sum := 0
	for second := from; second < to; second++ {
		sum += s.completed[second]
	}
	return float64(sum) / float64(to-from)
}

// goodput runs a load, in parts of the full load, through daemons that share
// the back end, and returns the programs done in time, in parts of the full load.
func goodput(daemons, slots int, load float64) float64 {
	s := newSimulation(daemons)
	s.slots = slots
	full := float64(slots) / callsPerProgram
	s.offer("voltkai", load*full)
	s.runFor(4 * time.Minute)
	return s.completedPerSecond(60, 240) / full
}

func TestGoodputDoesNotFallUnderOverload(t *testing.T) {
	for _, daemons := range []int{1, 7} {
		at := map[float64]float64{}
		for _, load := range []float64{0.9, 1.1, 10} {
			at[load] = goodput(daemons, defaultSlots, load)
		}
		require.Greater(t, at[0.9], 0.85)
		require.GreaterOrEqual(t, at[1.1], at[0.9])
		require.GreaterOrEqual(t, at[10], at[0.9])
	}
	require.Less(t, goodput(0, defaultSlots, 10), 0.2, "without an admitter the model collapses, so the test can fail")
}

// outage is what a loss of the whole back end looks like to it.
type outage struct {
	// before and after are the requests of the fullest second in the half minute
	// before the outage and in the minute after it.
	before, after int
	// restored is the time from the outage's end until three seconds together
	// complete four fifths of what arrives.
	restored time.Duration
	// work is what is completed from half a minute after the outage on, in parts
	// of the full load.
	work float64
}

// runOutage takes the back end away for half a minute at nine tenths of the load.
func runOutage(daemons int) outage {
	const from, to, load = 60, 90, 0.9
	s := newSimulation(daemons)
	s.offer("voltkai", load*fullLoad)
	s.runFor(from * time.Second)
	s.down = true
	s.runFor((to - from) * time.Second)
	s.down = false
	s.runFor(2 * time.Minute)
	seen := outage{work: s.completedPerSecond(to+30, to+120) / fullLoad}
	for second := from - 30; second < from; second++ {
		seen.before = max(seen.before, s.arrivals[second])
	}
	for second := to; second < to+60; second++ {
		seen.after = max(seen.after, s.arrivals[second])
	}
	for second := to; second < to+120 && s.completedPerSecond(second, second+3) < 0.8*load*fullLoad; second++ {
		seen.restored = time.Duration(second-to+1) * time.Second
	}
	return seen
}

// While the back end is out, refused callers are told times; when it is back
// they must come spread out, and work must be done again soon.
func TestNoThunderingHerdAfterOutage(t *testing.T) {
	for _, daemons := range []int{1, 7} {
		seen := runOutage(daemons)
		require.LessOrEqual(t, seen.after, 2*seen.before, "requests in the fullest second")
		require.Greater(t, seen.work, 0.8)
	}
}

// BenchmarkOutage reports what runOutage sees.
func BenchmarkOutage(b *testing.B) {
	for _, daemons := range []int{0, 1, 7, 20} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			seen := outage{}
			for b.Loop() {
				seen = runOutage(daemons)
			}
			b.ReportMetric(float64(seen.before), "fullest-second-before")
			b.ReportMetric(float64(seen.after), "fullest-second-after")
			b.ReportMetric(seen.restored.Seconds(), "s-restored")
			b.ReportMetric(seen.work, "work-done-after")
		})
	}
}

// A tenant that asks for ten times the capacity cannot take the other's share.
func TestTenantKeepsItsShareUnderOverload(t *testing.T) {
	s := newSimulation(1)
	s.offer("greedy", 10*fullLoad)
	s.offer("modest", 0.3*fullLoad)
	s.runFor(4 * time.Minute)
	offered := 0.3 * fullLoad * 240
	require.Greater(t, float64(s.byTenant["modest"])/offered, 0.8)
	require.Greater(t, s.byTenant["greedy"], s.byTenant["modest"])
}

// BenchmarkOverload reports work done, in parts of the full load, for a number
// of daemons that share the back end; 0 is one without an admitter. A daemon of
// the size designed for meets 14 calls a second, as 20 with 280 slots do.
func BenchmarkOverload(b *testing.B) {
	for _, system := range []struct{ daemons, slots int }{{0, 64}, {1, 64}, {7, 64}, {20, 64}, {20, 280}} {
		for _, load := range []float64{0.5, 0.9, 1, 1.1, 2, 10} {
			b.Run(fmt.Sprintf("daemons=%d/slots=%d/load=%g", system.daemons, system.slots, load), func(b *testing.B) {
				done := 0.0
				for b.Loop() {
					done = goodput(system.daemons, system.slots, load)
				}
				b.ReportMetric(done, "work-done")
			})
		}
	}
}
