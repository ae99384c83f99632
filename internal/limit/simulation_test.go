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

// The simulated backend has slots that each serve one call at a time, and a queue in
// front of them. A caller retries to start its program until startPatience and then
// gives up. A program makes its calls one after another with pauses. Its work counts
// only if all calls finish before its deadline, which is measured from the start of the
// program.
const (
	defaultSlots      = 64
	meanServiceTime   = time.Second
	pauseBetweenCalls = 200 * time.Millisecond
	callsPerProgram   = 5
	programDeadline   = 15 * time.Second
	startPatience     = 10 * time.Second
	// fullLoad is the number of programs per second that saturates the default slots.
	fullLoad = float64(defaultSlots) / callsPerProgram
)

type simulatedProgram struct {
	tenant         structs.TenantID
	deadline       time.Time
	completedCalls int
	started        bool
}

type simulatedCall struct {
	program     *simulatedProgram
	ticket      *Ticket
	serviceTime time.Duration
}

// event is a function to run at a simulated time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simulation struct {
	now       time.Time
	startTime time.Time
	events    eventQueue
	nextOrder int
	random    *rand.Rand
	// admitters holds one admitter per daemon. Without any, every request is admitted.
	admitters []*Admitter
	slots     int
	busy      int
	queue     []*simulatedCall
	down      bool
	// completedBySecond counts programs that met their deadline, by the second of their
	// end.
	completedBySecond map[int]int
	completedByTenant map[structs.TenantID]int
	requestsBySecond  map[int]int
}

func newSimulation(daemons int) *simulation {
	startTime := time.Unix(1_800_000_000, 0)
	s := &simulation{
		now: startTime, startTime: startTime, slots: defaultSlots, random: rand.New(rand.NewPCG(3, 3)),
		completedBySecond: map[int]int{}, completedByTenant: map[structs.TenantID]int{}, requestsBySecond: map[int]int{},
	}
	for i := range daemons {
		s.admitters = append(s.admitters, NewAdmitter(startTime, Config{Seed: uint64(i)}))
	}
	return s
}

func (s *simulation) second() int { return int(s.now.Sub(s.startTime) / time.Second) }

