package schedule

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// estimatorWeight is the weight of a new observation in the moving average.
const estimatorWeight = 0.1

// movingMeans keeps a moving average for each program name. It is safe for
// concurrent use; reading takes no lock.
type movingMeans struct {
	mutex sync.Mutex
	means atomic.Pointer[map[structs.ProgramName]float64]
}

func (m *movingMeans) observe(name structs.ProgramName, value float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	after := map[structs.ProgramName]float64{}
	if before := m.means.Load(); before != nil {
		maps.Copy(after, *before)
	}
	mean, seen := after[name]
	if !seen {
		mean = value
	}
	after[name] = mean + estimatorWeight*(value-mean)
	m.means.Store(&after)
}

// mean is zero for names never observed.
func (m *movingMeans) mean(name structs.ProgramName) float64 {
	if means := m.means.Load(); means != nil {
		return (*means)[name]
	}
	return 0
}

// PauseEstimator learns how long programs of a name stay away from the models
// between two calls: a tool runs, or a person acts.
type PauseEstimator struct{ pauses movingMeans }

// NewPauseEstimator returns an estimator that has seen nothing.
func NewPauseEstimator() *PauseEstimator { return &PauseEstimator{} }

// Observe takes the time between the end of one model call and the arrival of
// the program's next.
func (p *PauseEstimator) Observe(name structs.ProgramName, pause time.Duration) {
	p.pauses.observe(name, float64(pause))
}

// Expected returns how long the next pause is expected to last: the caller's
// hint where there is one, else the mean of the name's earlier pauses, or zero
// where nothing is known.
func (p *PauseEstimator) Expected(name structs.ProgramName, hint time.Duration) time.Duration {
	if hint > 0 {
		return hint
	}
	return time.Duration(p.pauses.mean(name))
}

// GrowthEstimator learns by how many tokens the prompts of a name's programs
// grow from their first call to their last.
type GrowthEstimator struct{ growth movingMeans }

// NewGrowthEstimator returns an estimator that has seen nothing.
func NewGrowthEstimator() *GrowthEstimator { return &GrowthEstimator{} }

// Observe takes the growth of a program that has ended, in tokens.
func (g *GrowthEstimator) Observe(name structs.ProgramName, tokens int64) {
	g.growth.observe(name, float64(tokens))
}

// Expected returns the growth to expect, in tokens, or zero where nothing is
// known.
func (g *GrowthEstimator) Expected(name structs.ProgramName) int64 {
	return int64(g.growth.mean(name))
}
