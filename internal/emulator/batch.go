package emulator

import (
	"slices"
	"sort"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Factors by which a role changes the prefill tokens of a step.
const (
	prefillRoleFactor = 4
	decodeRoleDivisor = 2
)

// step is the work of one step of the batch.
type step struct {
	decoding []*stream
	prefill  []prefillShare
	span     time.Duration
}

// prefillShare is the part of a stream's prompt that a step prefills.
type prefillShare struct {
	stream *stream
	tokens int64
}

// batch is the engine's scheduler of streams and its memory: one incarnation.
// It does no locking and reads no clock.
type batch struct {
	config      EngineConfig
	incarnation structs.Incarnation
	role        structs.EngineRole
	loaded      []structs.LoadedModel
	loading     []structs.LoadedModel
	fence       uint64
	cache       *prefixCache
	streams     map[string]*stream
	waiting     []*stream
	running     []*stream
	sequence    uint64
}

func newBatch(config EngineConfig, incarnation structs.Incarnation) *batch {
	return &batch{
		config:      config,
		incarnation: incarnation,
		role:        config.Role,
		loaded:      append([]structs.LoadedModel(nil), config.Loaded...),
		cache:       newPrefixCache(config.CacheTokens, config.HoldTokens),
		streams:     map[string]*stream{},
	}
}

// version returns the loaded version of a model with an adapter.
func (b *batch) version(model structs.ModelName, adapter string) (string, bool) {
	for _, loaded := range b.loaded {
		if loaded.Model == model && (adapter == "" || slices.Contains(loaded.Adapters, adapter)) {
			return loaded.Version, true
		}
	}
	return "", false
}

// accept queues a new stream.
func (b *batch) accept(r generateRequest, version string, now time.Time) *stream {
	b.sequence++
	root := rootDigest(r.Model, version, r.Adapter)
	links := chain(root, r.segments)
	digest := PromptDigest(r.segments)
	s := &stream{
		record: &StreamRecord{
			ID:           r.StreamID,
			Incarnation:  b.incarnation,
			Holder:       r.Holder,
			Model:        r.Model,
			Version:      version,
			Adapter:      r.Adapter,
			PromptDigest: digest,
			Segments:     len(r.segments),
			Priority:     r.Priority,
			Accepted:     now,
			Outcome:      StreamRunning,
		},
		root:     root,
		links:    links,
		retain:   time.Duration(r.RetainMilliseconds) * time.Millisecond,
		sequence: b.sequence,
		answer:   answerFrom(r.Model, r.Adapter, digest, r.MaxTokens),
		readAt:   now,
	}
	for _, l := range links {
		s.record.PromptTokens += l.tokens
	}
	b.cache.hold(r.Holder)
	b.streams[r.StreamID] = s
	b.waiting = append(b.waiting, s)
	return s
}

// fits reports whether a stream of so many tokens could ever run.
func (b *batch) fits(tokens int64) bool { return tokens+b.config.HoldTokens <= b.config.CacheTokens }

// admit moves waiting streams into the batch while there is room, in the
// queue's order; a stream without room holds back those behind it.
func (b *batch) admit(now time.Time) {
	sort.Slice(b.waiting, func(i, j int) bool { return b.waiting[i].before(b.waiting[j]) })
	for len(b.waiting) > 0 && len(b.running) < b.config.MaxBatch {
		if !b.start(b.waiting[0], now) {
			return
		}
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

// start takes the memory of a stream; it reports false when there is none.
func (b *batch) start(s *stream, now time.Time) bool {
	cached := b.cache.match(s.links)
	retainUntil := now.Add(s.retain)
	b.cache.pin(s.record.Holder, s.links, cached, now, retainUntil)
	var missing int64
	for _, l := range s.links[cached:] {
		missing += l.tokens
	}
	private := missing + TokenCount(s.answer)
	if !b.cache.reserve(private, now) {
		b.cache.unpin(s.links, cached)
		return false
	}
	s.running = true
	s.pinned = cached
	s.private = private
	s.prefillLeft = missing
	s.record.Started = now
	s.record.PrefilledTokens = missing
	s.record.ReusedTokens = s.record.PromptTokens - missing
	for _, l := range s.links[cached:] {
		if b.config.History.has(s.record.Holder, l.digest) {
			s.record.WastedTokens += l.tokens
		}
	}
	return true
}

// plan admits streams and returns the next step; it reports false when there is
// nothing to do.
func (b *batch) plan(now time.Time) (step, bool) {
	b.admit(now)
	if len(b.running) == 0 {
		return step{}, false
	}
	var next step
	budget := b.prefillBudget()
	var prefilled, context int64
	for _, s := range b.running {
		if s.prefillLeft == 0 {
			next.decoding = append(next.decoding, s)
			context += s.context()
			continue
		}
		share := min(s.prefillLeft, budget)
		if share > 0 {
			next.prefill = append(next.prefill, prefillShare{stream: s, tokens: share})
			budget -= share
			prefilled += share
		}
	}
	next.span = b.span(len(next.decoding), context, prefilled)
	return next, true
}

func (b *batch) prefillBudget() int64 {
	switch b.role {
	case structs.RolePrefill:
		return b.config.Timing.PrefillChunkTokens * prefillRoleFactor
	case structs.RoleDecode:
		return b.config.Timing.PrefillChunkTokens / decodeRoleDivisor
	default:
		return b.config.Timing.PrefillChunkTokens
	}
}

// span returns the time of a step.
func (b *batch) span(decoding int, context, prefilled int64) time.Duration {
	timing := b.config.Timing
	span := timing.StepBase.Seconds() +
		timing.StepPerStream.Seconds()*float64(decoding) +
		timing.StepPerThousandTokens.Seconds()*float64(context)/1000 +
		float64(prefilled)/timing.PrefillTokensPerSecond
	return time.Duration(span * timing.Scale * float64(time.Second))
}

// apply gives the step's tokens at its end. Streams that ended meanwhile get none.
func (b *batch) apply(done step, now time.Time) {
	for _, s := range done.decoding {
		if s.running {
			b.decode(s, now)
		}
	}
	for _, share := range done.prefill {
		s := share.stream
		if !s.running {
			continue
		}
		s.prefillLeft -= share.tokens
		if s.prefillLeft == 0 {
			b.prefilled(s, now)
		}
	}
}

// prefilled turns the prompt's private tokens into blocks.
func (b *batch) prefilled(s *stream, now time.Time) {
	var parent *block
	if s.pinned > 0 {
		parent = b.cache.blocks[s.links[s.pinned-1].digest]
	}
	for _, l := range s.links[s.pinned:] {
		b.cache.free(l.tokens)
		s.private -= l.tokens
		parent = b.cache.insert(parent, l, s.record.Model, s.record.Holder, now, now.Add(s.retain))
		parent.pins++
		b.config.History.add(s.record.Holder, l.digest)
	}
	s.pinned = len(s.links)
	b.cache.changed(s.record.Holder, true, b.cache.holds[s.record.Holder].tokens)
}

// decode gives one token, the last of which ends the stream.
func (b *batch) decode(s *stream, now time.Time) {
	if len(s.emittedAt) == 0 {
		s.record.FirstToken = now
	}
	if len(s.emittedAt)*bytesPerToken < len(s.answer) {
		s.emittedAt = append(s.emittedAt, now)
		s.record.AnswerTokens++
	}
	if len(s.emittedAt)*bytesPerToken >= len(s.answer) {
		b.finish(s, now)
		return
	}
	s.notify()
}

// finish keeps the answer's cache as one more block of the chain, so that a
// prompt that goes on after it finds it.
func (b *batch) finish(s *stream, now time.Time) {
	var parent *block
	digest := s.root
	if s.pinned > 0 {
		parent = b.cache.blocks[s.links[s.pinned-1].digest]
		digest = parent.digest
	}
	if len(s.answer) > 0 {
		answer := link{digest: digest.extend(s.answer), tokens: TokenCount(s.answer)}
		b.cache.free(answer.tokens)
		s.private -= answer.tokens
		b.cache.insert(parent, answer, s.record.Model, s.record.Holder, now, now.Add(s.retain))
		b.config.History.add(s.record.Holder, answer.digest)
		b.cache.changed(s.record.Holder, true, b.cache.holds[s.record.Holder].tokens)
	}
	b.end(s, StreamFinished, now)
}

// end stops a stream and gives its private memory back.
func (b *batch) end(s *stream, outcome StreamOutcome, now time.Time) {
	if s.ended() {
		return
	}
	s.record.Outcome = outcome
	s.record.Ended = now
	if s.running {
		b.cache.unpin(s.links, s.pinned)
		b.cache.free(s.private)
		s.private = 0
		s.running = false
	}
	b.running = without(b.running, s)
	b.waiting = without(b.waiting, s)
	s.notify()
}

func without(list []*stream, gone *stream) []*stream {
	for i, s := range list {
		if s == gone {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// release ends the holder's streams and frees its memory.
func (b *batch) release(holder structs.ProgramID, now time.Time) {
	for _, s := range b.streams {
		if s.record.Holder == holder {
			b.end(s, StreamCancelled, now)
		}
	}
	b.cache.release(holder)
}

// sweep ends streams that nobody reads and forgets old ones.
func (b *batch) sweep(now time.Time) {
	for id, s := range b.streams {
		if !s.ended() && s.readers == 0 && now.Sub(s.readAt) > b.config.DisconnectGrace {
			b.end(s, StreamAbandoned, now)
		}
		if s.ended() && s.readers == 0 && now.Sub(s.record.Ended) > b.config.FinishedRetention {
			delete(b.streams, id)
		}
	}
}

// status returns the load as it is now.
func (b *batch) status() structs.EngineStatus {
	status := structs.EngineStatus{
		ID:                  b.config.ID,
		Incarnation:         b.incarnation,
		Zone:                b.config.Zone,
		Role:                b.role,
		Loaded:              b.loaded,
		Loading:             b.loading,
		Fence:               b.fence,
		CacheCapacityTokens: b.config.CacheTokens,
		CacheUsedTokens:     b.cache.used,
		Running:             len(b.running),
		Waiting:             len(b.waiting),
		MaxBatch:            b.config.MaxBatch,
	}
	for _, s := range b.running {
		status.QueuedTokens += s.prefillLeft
	}
	for _, s := range b.waiting {
		status.QueuedTokens += s.record.PromptTokens
	}
	return status
}
