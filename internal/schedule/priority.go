package schedule

import "time"

// priorityEpoch is the time that priorities are relative to, which keeps them small.
var priorityEpoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// priorityStep is the time by which one step of declared priority moves a program
// forward in the queue.
const priorityStep = 10 * time.Second

// enginePriority returns the priority of a call in the engine's queue; lower values run
// first. It is the start time of the whole program in milliseconds, adjusted by its
// declared priority. A running program precedes programs that started later, which
// optimizes the latency of whole programs instead of single calls.
func enginePriority(request *Request) int {
	start := request.Started.Sub(priorityEpoch) - time.Duration(request.Priority)*priorityStep
	return int(start / time.Millisecond)
}
