package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// sampledEngines is how many engines are scored besides those that hold some of
// the program's cache.
const sampledEngines = 8

// programAware is the product's policy. It predicts what each candidate costs
// the program and the others, takes the cheapest, and hints order, retention and
// moves to the engine.
type programAware struct {
	name    string
	model   CostModel
	scorers []Scorer
	options options
}

// options switch parts of the policy off, to measure what each is worth.
type options struct {
	moves, retention, order, homes, admission bool
}

// defaultOptions are the parts that measurements support; the design note holds
// the figures.
func defaultOptions() options {
	return options{moves: true, retention: true, order: true, homes: true, admission: true}
}

func newProgramAware(name string, chosen options) *programAware {
	policy := &programAware{name: name, model: DefaultCostModel(), options: chosen}
	model := &policy.model
	policy.scorers = []Scorer{
		predictedWait{model}, decodeSpeed{model}, cacheAffinity{model, chosen.moves}, cacheRoom{model},
	}
	if chosen.homes {
		policy.scorers = append(policy.scorers, sharedPrefix{model, SharedPrefixBytes / 4})
	}
	return policy
}

// Name returns the name under which the policy is registered.
func (p *programAware) Name() string { return p.name }

// Choose returns the candidate with the lowest predicted cost.
func (p *programAware) Choose(now time.Time, snapshot *Snapshot, request *Request, random *rand.Rand) (Choice, error) {
	passed, err := eligible(now, snapshot, request)
	if err != nil {
		return Choice{}, err
	}
	drawn := candidates(snapshot, request, passed, random)
	withRoom := drawn
	if p.options.admission {
		withRoom = admitting(now, snapshot, request, drawn)
	}
	if len(withRoom) == 0 {
		return p.choice(now, snapshot, p.cheapest(now, snapshot, request, drawn), request, admissionInterval)
	}
	return p.choice(now, snapshot, p.cheapest(now, snapshot, request, withRoom), request, 0)
}

// cheapest returns the candidate with the lowest predicted cost.
func (p *programAware) cheapest(now time.Time, snapshot *Snapshot, request *Request, drawn []int) *Engine {
	var best *Engine
	var lowest time.Duration
	for _, index := range drawn {
		engine := &snapshot.Engines[index]
		cost := p.cost(now, engine, request)
		if best == nil || cost < lowest {
			best, lowest = engine, cost
		}
	}
	return best
}

func (p *programAware) cost(now time.Time, engine *Engine, request *Request) time.Duration {
	var sum time.Duration
	for _, scorer := range p.scorers {
		sum += scorer.Score(now, engine, request)
	}
	return sum
}

// candidates returns the engines that hold some of the program's cache, its
// parent's engine, and a random sample of the others.
func candidates(snapshot *Snapshot, request *Request, passed []int, random *rand.Rand) []int {
	known := 0
	for position, index := range passed {
		id := snapshot.Engines[index].ID
		if request.cachedOn(id) > 0 || id == request.ParentEngine {
			passed[known], passed[position] = passed[position], passed[known]
			known++
		}
	}
	sampled := sample(passed[known:], sampledEngines, random)
	return passed[:known+len(sampled)]
}

// choice fills in the hints for the chosen engine; held is how long to hold the
// call back first. The error is a
// *failure.Overloaded where the call could not start before the deadline.
func (p *programAware) choice(now time.Time, snapshot *Snapshot, engine *Engine, request *Request, held time.Duration) (Choice, error) {
	made := plainChoice(engine)
	made.Defer = held
	tokens := missing(engine, request)
	wait := predictedWait{&p.model}.Score(now, engine, request)
	if source, held := p.moveSource(snapshot, engine, request); held > 0 {
		made.MoveFrom = source
		wait += p.model.MoveSetup + time.Duration(held-request.cachedOn(engine.ID))*p.model.MovePerToken
		tokens = max(0, request.PromptTokens-held)
	}
	made.PredictedWait = wait + time.Duration(tokens)*p.model.PrefillPerToken
	if late := beyondDeadline(now, request, made.PredictedWait); late > 0 {
		return Choice{}, &failure.Overloaded{Resource: "engines", Wait: late}
	}
	if p.options.order {
		made.Priority = enginePriority(request)
	}
	if p.options.retention {
		made.Retain = retention(request)
	}
	return made, nil
}

// moveSource returns the engine whose copy of the program's cache is worth
// moving to the chosen engine, and its length; zero where none is.
func (p *programAware) moveSource(snapshot *Snapshot, engine *Engine, request *Request) (structs.EngineID, int64) {
	if !p.options.moves {
		return "", 0
	}
	affinity := cacheAffinity{&p.model, true}
	for index := range snapshot.Engines {
		source := &snapshot.Engines[index]
		held := request.cachedOn(source.ID)
		if source.ID == engine.ID || held != request.longestCached(engine) || held == 0 {
			continue
		}
		if !(permittedPlace{}).Allow(time.Time{}, source, request) {
			continue
		}
		if affinity.move(engine, request, held) < affinity.compute(engine, missing(engine, request)) {
			return source.ID, held
		}
	}
	return "", 0
}

// beyondDeadline returns how long after the deadline a call would start that
// waits as predicted, and zero where it would start in time. A program that is
// late already is not refused for it: its caller still waits.
func beyondDeadline(now time.Time, request *Request, wait time.Duration) time.Duration {
	left := request.Deadline.Sub(now)
	if request.Deadline.IsZero() || left <= 0 || wait <= left {
		return 0
	}
	return wait - left
}