func (s *simulation) schedule(wait time.Duration, run func()) {
	s.nextOrder++
	heap.Push(&s.events, event{at: s.now.Add(wait), order: s.nextOrder, run: run})
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// offer starts programs of a tenant at a rate, indefinitely.
func (s *simulation) offer(tenant structs.TenantID, perSecond float64) {
	s.schedule(s.exponential(time.Duration(float64(time.Second)/perSecond)), func() {
		s.step(&simulatedProgram{tenant: tenant, deadline: s.now.Add(startPatience)})
		s.offer(tenant, perSecond)
	})
}

func (s *simulation) runFor(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// step sends a program's next request and retries it after the delay of a rejection.
func (s *simulation) step(p *simulatedProgram) {
	if s.now.After(p.deadline) {
		return
	}
	s.requestsBySecond[s.second()]++
	class := ClassCall
	if !p.started {
		class = ClassProgramStart
	}
	var ticket *Ticket
	if len(s.admitters) > 0 {
		var err error
		daemon := s.admitters[s.random.IntN(len(s.admitters))]
		ticket, err = daemon.Admit(s.now, Request{Tenant: p.tenant, Class: class, Deadline: p.deadline})
		if err != nil {
			rejection, _ := failure.As(err)
			s.schedule(rejection.Retry().After, func() { s.step(p) })
			return
		}
	}
	if class == ClassProgramStart {
		p.started = true
		p.deadline = s.now.Add(programDeadline)
		s.finishTicket(ticket, OutcomeCompleted)
		s.step(p)
		return
	}
	if s.down {
		s.finishTicket(ticket, OutcomeOverloaded)
		s.schedule(time.Second, func() { s.step(p) })
		return
	}
	s.queue = append(s.queue, &simulatedCall{program: p, ticket: ticket, serviceTime: s.exponential(meanServiceTime)})
	s.serve()
}

func (s *simulation) finishTicket(ticket *Ticket, outcome Outcome) {
	if ticket != nil {
		ticket.Done(s.now, outcome)
	}
}

// serve moves calls from the queue to free slots.
func (s *simulation) serve() {
	for s.busy < s.slots && len(s.queue) > 0 {
		call := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		if call.ticket != nil {
			call.ticket.FirstToken(s.now)
		}
		s.schedule(call.serviceTime, func() { s.finish(call) })
	}
}

func (s *simulation) finish(call *simulatedCall) {
	s.busy--
	s.finishTicket(call.ticket, OutcomeCompleted)
	p := call.program
	p.completedCalls++
	if p.completedCalls < callsPerProgram {
		s.schedule(pauseBetweenCalls, func() { s.step(p) })
	} else if !s.now.After(p.deadline) {
		s.completedBySecond[s.second()]++
		s.completedByTenant[p.tenant]++
	}
	s.serve()
}

// completedPerSecond returns the average over the seconds [from, to).
func (s *simulation) completedPerSecond(from, to int) float64 {
	sum := 0
	for second := from; second < to; second++ {
		sum += s.completedBySecond[second]
	}
	return float64(sum) / float64(to-from)
}

// goodput runs a load through daemons that share the backend. It returns the rate of
// programs that met their deadline. Both are fractions of the full load.
func goodput(daemons, slots int, load float64) float64 {
	s := newSimulation(daemons)
	s.slots = slots
	saturatingRate := float64(slots) / callsPerProgram
	s.offer("voltkai", load*saturatingRate)
	s.runFor(4 * time.Minute)
	return s.completedPerSecond(60, 240) / saturatingRate
}

func TestGoodputDoesNotFallUnderOverload(t *testing.T) {
	for _, daemons := range []int{1, 7} {
		goodputAt := map[float64]float64{}
		for _, load := range []float64{0.9, 1.1, 10} {
			goodputAt[load] = goodput(daemons, defaultSlots, load)
		}
		require.Greater(t, goodputAt[0.9], 0.85)
		require.GreaterOrEqual(t, goodputAt[1.1], goodputAt[0.9])
		require.GreaterOrEqual(t, goodputAt[10], goodputAt[0.9])
	}
	require.Less(t, goodput(0, defaultSlots, 10), 0.2, "goodput must collapse without an admitter, or the test proves nothing")
}

// outageResult describes how the system behaved around an outage of the whole backend.
type outageResult struct {
	// peakBefore and peakAfter are the highest numbers of requests in one second, in
	// the 30 s before the outage and the 60 s after it.
	peakBefore, peakAfter int
	// recovery is the time from the end of the outage until the completion rate over
	// three seconds reaches 80 % of the offered load.
	recovery time.Duration
	// goodputAfter is the goodput from 30 s after the outage on, as a fraction of the
	// full load.
	goodputAfter float64
}

// runOutage simulates a backend outage of 30 s at 90 % of the full load.
func runOutage(daemons int) outageResult {
	const from, to, load = 60, 90, 0.9
	s := newSimulation(daemons)
	s.offer("voltkai", load*fullLoad)
	s.runFor(from * time.Second)
	s.down = true
	s.runFor((to - from) * time.Second)
	s.down = false
	s.runFor(2 * time.Minute)
	result := outageResult{goodputAfter: s.completedPerSecond(to+30, to+120) / fullLoad}
	for second := from - 30; second < from; second++ {
		result.peakBefore = max(result.peakBefore, s.requestsBySecond[second])
	}
	for second := to; second < to+60; second++ {
		result.peakAfter = max(result.peakAfter, s.requestsBySecond[second])
	}
	for second := to; second < to+120 && s.completedPerSecond(second, second+3) < 0.8*load*fullLoad; second++ {
		result.recovery = time.Duration(second-to+1) * time.Second
	}
	return result
}

// During an outage rejected callers receive retry delays. After it, the retries must be
// spread out, and the goodput must recover soon.
func TestNoThunderingHerdAfterOutage(t *testing.T) {
	for _, daemons := range []int{1, 7} {
		result := runOutage(daemons)
		require.LessOrEqual(t, result.peakAfter, 2*result.peakBefore, "requests in the busiest second")
		require.Greater(t, result.goodputAfter, 0.8)
	}
}

// BenchmarkOutage reports the result of runOutage.
func BenchmarkOutage(b *testing.B) {
	for _, daemons := range []int{0, 1, 7, 20} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			result := outageResult{}
			for b.Loop() {
				result = runOutage(daemons)
			}
			b.ReportMetric(float64(result.peakBefore), "fullest-second-before")
			b.ReportMetric(float64(result.peakAfter), "fullest-second-after")
			b.ReportMetric(result.recovery.Seconds(), "s-restored")
			b.ReportMetric(result.goodputAfter, "work-done-after")
		})
	}
}

// A tenant that requests ten times the capacity cannot take the share of another
// tenant.
func TestTenantKeepsItsShareUnderOverload(t *testing.T) {
	s := newSimulation(1)
	s.offer("greedy", 10*fullLoad)
	s.offer("modest", 0.3*fullLoad)
	s.runFor(4 * time.Minute)
	offered := 0.3 * fullLoad * 240
	require.Greater(t, float64(s.completedByTenant["modest"])/offered, 0.8)
	require.Greater(t, s.completedByTenant["greedy"], s.completedByTenant["modest"])
}

// BenchmarkOverload reports the goodput, as a fraction of the full load, by the number
// of daemons that share the backend; 0 means one daemon without an admitter. A daemon
// of the designed size receives 14 calls per second, as do 20 daemons with 280 slots.
func BenchmarkOverload(b *testing.B) {
	for _, system := range []struct{ daemons, slots int }{{0, 64}, {1, 64}, {7, 64}, {20, 64}, {20, 280}} {
		for _, load := range []float64{0.5, 0.9, 1, 1.1, 2, 10} {
			b.Run(fmt.Sprintf("daemons=%d/slots=%d/load=%g", system.daemons, system.slots, load), func(b *testing.B) {
				result := 0.0
				for b.Loop() {
					result = goodput(system.daemons, system.slots, load)
				}
				b.ReportMetric(result, "work-done")
			})
		}
	}
}
