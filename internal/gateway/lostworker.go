package gateway

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// maxLateExaminations bounds the workers that are examined again after a probe without an answer.
const maxLateExaminations = 256

// lateProbeDelays are the times between the probes of a worker that does not answer.
var lateProbeDelays = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 2 * time.Second}

// attemptConnectionLost examines, in the background, whether the worker of a lost attempt has ended.
// attemptContext is the context of the attempt.
func (r *request) attemptConnectionLost(attemptContext context.Context, chosen directory.Worker, connection *worker.ConnectionProbe, cause error) {
	loss := connectionLoss(attemptContext, cause)
	if !loss.NeedsProbe() {
		return
	}
	state := &r.quarantine
	key := r.contentKey()
	lost := &lostAttempt{worker: chosen.ID, dialedAt: connection.DialedAt(), examined: make(chan struct{})}
	state.mutex.Lock()
	state.before.Key = key
	state.lost = append(state.lost, lost)
	state.mutex.Unlock()
	requestID := r.metadata.RequestID
	go func() {
		lost.verdict = r.gateway.probeWorker(chosen, loss)
		if lost.verdict == quarantine.Ended {
			r.gateway.workerEnded(state, requestID, chosen, lost)
		}
		r.gateway.metrics.recordLostWorker(lost.verdict)
		close(lost.examined)
		if lost.verdict == quarantine.Unknown {
			r.gateway.examineLate(state, requestID, chosen, lost, loss)
		}
	}()
}

// connectionLoss returns how the connection of an attempt was lost.
func connectionLoss(attemptContext context.Context, cause error) quarantine.ConnectionLoss {
	var silent *SilentWorker
	switch {
	case attemptContext.Err() != nil, errors.As(cause, &silent), errors.Is(cause, os.ErrDeadlineExceeded):
		return quarantine.LostCanceled
	case errors.Is(cause, io.EOF), errors.Is(cause, io.ErrUnexpectedEOF), errors.Is(cause, syscall.ECONNRESET), errors.Is(cause, syscall.EPIPE):
		return quarantine.LostClosed
	case errors.Is(cause, syscall.ETIMEDOUT), errors.Is(cause, syscall.EHOSTUNREACH), errors.Is(cause, syscall.ENETUNREACH):
		return quarantine.LostSilent
	}
	return quarantine.LostMalformed
}

// probeWorker returns whether the worker of a lost attempt has ended.
func (g *Gateway) probeWorker(chosen directory.Worker, loss quarantine.ConnectionLoss) quarantine.Verdict {
	evidence := quarantine.Evidence{Loss: loss, Replaced: g.isReplaced(chosen)}
	if evidence.Replaced {
		return quarantine.Judge(evidence)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*workerDialTimeout)
	defer cancel()
	switch err := g.pool.CheckListener(ctx, chosen.Address); {
	case err == nil:
		evidence.Probe = quarantine.ProbeAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		evidence.Probe = quarantine.ProbeRefused
	default:
		evidence.Probe = quarantine.ProbeUnanswered
	}
	evidence.Replaced = g.isReplaced(chosen)
	return quarantine.Judge(evidence)
}

// isReplaced reports whether another incarnation of a worker's instance is listed.
func (g *Gateway) isReplaced(chosen directory.Worker) bool {
	listed, found := g.directory.FindInstance(chosen.Instance)
	return found && listed.ID != chosen.ID
}

// workerEnded records that the worker of an attempt has ended, unless another attempt has shown that already,
// and tells the other gateways.
func (g *Gateway) workerEnded(state *quarantineState, requestID string, chosen directory.Worker, lost *lostAttempt) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.endIsRecorded(lost) {
		return
	}
	if state.endedAt == nil {
		state.endedAt = make(map[string]time.Time)
	}
	state.endedAt[chosen.ID] = time.Now()
	state.ends++
	var record quarantine.Record
	if state.isolated || state.sequential {
		record = g.quarantine.RecordUnorderedEnd(state.before)
	} else {
		record = g.quarantine.RecordEnds(state.before, state.ends)
	}
	state.spread = g.poller.SpreadQuarantine()
	eventWorkerEnded.Log("request", requestID, "key", record.Key.String(), "worker", chosen.ID, "address", chosen.Address, "ends", record.Total(), "isolated", state.isolated)
	if record.Total() >= quarantine.MaxWorkerEnds {
		eventRequestQuarantined.Log("request", requestID, "key", record.Key.String(), "ends", record.Total())
	}
}

// examineLate probes a worker that did not answer a few times more. A machine that is started again
// refuses connections until its worker runs.
func (g *Gateway) examineLate(state *quarantineState, requestID string, chosen directory.Worker, lost *lostAttempt, loss quarantine.ConnectionLoss) {
	if g.lateExaminations.Add(1) > maxLateExaminations {
		g.lateExaminations.Add(-1)
		return
	}
	defer g.lateExaminations.Add(-1)
	for _, delay := range lateProbeDelays {
		if !pause.For(context.Background(), delay) {
			return
		}
		switch g.probeWorker(chosen, loss) {
		case quarantine.Ended:
			g.workerEnded(state, requestID, chosen, lost)
			return
		case quarantine.Alive:
			return
		}
	}
}
