package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/backlog"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
)

const (
	// firstSlotPause and lastSlotPause bound the pauses, which double, after which the
	// request that is first asks workers that were full again: places that other gateways'
	// requests held become free unseen.
	firstSlotPause = 10 * time.Millisecond
	lastSlotPause  = 80 * time.Millisecond
	// maxAwaitingSlot bounds the requests that wait for one service: each holds its body
	// in memory, 64 KB at the users' largest.
	maxAwaitingSlot = 128
)

// slotQueues are the requests of this gateway that wait for full services, by service.
type slotQueues struct{ services sync.Map }

// slotQueue is the requests that wait for one service. The first one asks workers; the
// others wait for their turn.
type slotQueue struct {
	mutex   sync.Mutex
	waiting *backlog.Backlog
	// wake has a channel for each request that waits, told when it may be its turn.
	wake map[*backlog.Entry]chan struct{}
}

// slotTicket is one request's place among those that wait.
type slotTicket struct {
	queue *slotQueue
	entry *backlog.Entry
	wake  chan struct{}
	// pauses counts how often the request has asked as the first one.
	pauses int
	// asked is when the request last went to ask workers; it is out of the others' way
	// from then until it waits again.
	asked time.Time
	out   bool
}

func newSlotQueues() *slotQueues { return &slotQueues{} }

func newSlotQueue() *slotQueue {
	return &slotQueue{waiting: backlog.New(maxAwaitingSlot), wake: make(map[*backlog.Entry]chan struct{})}
}

// of returns a service's queue.
func (q *slotQueues) of(service string) *slotQueue {
	if known, found := q.services.Load(service); found {
		return known.(*slotQueue)
	}
	known, _ := q.services.LoadOrStore(service, newSlotQueue())
	return known.(*slotQueue)
}

// waiting returns how many requests wait for all services.
func (q *slotQueues) waiting() (count int) {
	for _, each := range q.services.Range {
		count += each.(*slotQueue).len()
	}
	return count
}

// forget drops the queues of services that are not declared any more and that nothing
// waits for.
func (q *slotQueues) forget(declared func(service string) bool) {
	for service, each := range q.services.Range {
		if !declared(service.(string)) && each.(*slotQueue).len() == 0 {
			q.services.Delete(service)
		}
	}
}

// freed tells the request that is first that a place may be free.
func (q *slotQueues) freed(service string) {
	queue := q.of(service)
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.wakeFirst()
}

// len returns how many requests wait.
func (q *slotQueue) len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.waiting.Len()
}

// wakeFirst tells the first request that it may ask. The mutex is held.
func (q *slotQueue) wakeFirst() {
	first := q.waiting.First()
	if first == nil {
		return
	}
	select {
	case q.wake[first] <- struct{}{}:
	default:
	}
}

// join adds a request; nil means that it would wait in vain.
func (q *slotQueue) join(rank int, latest time.Time) *slotTicket {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	entry := q.waiting.Enqueue(time.Now(), rank, latest)
	if entry == nil {
		return nil
	}
	place := &slotTicket{queue: q, entry: entry, wake: make(chan struct{}, 1)}
	q.wake[entry] = place.wake
	return place
}

// moreUrgentThan reports whether a request of a more urgent kind waits.
func (q *slotQueue) moreUrgentThan(rank int) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.waiting.HasHigherPriority(rank)
}

// expected returns after what time a request of a kind is likely to get a place.
func (q *slotQueue) expected(rank int) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.waiting.ExpectedWait(time.Now(), rank)
}

// await waits until it is this request's turn to ask workers, and lets the next one be
// first then: a worker that takes a request may answer it much later. It returns false
// where waiting is in vain, or ctx ends.
func (p *slotTicket) await(ctx context.Context) bool {
	p.rejoin()
	pause := min(lastSlotPause, firstSlotPause<<min(p.pauses, 8))
	timer := time.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	for {
		woken := false
		select {
		case <-ctx.Done():
			return false
		case <-p.wake:
			woken = true
		case <-timer.C:
			timer.Reset(lastSlotPause)
		}
		turn, inVain := p.takeTurn()
		if inVain {
			return false
		}
		if turn {
			p.pauses++
			if woken {
				p.pauses = 0
			}
			return true
		}
	}
}

// rejoin puts a request that asked and was turned away back where it was.
func (p *slotTicket) rejoin() {
	p.queue.mutex.Lock()
	defer p.queue.mutex.Unlock()
	if p.out {
		p.queue.waiting.Requeue(p.entry)
		p.out = false
	}
}

// takeTurn reports whether it is the request's turn, and then takes it out of the others'
// way, and whether it waits in vain.
func (p *slotTicket) takeTurn() (turn, inVain bool) {
	p.queue.mutex.Lock()
	defer p.queue.mutex.Unlock()
	now := time.Now()
	if p.queue.waiting.ShouldReject(now, p.entry) {
		return false, true
	}
	if p.queue.waiting.First() != p.entry {
		return false, false
	}
	p.queue.waiting.Remove(p.entry)
	p.out, p.asked = true, now
	return true, false
}

// end takes the request out. Where it got a place there may be another: the next one asks
// at once.
func (p *slotTicket) end(admitted bool) {
	p.queue.mutex.Lock()
	defer p.queue.mutex.Unlock()
	delete(p.queue.wake, p.entry)
	if !admitted {
		p.queue.waiting.Remove(p.entry)
		return
	}
	p.queue.waiting.Admit(p.asked, p.entry)
	p.queue.wakeFirst()
}

// letMoreUrgentGoFirst waits while requests of a more urgent kind wait for the service.
func (r *request) letMoreUrgentGoFirst(ctx context.Context) error {
	if r.gateway.disabled(mechanism.RequestQueueing) || !r.gateway.slotQueues.of(r.service.Name).moreUrgentThan(r.urgency) {
		return nil
	}
	return r.awaitSlot(ctx)
}

// awaitSlot waits for a place at workers that turned the request away because they are
// full, behind requests of more urgent kinds and those with less time left, and lets it
// go to them again. A refusal would cost the program one of few tries, and a call of a
// tool that is refused twice ends its program. It fails once the request is not likely
// to get a place in its time.
func (r *request) awaitSlot(ctx context.Context) error {
	defer r.hold(heldForSlot)()
	queue := r.gateway.slotQueues.of(r.service.Name)
	if r.place == nil {
		r.place = queue.join(r.urgency, r.deadline.Add(-r.fastest().Value()))
	}
	if r.place == nil || !r.place.await(ctx) {
		if ctx.Err() != nil {
			return r.outOfTime(ctx)
		}
		comeBack := min(lastSlotComeBack, queue.expected(r.urgency))
		if r.coldRefused > 0 && r.turnedAway == 0 {
			return r.noWorker(comeBack)
		}
		return &ServiceFull{Service: r.service.Name, Rejections: r.turnedAway, RetryAfter: comeBack}
	}
	for _, id := range r.full {
		delete(r.tried, id)
	}
	r.full = nil
	return nil
}

// leaveSlotQueue ends the request's wait for a slot, if it waited. Where it may go to no worker at
// all, the next one finds that out at once too.
func (r *request) leaveSlotQueue(admitted bool) {
	if r.place == nil {
		return
	}
	r.place.end(admitted)
	r.place = nil
	if !admitted && r.noneEligible() != nil {
		r.gateway.slotQueues.freed(r.service.Name)
	}
}
