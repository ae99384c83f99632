package schedule

import (
	"math/rand/v2"
	"time"
)

// leastLoaded is the baseline that takes the engine with the fewest streams, by
// its report and this daemon's own dispatches since.
type leastLoaded struct{}

// Name returns "least-loaded".
func (leastLoaded) Name() string { return "least-loaded" }

// Choose returns the engine with the fewest streams; ties are broken at random.
func (leastLoaded) Choose(now time.Time, snapshot *Snapshot, request *Request, random *rand.Rand) (Choice, error) {
	candidates, err := eligible(now, snapshot, request)
	if err != nil {
		return Choice{}, err
	}
	return plainChoice(&snapshot.Engines[fewestStreams(snapshot, candidates, random)]), nil
}

// fewestStreams returns the candidate with the fewest streams; equal ones have
// the same chance.
func fewestStreams(snapshot *Snapshot, candidates []int, random *rand.Rand) int {
	best, ties := candidates[0], 1
	for _, index := range candidates[1:] {
		difference := streams(&snapshot.Engines[index]) - streams(&snapshot.Engines[best])
		switch {
		case difference < 0:
			best, ties = index, 1
		case difference == 0:
			ties++
			if random.IntN(ties) == 0 {
				best = index
			}
		}
	}
	return best
}

// streams counts the engine's streams, reported and dispatched since.
func streams(engine *Engine) int {
	return engine.Running + engine.Waiting + engine.OwnRunning
}

// plainChoice is a choice without hints to the engine.
func plainChoice(engine *Engine) Choice {
	return Choice{Engine: engine.ID, Address: engine.Address, Incarnation: engine.Incarnation}
}
