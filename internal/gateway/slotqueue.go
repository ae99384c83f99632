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
	// initialSlotBackoff and maxSlotBackoff bound the exponential backoff after which the first
	// request in the queue tries full workers again. This gateway does not see when requests of
	// other gateways free a slot.
	initialSlotBackoff = 10 * time.Millisecond
	maxSlotBackoff     = 80 * time.Millisecond
	// maxSlotWaiters bounds the requests that wait for one service. Each holds its body in
	// memory, up to 64 KB with the largest bodies in use.
	maxSlotWaiters = 128
)

// slotQueues holds the requests of this gateway that wait for full services, by service.
type slotQueues struct{ byService sync.Map }

// slotQueue holds the requests that wait for one service. Only the first one tries workers; the
// others wait.
type slotQueue struct {
	mutex   sync.Mutex
	waiting *backlog.Backlog
	// wake has a channel for each waiting request, which is signaled when the request may be
	// first.
	wake map[*backlog.Entry]chan struct{}
}

// slotTicket is the entry of one request in a slotQueue.
type slotTicket struct {
	queue *slotQueue
	entry *backlog.Entry
	wake  chan struct{}
	// backoffs counts the consecutive tries that were not caused by a wake-up.
	backoffs int
	// triedAt is when the request last went to try workers. trying is set from then until it
	// waits again, and takes it out of the queue so that the next one can be first.
	triedAt time.Time
	trying  bool
}

func newSlotQueues() *slotQueues { return &slotQueues{} }

func newSlotQueue() *slotQueue {
	return &slotQueue{waiting: backlog.New(maxSlotWaiters), wake: make(map[*backlog.Entry]chan struct{})}
}

// getOrCreate returns the queue of a service.
func (q *slotQueues) getOrCreate(service string) *slotQueue {
	if queue, found := q.byService.Load(service); found {
		return queue.(*slotQueue)
	}
	queue, _ := q.byService.LoadOrStore(service, newSlotQueue())
	return queue.(*slotQueue)
}

// waitingCount returns the number of waiting requests of all services.
func (q *slotQueues) waitingCount() (count int) {
	for _, each := range q.byService.Range {
		count += each.(*slotQueue).len()
	}
	return count
}

// removeUndeclared removes the empty queues of services that are no longer declared.
func (q *slotQueues) removeUndeclared(declared func(service string) bool) {
	for service, each := range q.byService.Range {
		if !declared(service.(string)) && each.(*slotQueue).len() == 0 {
			q.byService.Delete(service)
		}
	}
}

// slotFreed wakes the first request because a slot may be free.
func (q *slotQueues) slotFreed(service string) {
	queue := q.getOrCreate(service)
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.wakeFirst()
}

// len returns the number of waiting requests.
func (q *slotQueue) len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.waiting.Len()
}

// wakeFirst wakes the first request. The mutex must be held.
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

// enqueue adds a request. It returns nil if the request is not expected to get a slot in time.
func (q *slotQueue) enqueue(priorityRank int, latest time.Time) *slotTicket {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	entry := q.waiting.Enqueue(time.Now(), priorityRank, latest)
	if entry == nil {
		return nil
	}
	ticket := &slotTicket{queue: q, entry: entry, wake: make(chan struct{}, 1)}
	q.wake[entry] = ticket.wake
	return ticket
}

// hasHigherPriority reports whether a more urgent request is waiting.
func (q *slotQueue) hasHigherPriority(priorityRank int) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.waiting.HasHigherPriority(priorityRank)
}

// expectedWait returns the expected wait for a slot of a request of the given priority rank.
func (q *slotQueue) expectedWait(priorityRank int) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.waiting.ExpectedWait(time.Now(), priorityRank)
}

