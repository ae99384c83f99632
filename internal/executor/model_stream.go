package executor

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// maxStreamResumes limits how often a broken stream is resumed at its engine.
	maxStreamResumes = 5
	resumeDelay      = 50 * time.Millisecond
	// cancelTimeout limits the request that cancels a stream at an engine.
	cancelTimeout = 2 * time.Second
)

// receiveAnswer reads the attempt's stream to its end into the answer buffer. Sending
// the same stream ID again continues the same stream. A new leader, or this one after
// a broken connection, therefore sends the same request again.
func (w *worker) receiveAnswer(ctx context.Context, attempt *modelAttempt) (engine.Usage, error) {
	buffer := w.shard.answerBuffer(attempt.call)
	buffer.beginAttempt(attempt.call.Attempt)
	var lastErr error
	for resumes := 0; resumes <= maxStreamResumes; resumes++ {
		if resumes > 0 && !pause.For(ctx, resumeDelay<<resumes) {
			return engine.Usage{}, lastErr
		}
		usage, err := w.receiveOnce(ctx, attempt, buffer)
		if err == nil {
			return usage, nil
		}
		err = attempt.lostStreamError(err)
		lastErr = err
		if !isResumable(err) || ctx.Err() != nil {
			return engine.Usage{}, err
		}
	}
	return engine.Usage{}, lastErr
}

// lostStreamError returns the error of an attempt whose stream ended with err. An engine that accepted the
// stream and takes no more connections has lost it, but the attempt has run.
func (a *modelAttempt) lostStreamError(err error) error {
	if a.accepted && failure.IsType(err, (&failure.EngineUnavailable{}).Type()) {
		return &failure.EngineGone{Engine: a.call.TargetAddress}
	}
	return err
}

// isResumable reports whether the engine may still have the stream.
func isResumable(err error) bool {
	if failure.IsType(err, (&failure.EngineGone{}).Type()) {
		return false
	}
	classified, ok := failure.As(err)
	return !ok || classified.Outcome() != failure.NotRun
}

func (w *worker) receiveOnce(ctx context.Context, attempt *modelAttempt, buffer *answerBuffer) (engine.Usage, error) {
	stream, err := w.openStream(ctx, attempt, buffer)
	if err != nil {
		return engine.Usage{}, err
	}
	defer func() { _ = stream.Close() }()
	attempt.accepted = true
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return engine.Usage{}, err
		}
		buffer.write(attempt.call.Attempt, chunk.Offset, chunk.Text)
		if chunk.Done {
			return chunk.Usage, nil
		}
	}
}

// openStream resumes a stream from which text was received, and sends the request
// otherwise.
func (w *worker) openStream(ctx context.Context, attempt *modelAttempt, buffer *answerBuffer) (*engine.Stream, error) {
	call := attempt.call
	client := w.shard.executor.options.EngineClient
	if received := buffer.length(); received > 0 {
		return client.Resume(ctx, call.TargetAddress, call.DispatchKey, received)
	}
	return client.Generate(ctx, call.TargetAddress, engine.GenerateRequest{
		Holder:             call.Program,
		StreamID:           call.DispatchKey,
		Incarnation:        call.TargetIncarnation,
		Model:              structs.ModelName(call.Target),
		Adapter:            call.Adapter,
		Segments:           attempt.segments,
		MaxTokens:          call.MaxAnswerTokens,
		Priority:           attempt.choice.Priority,
		RetainMilliseconds: attempt.choice.Retain.Milliseconds(),
	})
}

// cancelWhenAbandoned cancels the attempt when its caller cancels the call or its
// program ends. The returned function stops watching.
func (w *worker) cancelWhenAbandoned(ctx context.Context, cancel context.CancelFunc, number structs.CallNumber) func() {
	watching, stop := context.WithCancel(ctx)
	w.shard.executor.runInBackground(func() {
		for {
			changed, abandoned := w.isAbandoned(number)
			if abandoned {
				cancel()
				return
			}
			select {
			case <-changed:
			case <-watching.Done():
				return
			}
		}
	})
	return stop
}

func (w *worker) isAbandoned(number structs.CallNumber) (<-chan struct{}, bool) {
	s := w.shard
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call, exists := s.machine.Call(w.program, number)
	return s.changeChannel(w.program), exists && call.AbandonRequested
}

// cancelStream tells the engine to stop the stream. The release of the program's
// memory does not depend on it.
func (w *worker) cancelStream(call *program.Call) {
	ctx, cancel := context.WithTimeout(w.context, cancelTimeout)
	defer cancel()
	_ = w.shard.executor.options.EngineClient.Cancel(ctx, call.TargetAddress, call.DispatchKey)
}

// moveSource returns the address of the engine to copy the cache from, or "" if the
// policy chose none or the placement rules forbid the export.
func (w *worker) moveSource(choice schedule.Choice, status program.Status) string {
	if choice.MoveFrom == "" || choice.MoveFrom == choice.Engine {
		return ""
	}
	policy := placement.Policy{HistoryZones: status.HistoryZones, CacheZones: status.CacheZones}
	target := w.shard.executor.engineZone(choice.Engine)
	if placement.Check(policy, placement.KVExport, target) != nil {
		return ""
	}
	return w.shard.executor.engineAddress(choice.MoveFrom)
}

// moveCache copies the program's cache to the chosen engine. A failure only costs
// time, because the engine prefills what is missing.
func (w *worker) moveCache(ctx context.Context, attempt *modelAttempt) {
	if attempt.moveSourceAddress == "" || attempt.startedByFormerLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	_, err := w.shard.executor.options.EngineClient.ImportKV(ctx, attempt.call.TargetAddress, engine.ImportRequest{
		Incarnation:        attempt.call.TargetIncarnation,
		Holder:             w.program,
		Source:             attempt.moveSourceAddress,
		RetainMilliseconds: attempt.choice.Retain.Milliseconds(),
	})
	if err != nil {
		eventMoveFailed.Log("program", w.program, "from", attempt.moveSourceAddress, "to", attempt.call.TargetID, "cause", err)
	}
}
