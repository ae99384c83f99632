package emulator

import (
	"slices"
	"sort"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

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
