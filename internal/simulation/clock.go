package simulation

import (
	"container/heap"
	"time"
)

// clock is the simulated time and the actions still to come. Actions of the
// same moment run in the order in which they were added.
type clock struct {
	now      time.Duration
	sequence uint64
	queue    actionQueue
}

type action struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// after adds an action that runs once delay has passed.
func (c *clock) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, action{at: c.now + max(delay, 0), sequence: c.sequence, run: run})
}

// step runs the next action; it returns false when none is left.
func (c *clock) step() bool {
	if len(c.queue) == 0 {
		return false
	}
	next := heap.Pop(&c.queue).(action)
	c.now = next.at
	next.run()
	return true
}

// actionQueue is a heap by time, then by order of addition.
type actionQueue []action

func (q actionQueue) Len() int { return len(q) }

func (q actionQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *actionQueue) Push(item any) { *q = append(*q, item.(action)) }

func (q *actionQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = action{}
	*q = (*q)[:last]
	return item
}
