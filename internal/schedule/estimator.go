package schedule

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// estimatorWeight is the weight of a new observation in a moving average.
const estimatorWeight = 0.1

// movingAverages holds an exponential moving average for each program name. It is safe
// for concurrent use; reads take no lock.
type movingAverages struct {
	mutex    sync.Mutex
	averages atomic.Pointer[map[structs.ProgramName]float64]
}

func (m *movingAverages) observe(name structs.ProgramName, value float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	averages := map[structs.ProgramName]float64{}
	if current := m.averages.Load(); current != nil {
		maps.Copy(averages, *current)
	}
	average, exists := averages[name]
	if !exists {
		average = value
	}
	averages[name] = average + estimatorWeight*(value-average)
	m.averages.Store(&averages)
}

// average returns the average for a name, or zero for a name without observations.
func (m *movingAverages) average(name structs.ProgramName) float64 {
	if averages := m.averages.Load(); averages != nil {
		return (*averages)[name]
	}
	return 0
}

// PauseEstimator estimates, by program name, the time between two model calls of a
// program, during which a tool runs or a person acts.
type PauseEstimator struct{ pauses movingAverages }

// NewPauseEstimator returns an estimator without observations.
func NewPauseEstimator() *PauseEstimator { return &PauseEstimator{} }

// Observe records the time between the end of a model call and the arrival of the
// program's next call.
func (p *PauseEstimator) Observe(name structs.ProgramName, pause time.Duration) {
	p.pauses.observe(name, float64(pause))
}

// Expected returns the expected duration of the next pause: the caller's hint if there
// is one, otherwise the average of earlier pauses of the name, or zero if there are
// none.
func (p *PauseEstimator) Expected(name structs.ProgramName, hint time.Duration) time.Duration {
	if hint > 0 {
		return hint
	}
	return time.Duration(p.pauses.average(name))
}

// GrowthEstimator estimates, by program name, the number of tokens by which prompts
// grow from a program's first call to its last.
type GrowthEstimator struct{ growth movingAverages }

// NewGrowthEstimator returns an estimator without observations.
func NewGrowthEstimator() *GrowthEstimator { return &GrowthEstimator{} }

// Observe records the growth of a program that has ended, in tokens.
func (g *GrowthEstimator) Observe(name structs.ProgramName, tokens int64) {
	g.growth.observe(name, float64(tokens))
}

// Expected returns the expected growth in tokens, or zero if there are no observations.
func (g *GrowthEstimator) Expected(name structs.ProgramName) int64 {
	return int64(g.growth.average(name))
}
