package schedule

import "time"

// priorityEpoch is the zero of priorities, so that they stay small.
var priorityEpoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// priorityStep is how much earlier a program counts for each step of its
// declared priority.
const priorityStep = 10 * time.Second

// enginePriority orders the queue of an engine, lower first. It is the time at
// which the whole program was opened, in milliseconds, moved by its declared
// priority: a program under way goes before those that came after it, so that
// the latency of the whole program counts and not that of the call.
func enginePriority(request *Request) int {
	opened := request.Started.Sub(priorityEpoch) - time.Duration(request.Priority)*priorityStep
	return int(opened / time.Millisecond)
}
