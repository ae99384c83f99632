package schedule

import (
	"math/rand/v2"
	"sync/atomic"
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
	return engine.Running + engine.Waiting + engine.DispatchedStreams
}

// plainChoice is a choice without hints to the engine.
func plainChoice(engine *Engine) Choice {
	return Choice{Engine: engine.ID, Address: engine.Address, Incarnation: engine.Incarnation}
}

// randomTwo is the baseline that takes the less loaded of two random engines.
type randomTwo struct{}

// Name returns "random-two".
func (randomTwo) Name() string { return "random-two" }

// Choose returns the one with fewer streams of two candidates drawn at random.
func (randomTwo) Choose(now time.Time, snapshot *Snapshot, request *Request, random *rand.Rand) (Choice, error) {
	candidates, err := eligible(now, snapshot, request)
	if err != nil {
		return Choice{}, err
	}
	const drawn = 2
	sampled := sample(candidates, drawn, random)
	return plainChoice(&snapshot.Engines[fewestStreams(snapshot, sampled, random)]), nil
}

// roundRobin is the baseline that takes the engines in turn.
type roundRobin struct{ turn atomic.Uint64 }

// Name returns "round-robin".
func (*roundRobin) Name() string { return "round-robin" }

// Choose returns the next candidate in turn.
func (p *roundRobin) Choose(now time.Time, snapshot *Snapshot, request *Request, _ *rand.Rand) (Choice, error) {
	candidates, err := eligible(now, snapshot, request)
	if err != nil {
		return Choice{}, err
	}
	turn := p.turn.Add(1) - 1
	return plainChoice(&snapshot.Engines[candidates[turn%uint64(len(candidates))]]), nil
}

// affinity is the baseline that always follows the cache: it takes the engine
// believed to hold the longest prefix of the program, or of its parent, and the
// least loaded one where none holds any.
type affinity struct{}

// Name returns "affinity".
func (affinity) Name() string { return "affinity" }

// Choose returns the engine with the longest cached prefix.
func (affinity) Choose(now time.Time, snapshot *Snapshot, request *Request, random *rand.Rand) (Choice, error) {
	candidates, err := eligible(now, snapshot, request)
	if err != nil {
		return Choice{}, err
	}
	best, longest := -1, int64(0)
	for _, index := range candidates {
		if cached := request.cachedOn(snapshot.Engines[index].ID); cached > longest {
			best, longest = index, cached
		}
	}
	if best < 0 {
		best = fewestStreams(snapshot, candidates, random)
	}
	return plainChoice(&snapshot.Engines[best]), nil
}

// sample returns up to count candidates drawn at random without repetition. It
// reorders the candidates.
func sample(candidates []int, count int, random *rand.Rand) []int {
	count = min(count, len(candidates))
	for index := range count {
		other := index + random.IntN(len(candidates)-index)
		candidates[index], candidates[other] = candidates[other], candidates[index]
	}
	return candidates[:count]
}
