package hollow

import "time"

// event is something that happens at a simulated time.
type event struct {
	at time.Duration
	// order breaks ties, in the order of scheduling.
	order uint64
	run   func()
}

func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// queue runs events in the order of their times.
type queue struct {
	now    time.Duration
	events []event
	order  uint64
}

// after schedules a function.
func (q *queue) after(wait time.Duration, run func()) {
	q.order++
	q.events = append(q.events, event{q.now + max(wait, 0), q.order, run})
	for i := len(q.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.events[i].before(&q.events[parent]) {
			return
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}

// runUntil runs all events up to a time.
func (q *queue) runUntil(end time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= end {
		next := q.pop()
		q.now = next.at
		next.run()
	}
	q.now = end
}

func (q *queue) pop() event {
	first := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && q.events[child+1].before(&q.events[child]) {
			child++
		}
		if !q.events[child].before(&q.events[i]) {
			break
		}
		q.events[i], q.events[child] = q.events[child], q.events[i]
		i = child
	}
	return first
}