// awaitFront waits until this request is first and may try workers, and removes it from the
// queue so that the next one becomes first: a worker that accepts a request may respond much
// later. It returns false if the wait is hopeless or ctx ends.
func (t *slotTicket) awaitFront(ctx context.Context) bool {
	t.requeue()
	backoff := min(maxSlotBackoff, initialSlotBackoff<<min(t.backoffs, 8))
	timer := time.NewTimer(backoff/2 + rand.N(backoff))
	defer timer.Stop()
	for {
		woken := false
		select {
		case <-ctx.Done():
			return false
		case <-t.wake:
			woken = true
		case <-timer.C:
			timer.Reset(maxSlotBackoff)
		}
		dequeued, hopeless := t.tryDequeue()
		if hopeless {
			return false
		}
		if dequeued {
			t.backoffs++
			if woken {
				t.backoffs = 0
			}
			return true
		}
	}
}

// requeue puts a request that was rejected by workers back at its position in the queue.
func (t *slotTicket) requeue() {
	t.queue.mutex.Lock()
	defer t.queue.mutex.Unlock()
	if t.trying {
		t.queue.waiting.Requeue(t.entry)
		t.trying = false
	}
}

// tryDequeue removes the request from the queue if it is first, so that it may try workers. It
// also reports whether its wait is hopeless.
func (t *slotTicket) tryDequeue() (dequeued, hopeless bool) {
	t.queue.mutex.Lock()
	defer t.queue.mutex.Unlock()
	now := time.Now()
	if t.queue.waiting.ShouldReject(now, t.entry) {
		return false, true
	}
	if t.queue.waiting.First() != t.entry {
		return false, false
	}
	t.queue.waiting.Remove(t.entry)
	t.trying, t.triedAt = true, now
	return true, false
}

// remove ends the wait of the request. If the request was admitted another slot may be free, so
// the next request is woken at once.
func (t *slotTicket) remove(admitted bool) {
	t.queue.mutex.Lock()
	defer t.queue.mutex.Unlock()
	delete(t.queue.wake, t.entry)
	if !admitted {
		t.queue.waiting.Remove(t.entry)
		return
	}
	t.queue.waiting.Admit(t.triedAt, t.entry)
	t.queue.wakeFirst()
}

// yieldToHigherPriority waits while more urgent requests wait for the service.
func (r *request) yieldToHigherPriority(ctx context.Context) error {
	if r.gateway.disabled(mechanism.RequestQueueing) || !r.gateway.slotQueues.getOrCreate(r.service.Name).hasHigherPriority(r.priorityRank) {
		return nil
	}
	return r.awaitSlot(ctx)
}

// awaitSlot waits for a slot at workers that rejected the request as full, behind more urgent
// requests and those with less time left, and then allows it to try them again. A refusal would
// cost the program one of few retries, and a tool call that is refused twice ends its program.
// awaitSlot fails as soon as the request is not expected to get a slot in time.
func (r *request) awaitSlot(ctx context.Context) error {
	defer r.startWait(waitForSlot)()
	queue := r.gateway.slotQueues.getOrCreate(r.service.Name)
	if r.slotTicket == nil {
		r.slotTicket = queue.enqueue(r.priorityRank, r.deadline.Add(-r.expectedResponseTime()))
	}
	if r.slotTicket == nil || !r.slotTicket.awaitFront(ctx) {
		if ctx.Err() != nil {
			return r.contextError(ctx)
		}
		retryAfter := min(maxSlotRetryAfter, queue.expectedWait(r.priorityRank))
		if r.coldSkipped > 0 && r.rejections == 0 {
			return r.noWorkerError(retryAfter)
		}
		return &ServiceFull{Service: r.service.Name, Rejections: r.rejections, RetryAfter: retryAfter}
	}
	for _, id := range r.fullWorkers {
		delete(r.tried, id)
	}
	r.fullWorkers = nil
	return nil
}

// leaveSlotQueue ends the request's wait for a slot, if there was one. If no worker is eligible
// because of zone drains, it wakes the next request so that it is refused at once too.
func (r *request) leaveSlotQueue(admitted bool) {
	if r.slotTicket == nil {
		return
	}
	r.slotTicket.remove(admitted)
	r.slotTicket = nil
	if !admitted && r.checkDrainedZones() != nil {
		r.gateway.slotQueues.slotFreed(r.service.Name)
	}
}
