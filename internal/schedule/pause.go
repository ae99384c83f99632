package schedule

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// pauseWeight is the weight of a new pause in the moving average.
const pauseWeight = 0.1

// PauseEstimator learns how long programs of a name stay away from the models
// between two calls: a tool runs, or a person acts. It is safe for concurrent
// use; reading takes no lock.
type PauseEstimator struct {
	mutex sync.Mutex
	means atomic.Pointer[map[structs.ProgramName]time.Duration]
}

// NewPauseEstimator returns an estimator that has seen nothing.
func NewPauseEstimator() *PauseEstimator {
	estimator := &PauseEstimator{}
	estimator.means.Store(&map[structs.ProgramName]time.Duration{})
	return estimator
}

// Observe takes the time between the end of one model call and the arrival of
// the program's next.
func (p *PauseEstimator) Observe(name structs.ProgramName, pause time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := *p.means.Load()
	after := make(map[structs.ProgramName]time.Duration, len(before)+1)
	for known, mean := range before {
		after[known] = mean
	}
	mean, seen := before[name]
	if !seen {
		mean = pause
	}
	after[name] = mean + time.Duration(pauseWeight*float64(pause-mean))
	p.means.Store(&after)
}

// Expected returns how long the next pause is expected to last: the caller's
// hint where there is one, else the mean of the name's earlier pauses, or zero
// where nothing is known.
func (p *PauseEstimator) Expected(name structs.ProgramName, hint time.Duration) time.Duration {
	if hint > 0 {
		return hint
	}
	return (*p.means.Load())[name]
}
