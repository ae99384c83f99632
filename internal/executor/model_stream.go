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
	// maxResumes bounds how often a broken stream is taken up at its engine.
	maxResumes  = 5
	resumeDelay = 50 * time.Millisecond
	// cancelTimeout bounds telling an engine that a stream is not wanted.
	cancelTimeout = 2 * time.Second
)

// receive reads the attempt's stream to its end into the live answer. The
// stream's id makes a repeated sending the same stream, so that a new leader,
// or this one after a broken connection, sends the same request again.
func (w *worker) receive(ctx context.Context, attempt *modelAttempt) (engine.Usage, error) {
	live := w.shard.liveFor(attempt.call)
	live.begin(attempt.call.Attempt)
	var lost error
	for try := 0; try <= maxResumes; try++ {
		if try > 0 && !pause.For(ctx, resumeDelay<<try) {
			return engine.Usage{}, lost
		}
		usage, err := w.receiveOnce(ctx, attempt, live)
		if err == nil {
			return usage, nil
		}
		lost = err
		if !resumable(err) || ctx.Err() != nil {
			return engine.Usage{}, err
		}
	}
	return engine.Usage{}, lost
}

// resumable reports whether the same stream may still be had from its engine.
func resumable(err error) bool {
	if failure.IsType(err, (&failure.EngineGone{}).Type()) {
		return false
	}
	known, ok := failure.As(err)
	return !ok || known.Outcome() != failure.NotRun
}

func (w *worker) receiveOnce(ctx context.Context, attempt *modelAttempt, live *liveAnswer) (engine.Usage, error) {
	stream, err := w.openStream(ctx, attempt, live)
	if err != nil {
		return engine.Usage{}, err
	}
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return engine.Usage{}, err
		}
		live.write(attempt.call.Attempt, chunk.Offset, chunk.Text)
		if chunk.Done {
			return chunk.Usage, nil
		}
	}
}

// openStream resumes a stream that has brought text, and sends the request
// otherwise.
func (w *worker) openStream(ctx context.Context, attempt *modelAttempt, live *liveAnswer) (*engine.Stream, error) {
	call := attempt.call
	client := w.shard.executor.options.EngineClient
	if have := live.length(); have > 0 {
		return client.Resume(ctx, call.TargetAddress, call.DispatchKey, have)
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

// watchAbandon cancels the attempt when its caller gives it up or its program
// ends. The returned function stops the watch.
func (w *worker) watchAbandon(ctx context.Context, cancel context.CancelFunc, number structs.CallNumber) func() {
	watching, stop := context.WithCancel(ctx)
	w.shard.executor.task(func() {
		for {
			changed, abandoned := w.abandoned(number)
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

func (w *worker) abandoned(number structs.CallNumber) (<-chan struct{}, bool) {
	s := w.shard
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call, exists := s.machine.Call(w.program, number)
	return s.watch(w.program), exists && call.AbandonRequested
}

// cancelStream tells the engine to stop. The release of the program's memory
// does not depend on it.
func (w *worker) cancelStream(call *program.Call) {
	ctx, cancel := context.WithTimeout(w.context, cancelTimeout)
	defer cancel()
	_ = w.shard.executor.options.EngineClient.Cancel(ctx, call.TargetAddress, call.DispatchKey)
}

// moveSource returns the address of the engine to copy cache from, or "" where
// the policy wants none or residency forbids the export.
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

// moveCache copies the program's cache to the chosen engine. A failure costs
// time alone: the engine prefills what it lacks.
func (w *worker) moveCache(ctx context.Context, attempt *modelAttempt) {
	if attempt.moveFrom == "" || attempt.taken {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	_, err := w.shard.executor.options.EngineClient.ImportKV(ctx, attempt.call.TargetAddress, engine.ImportRequest{
		Incarnation:        attempt.call.TargetIncarnation,
		Holder:             w.program,
		Source:             attempt.moveFrom,
		RetainMilliseconds: attempt.choice.Retain.Milliseconds(),
	})
	if err != nil {
		eventMoveFailed.Log("program", w.program, "from", attempt.moveFrom, "to", attempt.call.TargetID, "cause", err)
	}
}
