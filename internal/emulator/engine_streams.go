package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// maxPromptBytes bounds the body of a generation.
	maxPromptBytes = 64 << 20
	// busyDelay is when a refused client may come back.
	busyDelay = 100 * time.Millisecond
)

// refusal is why a stream was not accepted.
type refusal struct {
	status int
	kind   string
	detail string
}

func (r *refusal) Error() string { return r.detail }

var (
	refusedLeaving     = &refusal{http.StatusServiceUnavailable, "leaving", "the engine leaves"}
	refusedFull        = &refusal{http.StatusServiceUnavailable, "queue_full", "the queue is full"}
	refusedFault       = &refusal{http.StatusServiceUnavailable, "unavailable", "the engine takes no streams now"}
	refusedIncarnation = &refusal{http.StatusGone, "engine_gone", "another incarnation lives"}
	refusedUnknown     = &refusal{http.StatusGone, "engine_gone", "no such stream"}
	refusedModel       = &refusal{http.StatusConflict, "not_loaded", "the model or adapter is not loaded"}
	refusedLength      = &refusal{http.StatusUnprocessableEntity, "too_long", "the engine's memory is too small for the stream"}
)

func writeRefusal(w http.ResponseWriter, r *refusal) {
	writeProblemBody(w, r.status, problem{Type: r.kind, Detail: r.detail, RetryAfterMilliseconds: busyDelay.Milliseconds()})
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	request, err := readGenerateRequest(http.MaxBytesReader(w, r.Body, maxPromptBytes))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s, refused := e.accept(request)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	e.kick()
	if e.dice.hit(e.Faults.LoseAnswer.Get()) {
		e.leave(s)
		cutConnection()
	}
	e.copyStream(w, r, s, 0)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseUint(r.URL.Query().Get("offset"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "bad_request", "offset: not a number")
		return
	}
	s := e.join(r.PathValue("streamID"))
	if s == nil {
		writeRefusal(w, refusedUnknown)
		return
	}
	e.copyStream(w, r, s, offset)
}

// accept queues a stream and counts its first reader. A stream id that is known
// gives the stream that has it.
func (e *Engine) accept(r generateRequest) (*stream, *refusal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if r.Incarnation != 0 && r.Incarnation != e.incarnation {
		return nil, refusedIncarnation
	}
	if known, ok := e.batch.streams[r.StreamID]; ok {
		known.readers++
		return known, nil
	}
	if e.Faults.Leaving.Load() {
		return nil, refusedLeaving
	}
	if e.Faults.Refuse.Load() {
		return nil, refusedFault
	}
	if len(e.batch.waiting) >= e.config.MaxQueue {
		return nil, refusedFull
	}
	version, loaded := e.batch.version(r.Model, r.Adapter)
	if !loaded {
		return nil, refusedModel
	}
	if !e.batch.fits(promptTokens(r.segments) + r.MaxTokens) {
		return nil, refusedLength
	}
	now := time.Now()
	s := e.batch.accept(r, version, now)
	s.readers++
	e.records = append(e.records, s.record)
	e.observe(now)
	return s, nil
}

func promptTokens(segments [][]byte) int64 {
	var tokens int64
	for _, segment := range segments {
		tokens += TokenCount(segment)
	}
	return tokens
}

// join counts one more reader of a stream, or returns nil.
func (e *Engine) join(id string) *stream {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := e.batch.streams[id]
	if s != nil {
		s.readers++
	}
	return s
}

// leave undoes join.
func (e *Engine) leave(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.readers--
	s.readAt = time.Now()
}

// copyStream writes the answer from an offset as it comes, each part flushed.
func (e *Engine) copyStream(w http.ResponseWriter, r *http.Request, s *stream, offset uint64) {
	defer e.leave(s)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	if flusher.Flush() != nil {
		return
	}
	encoder := json.NewEncoder(w)
	for {
		next, ready := e.next(r.Context(), s, offset)
		if !ready {
			return
		}
		if e.dice.hit(e.Faults.BreakStream.Get()) {
			cutConnection()
		}
		if encoder.Encode(next) != nil || flusher.Flush() != nil {
			return
		}
		if next.Done || next.Error != "" {
			return
		}
		offset = next.Offset + uint64(len(next.Text))
	}
}

// next waits for the part after an offset that has had time to cross the
// network. It reports false when the reader left or the engine stopped.
func (e *Engine) next(ctx context.Context, s *stream, offset uint64) (chunk, bool) {
	for {
		part, ready, changed, wait := e.part(s, offset)
		if ready {
			return part, true
		}
		if wait > 0 {
			if sleep(ctx, wait) != nil {
				return chunk{}, false
			}
			continue
		}
		select {
		case <-ctx.Done():
			return chunk{}, false
		case <-changed:
		}
	}
}

// part returns the part after an offset, or what to wait for.
func (e *Engine) part(s *stream, offset uint64) (part chunk, ready bool, changed <-chan struct{}, wait time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delay := e.OneWayDelay.Get()
	now := time.Now()
	crossed := s.emitted(now.Add(-delay))
	if crossed > offset {
		return chunk{Offset: offset, Text: string(s.answer[offset:crossed])}, true, nil, 0
	}
	if written := uint64(min(len(s.emittedAt)*bytesPerToken, len(s.answer))); written > offset {
		first := s.emittedAt[offset/bytesPerToken]
		return chunk{}, false, nil, max(first.Add(delay).Sub(now), time.Microsecond)
	}
	if s.ended() {
		return lastChunk(s, offset), true, nil, 0
	}
	return chunk{}, false, s.wait(), 0
}

func lastChunk(s *stream, offset uint64) chunk {
	switch s.record.Outcome {
	case StreamFinished:
		return chunk{Offset: offset, Done: true, Usage: &usage{
			PromptTokens: s.record.PromptTokens,
			AnswerTokens: s.record.AnswerTokens,
			ReusedTokens: s.record.ReusedTokens,
		}}
	case StreamCancelled:
		return chunk{Offset: offset, Error: "cancelled"}
	default:
		return chunk{Offset: offset, Error: "engine_gone"}
	}
}

// cancel stops a stream; an unknown one counts as stopped.
func (e *Engine) cancel(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if s, known := e.batch.streams[id]; known {
		e.batch.end(s, StreamCancelled, time.Now())
	}
}

// release frees a holder's memory; it reports false when another incarnation lives.
func (e *Engine) release(incarnation structs.Incarnation, holder structs.ProgramID) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if incarnation != 0 && incarnation != e.incarnation {
		return false
	}
	e.batch.release(holder, time.Now())
	return true
}
