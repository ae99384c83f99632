package emulator

import (
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
