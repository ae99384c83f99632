package schedule

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// leastLoaded is a baseline policy that chooses the engine with the fewest streams,
// according to its last report and this daemon's dispatches since then.
type leastLoaded struct{}

// Name returns "least-loaded".
func (leastLoaded) Name() string { return "least-loaded" }

// Choose returns the engine with the fewest streams; ties are broken at random.
func (leastLoaded) Choose(now time.Time, snapshot *Snapshot, request *Request, random *rand.Rand) (Choice, error) {
	candidates, err := eligibleEngines(now, snapshot, request)
	if err != nil {
		return Choice{}, err
	}
	return choiceWithoutHints(&snapshot.Engines[fewestStreams(snapshot, candidates, random)]), nil
}

// fewestStreams returns the candidate with the fewest streams. Ties are broken at
// random with equal probability.
func fewestStreams(snapshot *Snapshot, candidates []int, random *rand.Rand) int {
	best, ties := candidates[0], 1
	for _, index := range candidates[1:] {
		difference := streamCount(&snapshot.Engines[index]) - streamCount(&snapshot.Engines[best])
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

// streamCount returns the engine's number of streams: those reported and those
// dispatched since the report.
func streamCount(engine *Engine) int {
	return engine.Running + engine.Waiting + engine.DispatchedStreams
}

// choiceWithoutHints returns a choice without hints to the engine.
func choiceWithoutHints(engine *Engine) Choice {
	return Choice{Engine: engine.ID, Address: engine.Address, Incarnation: engine.Incarnation}
}

// randomTwo is a baseline policy that chooses the less loaded of two random engines.
type randomTwo struct{}

// Name returns "random-two".
func (randomTwo) Name() string { return "random-two" }

// Choose returns the engine with fewer streams of two random candidates.
func (randomTwo) Choose(now time.Time, snapshot *Snapshot, request *Request, random *rand.Rand) (Choice, error) {
	candidates, err := eligibleEngines(now, snapshot, request)
	if err != nil {
		return Choice{}, err
	}
	const sampleSize = 2
	sampled := sample(candidates, sampleSize, random)
	return choiceWithoutHints(&snapshot.Engines[fewestStreams(snapshot, sampled, random)]), nil
}

// roundRobin is a baseline policy that chooses the engines in turn.
type roundRobin struct{ nextIndex atomic.Uint64 }

// Name returns "round-robin".
func (*roundRobin) Name() string { return "round-robin" }

// Choose returns the next candidate in turn.
func (p *roundRobin) Choose(now time.Time, snapshot *Snapshot, request *Request, _ *rand.Rand) (Choice, error) {
	candidates, err := eligibleEngines(now, snapshot, request)
	if err != nil {
		return Choice{}, err
	}
	index := p.nextIndex.Add(1) - 1
	return choiceWithoutHints(&snapshot.Engines[candidates[index%uint64(len(candidates))]]), nil
}

// affinity is a baseline policy that always follows the cache: it chooses the engine
// assumed to hold the longest prefix of the program, or of its parent, and the least
// loaded engine if none holds any.
type affinity struct{}

// Name returns "affinity".
func (affinity) Name() string { return "affinity" }

// Choose returns the engine with the longest cached prefix.
func (affinity) Choose(now time.Time, snapshot *Snapshot, request *Request, random *rand.Rand) (Choice, error) {
	candidates, err := eligibleEngines(now, snapshot, request)
	if err != nil {
		return Choice{}, err
	}
	best, longest := -1, int64(0)
	for _, index := range candidates {
		if cached := request.cachedTokensOn(snapshot.Engines[index].ID); cached > longest {
			best, longest = index, cached
		}
	}
	if best < 0 {
		best = fewestStreams(snapshot, candidates, random)
	}
	return choiceWithoutHints(&snapshot.Engines[best]), nil
}

// sample returns up to count random candidates without repetition. It reorders the
// candidates.
func sample(candidates []int, count int, random *rand.Rand) []int {
	count = min(count, len(candidates))
	for index := range count {
		other := index + random.IntN(len(candidates)-index)
		candidates[index], candidates[other] = candidates[other], candidates[index]
	}
	return candidates[:count]
}
