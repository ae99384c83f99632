package simulation

import (
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// stream is one model call on an engine.
type stream struct {
	holder       *run
	prompt       []segment
	promptTokens int64
	answer       segment
	maxAnswer    int64
	priority     int
	arrival      uint64
	retain       time.Duration
	// matched is the node that the stream pins, reserved its own tokens.
	matched      *cacheNode
	reserved     int64
	reused       int64
	prefillLeft  int64
	decodeLeft   int64
	context      int64
	prefilledNow int64
	// done is called when the answer is complete, failed when the engine went.
	done   func(usage)
	failed func()
}

// usage is what a stream used.
type usage struct {
	promptTokens, answerTokens, reusedTokens int64
	// service is the engine time the stream got, from its admission.
	service time.Duration
}

// engine models one model engine.
type engine struct {
	clock       *clock
	parameters  Parameters
	id          structs.EngineID
	zone        structs.ZoneName
	loaded      []structs.LoadedModel
	incarnation structs.Incarnation
	cache       *prefixCache
	evicted     func(*engine, *run, int64)
	waiting     []*stream
	running     []*stream
	admittedAt  map[*stream]time.Duration
	arrivals    uint64
	stepping    bool
	down        bool
	leaving     bool
	// exportFree is when the engine can start the next KV export.
	exportFree time.Duration
	// busy is the time spent in steps, prefilled the prompt tokens computed.
	busy      time.Duration
	prefilled int64
}

func newEngine(clock *clock, parameters Parameters, id structs.EngineID, zone structs.ZoneName, loaded []structs.LoadedModel) *engine {
	e := &engine{
		clock: clock, parameters: parameters, id: id, zone: zone, loaded: loaded, incarnation: 1,
		admittedAt: map[*stream]time.Duration{},
	}
	e.resetCache()
	return e
}

func (e *engine) resetCache() {
	e.cache = newPrefixCache(e.parameters.CacheTokens, func(owner *run, left int64) { e.evicted(e, owner, left) })
}

// submit queues a stream; it fails at once on an engine that is down.
func (e *engine) submit(s *stream) {
	if e.down {
		s.failed()
		return
	}
	e.arrivals++
	s.arrival = e.arrivals
	position, _ := slices.BinarySearchFunc(e.waiting, s, runsBefore)
	e.waiting = slices.Insert(e.waiting, position, s)
	e.wake()
}

// runsBefore orders the queue by priority, then by arrival.
func runsBefore(a, b *stream) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return int(a.arrival) - int(b.arrival)
}

func (e *engine) wake() {
	if !e.stepping && !e.down {
		e.step()
	}
}

// step runs one iteration of the batch and plans the next.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	duration := e.stepTime()
	e.busy += duration
	incarnation := e.incarnation
	e.clock.after(duration, func() {
		if e.incarnation == incarnation && !e.down {
			e.finishStep()
		}
	})
}

// admit moves waiting streams into the batch, in the queue's order, while there
// is a place and memory for them.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.parameters.MaxBatch {
		next := e.waiting[0]
		if !e.start(next) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
		e.admittedAt[next] = e.clock.now
	}
}

// start reserves a stream's memory and pins the prefix that it reuses.
func (e *engine) start(s *stream) bool {
	matched, length := e.cache.match(s.prompt)
	// The last prompt token is always computed: it gives the first answer token.
	length = min(length, s.promptTokens-1)
	pin(matched, 1)
	need := s.promptTokens - length + s.maxAnswer
	if !e.cache.reserve(e.clock.now, need) {
		pin(matched, -1)
		return false
	}
	s.matched, s.reserved, s.reused = matched, need, length
	s.prefillLeft = s.promptTokens - length
	s.decodeLeft = s.answer.tokens
	s.context = s.promptTokens
	return true
}

func pin(node *cacheNode, change int) {
	if node != nil {
		node.pins += change
	}
}

// stepTime plans the step's prefill and returns how long the step takes.
func (e *engine) stepTime() time.Duration {
	var decoding, context int64
	chunk := e.parameters.PrefillChunk
	for _, s := range e.running {
		s.prefilledNow = min(s.prefillLeft, chunk)
		chunk -= s.prefilledNow
		if s.prefillLeft == 0 {
			decoding++
			context += s.context
		}
	}
	prefilled := e.parameters.PrefillChunk - chunk
	e.prefilled += prefilled
	return e.parameters.StepBase +
		time.Duration(decoding)*e.parameters.StepPerStream +
		time.Duration(context)*e.parameters.StepPerThousandContext/1_000 +
		time.Duration(prefilled)*e.parameters.PrefillPerToken
}

// finishStep applies the step's effect and ends the streams that are complete.
func (e *engine) finishStep() {
	var ended []*stream
	left := e.running[:0]
	for _, s := range e.running {
		e.advance(s)
		if s.prefillLeft == 0 && s.decodeLeft <= 0 {
			ended = append(ended, s)
			continue
		}
		left = append(left, s)
	}
	clear(e.running[len(left):])
	e.running = left
	for _, s := range ended {
		e.finish(s)
	}
	e.step()
}

// advance gives a stream its share of the step: prompt tokens or one answer
// token. The step that ends the prefill gives the first answer token too.
func (e *engine) advance(s *stream) {
	if s.prefillLeft > 0 {
		s.prefillLeft -= s.prefilledNow
		if s.prefillLeft > 0 {
			return
		}
		e.keepPrompt(s)
	}
	s.decodeLeft--
	s.context++
}

// keepPrompt puts a prefilled prompt into the prefix tree, where other streams
// find it, and pins it in place of the shorter prefix.
func (e *engine) keepPrompt(s *stream) {
	before := e.cache.used
	node := e.cache.insert(e.clock.now, s.holder, s.prompt, s.retain)
	added := e.cache.used - before
	e.cache.reserved -= added
	s.reserved -= added
	pin(node, 1)
	pin(s.matched, -1)
	s.matched = node
}

func (e *engine) finish(s *stream) {
	e.cache.reserved -= s.reserved
	e.cache.insert(e.clock.now, s.holder, append(slices.Clone(s.prompt), s.answer), s.retain)
	pin(s.matched, -1)
	service := e.clock.now - e.admittedAt[s]
	delete(e.admittedAt, s)
	s.done(usage{
		promptTokens: s.promptTokens, answerTokens: s.answer.tokens, reusedTokens: s.reused, service: service,
	})
}

// crash loses the engine's memory and streams; it comes back after a while.
func (e *engine) crash() {
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	clear(e.admittedAt)
	e.down = true
	e.stepping = false
	e.incarnation++
	e.resetCache()
	for _, s := range lost {
		s.failed()
	}
	e.clock.after(e.parameters.RestartTime, func() { e.down = false })
}

// status is the engine's load report of this moment.
func (e *engine) status() structs.EngineStatus {
	var queued int64
	for _, s := range e.running {
		queued += s.prefillLeft
	}
	for _, s := range e.waiting {
		queued += s.promptTokens
	}
	return structs.EngineStatus{
		ID: e.id, Incarnation: e.incarnation, Zone: e.zone, Address: "http://" + string(e.id), Role: structs.RoleMixed,
		Loaded:              e.loaded,
		CacheCapacityTokens: e.parameters.CacheTokens, CacheUsedTokens: e.cache.used + e.cache.reserved,
		Running: len(e.running), Waiting: len(e.waiting), QueuedTokens: queued,
		MaxBatch: e.parameters.MaxBatch, Leaving: e.leaving,
	}
}
