package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// sampledEngines is the number of engines that are scored in addition to those that
// hold cache of the program.
const sampledEngines = 8

// programAware is the default policy. It predicts the cost of each candidate for the
// program and for others, chooses the cheapest, and gives the engine hints on queue
// order, cache retention and KV cache moves.
type programAware struct {
	name    string
	model   CostModel
	scorers []Scorer
	options options
}

// options enable parts of the policy. Disabling a part shows what it contributes.
type options struct {
	moves, retention, queueOrder, prefixPlacement, admission bool
}

// defaultOptions returns the options of the default policy. The design note compares
// them.
func defaultOptions() options {
	return options{moves: true, retention: true, queueOrder: true, prefixPlacement: true, admission: true}
}

func newProgramAware(name string, options options) *programAware {
	policy := &programAware{name: name, model: DefaultCostModel(), options: options}
	model := &policy.model
	policy.scorers = []Scorer{
		queueWait{model}, decodeTime{model}, cacheAffinity{model, options.moves}, cacheEviction{model},
	}
	if options.prefixPlacement {
		policy.scorers = append(policy.scorers, sharedPrefix{model, SharedPrefixBytes / 4})
	}
	return policy
}

// Name returns the name under which the policy is registered.
func (p *programAware) Name() string { return p.name }

// Choose returns the candidate with the lowest predicted cost.
func (p *programAware) Choose(now time.Time, snapshot *Snapshot, request *Request, random *rand.Rand) (Choice, error) {
	eligible, err := eligibleEngines(now, snapshot, request)
	if err != nil {
		return Choice{}, err
	}
	candidates := candidateEngines(snapshot, request, eligible, random)
	admissibleCandidates := candidates
	if p.options.admission {
		admissibleCandidates = admissible(now, snapshot, request, candidates)
	}
	if len(admissibleCandidates) == 0 {
		return p.choiceWithHints(now, snapshot, p.cheapest(now, snapshot, request, candidates), request, admissionInterval)
	}
	return p.choiceWithHints(now, snapshot, p.cheapest(now, snapshot, request, admissibleCandidates), request, 0)
}

// cheapest returns the candidate with the lowest predicted cost.
func (p *programAware) cheapest(now time.Time, snapshot *Snapshot, request *Request, candidates []int) *Engine {
	var best *Engine
	var lowestCost time.Duration
	for _, index := range candidates {
		engine := &snapshot.Engines[index]
		cost := p.cost(now, engine, request)
		if best == nil || cost < lowestCost {
			best, lowestCost = engine, cost
		}
	}
	return best
}

func (p *programAware) cost(now time.Time, engine *Engine, request *Request) time.Duration {
	var total time.Duration
	for _, scorer := range p.scorers {
		total += scorer.Score(now, engine, request)
	}
	return total
}

// candidateEngines returns the engines that hold cache of the program, its parent's
// engine, and a random sample of the others.
func candidateEngines(snapshot *Snapshot, request *Request, eligible []int, random *rand.Rand) []int {
	withCache := 0
	for position, index := range eligible {
		id := snapshot.Engines[index].ID
		if request.cachedTokensOn(id) > 0 || id == request.ParentEngine {
			eligible[withCache], eligible[position] = eligible[position], eligible[withCache]
			withCache++
		}
	}
	sampled := sample(eligible[withCache:], sampledEngines, random)
	return eligible[:withCache+len(sampled)]
}

// choiceWithHints returns the choice of an engine with hints; deferFor is how long to
// defer the call first. The error is a *failure.Overloaded if the call could not start
// before the deadline.
func (p *programAware) choiceWithHints(now time.Time, snapshot *Snapshot, engine *Engine, request *Request, deferFor time.Duration) (Choice, error) {
	choice := choiceWithoutHints(engine)
	choice.Defer = deferFor
	uncached := uncachedTokens(engine, request)
	wait := queueWait{&p.model}.Score(now, engine, request)
	if source, cached := p.moveSource(snapshot, engine, request); cached > 0 {
		choice.MoveFrom = source
		wait += p.model.MoveSetup + time.Duration(cached-request.cachedTokensOn(engine.ID))*p.model.MovePerToken
		uncached = max(0, request.PromptTokens-cached)
	}
	choice.PredictedWait = wait + time.Duration(uncached)*p.model.PrefillPerToken
	if lateness := delayBeyondDeadline(now, request, choice.PredictedWait); lateness > 0 {
		return Choice{}, &failure.Overloaded{Resource: "engines", Wait: lateness}
	}
	if p.options.queueOrder {
		choice.Priority = enginePriority(request)
	}
	if p.options.retention {
		choice.Retain = cacheRetention(request)
	}
	return choice, nil
}

// moveSource returns the engine from which moving the program's cache to the chosen
// engine is cheaper than recomputing it, and the length of that cache; zero if there is
// none.
func (p *programAware) moveSource(snapshot *Snapshot, engine *Engine, request *Request) (structs.EngineID, int64) {
	if !p.options.moves {
		return "", 0
	}
	affinity := cacheAffinity{&p.model, true}
	for index := range snapshot.Engines {
		source := &snapshot.Engines[index]
		cached := request.cachedTokensOn(source.ID)
		if source.ID == engine.ID || cached != request.longestCachedElsewhere(engine) || cached == 0 {
			continue
		}
		if !(permittedZone{}).Allow(time.Time{}, source, request) {
			continue
		}
		if affinity.moveCost(engine, request, cached) < affinity.computeCost(engine, uncachedTokens(engine, request)) {
			return source.ID, cached
		}
	}
	return "", 0
}

// delayBeyondDeadline returns how long after the deadline a call would start after the
// predicted wait, or zero if it would start in time. A program whose deadline has
// already passed is not rejected, because its caller is still waiting.
func delayBeyondDeadline(now time.Time, request *Request, wait time.Duration) time.Duration {
	remaining := request.Deadline.Sub(now)
	if request.Deadline.IsZero() || remaining <= 0 || wait <= remaining {
		return 0
	}
	return wait - remaining
}
