package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// servePlain serves a request that has a single, non-streaming response.
func (r *request) servePlain(ctx context.Context) {
	if err := r.admitWithWait(ctx); err != nil {
		r.refuse(err)
		return
	}
	for {
		err := r.tryPlain(ctx)
		if err == nil {
			r.gateway.retryBudget.RecordSuccess(time.Now())
			return
		}
		if !r.mayRetry(ctx, err) {
			r.refuse(err)
			return
		}
	}
}

// tryPlain sends the request and forwards its response. It cancels an attempt whose worker does
// not respond in time if the request may be retried at another worker.
func (r *request) tryPlain(ctx context.Context) error {
	r.attemptTimer = nil
	if r.attemptsLeft() > 1 && r.gateway.hasRetryBudget() && r.hasSecondWorker() {
		ctx, r.attemptTimer = startAttemptTimer(ctx, r.responseStartTimeout()+retryTimeoutMargin)
		defer r.attemptTimer.release()
	}
	attempt, err := r.send(ctx, "")
	if err != nil {
		return err
	}
	return r.forwardResponse(attempt)
}

// hasSecondWorker reports whether at least two untried workers are left. The last one gets the
// request without this timeout: canceling its attempt could only make the request fail.
func (r *request) hasSecondWorker() bool {
	remaining := 0
	for _, each := range r.gateway.withoutUnreachableZones(r.gateway.workerSubset(r.service.Name)) {
		if !r.tried[each.ID] && !each.Lapsed && r.checkWorkerEligible(each.Worker) == nil {
			remaining++
		}
		if remaining > 1 {
			return true
		}
	}
	return false
}

// attemptsLeft returns how many more times the request may be sent to a worker that may run it.
func (r *request) attemptsLeft() int {
	if r.route.Kind != route.Safe {
		return 1 - len(r.mayHaveRun)
	}
	return r.route.MaxAttempts - (len(r.mayHaveRun) - len(r.terminated)) - r.repeatedRuns
}

// mayRetry reports whether a request whose last attempt failed may be sent to another worker.
func (r *request) mayRetry(ctx context.Context, err error) bool {
	var lost *worker.ResponseLost
	return errors.As(err, &lost) && ctx.Err() == nil && r.route.Kind == route.Safe && r.attemptsLeft() > 0 &&
		(r.gateway.disabled(mechanism.RetryBudget) || r.gateway.retryBudget.Allow(time.Now()))
}

// hasRetryBudget reports whether the retry budget allows a retry.
func (g *Gateway) hasRetryBudget() bool {
	return g.disabled(mechanism.RetryBudget) || g.retryBudget.CanRetry(time.Now())
}

// forwardResponse forwards a non-streaming response. A short response is read completely first,
// so that the request can still be retried if the response breaks off.
func (r *request) forwardResponse(attempt *attempt) error {
	defer attempt.close()
	body, err := r.readResponse(attempt)
	isLong := len(body) == maxBufferedResponseBytes
	if err == nil && isLong {
		err = attempt.commitToForward()
	}
	if err != nil {
		r.attemptConnectionLost(attempt.zoneContext, attempt.worker, attempt.probe, err)
		err = r.explainFailure(attempt.zoneContext, attempt.worker, err)
		r.gateway.attemptDone(r, attempt.worker, resultOfFailure(r.incoming.Context(), err))
		r.logAttemptLost(attempt.worker, attempt.probe, err)
		return attempt.lostError(err)
	}
	if isLong {
		r.forwardLongResponse(attempt, body)
		return nil
	}
	r.gateway.attemptDone(r, attempt.worker, resultOfResponse(attempt.response.Status))
	if attempt.response.Status < http.StatusInternalServerError && r.route.TargetLatency > 0 {
		r.gateway.recordLatencyRatio(attempt.worker, time.Since(attempt.sentAt).Seconds()/r.route.TargetLatency.Seconds())
	}
	if attempt.response.Status >= http.StatusInternalServerError && r.route.Kind == route.Safe && r.attemptsLeft() > 0 &&
		r.gateway.hasRetryBudget() {
		r.addLogEntry(eventAttemptLost, "worker", attempt.worker.ID, "cause", attempt.response.Status)
		r.tried[attempt.worker.ID] = true
		return &worker.ResponseLost{Cause: &UnexpectedStatus{Status: attempt.response.Status}}
	}
	copyHeaders(r.writer.Header(), attempt.response.Header)
	if r.incoming.Method != http.MethodHead && attempt.response.Status != http.StatusNoContent && attempt.response.Status != http.StatusNotModified {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.writer.WriteHeader(attempt.response.Status)
	if _, err := r.writer.Write(body); err != nil {
		// The client has disconnected or does not read.
		r.recordClientStall(err)
	}
	r.finishAnswered(attempt.response.Status)
	return nil
}

// readResponse reads up to maxBufferedResponseBytes of a response. Beyond smallResponseBytes,
// which suffice for most responses, it first reserves memory for bytes buffered for slow clients.
func (r *request) readResponse(attempt *attempt) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(attempt.response.Body, smallResponseBytes))
	if err != nil || len(body) < smallResponseBytes {
		return body, err
	}
	const rest = maxBufferedResponseBytes - smallResponseBytes
	if r.clientWriter != nil {
		if err := r.clientWriter.reservation.Acquire(attempt.zoneContext, rest); err != nil {
			return nil, err
		}
	}
	more, err := io.ReadAll(io.LimitReader(attempt.response.Body, rest))
	if r.clientWriter != nil {
		r.clientWriter.reservation.Release(rest - len(more))
	}
	return append(body, more...), err
}

// forwardLongResponse streams a long response. If the worker breaks off, the response to the
// client is visibly aborted as well.
func (r *request) forwardLongResponse(attempt *attempt, prefix []byte) {
	copyHeaders(r.writer.Header(), attempt.response.Header)
	r.writer.WriteHeader(attempt.response.Status)
	_, err := io.Copy(r.writer, io.MultiReader(bytes.NewReader(prefix), attempt.response.Body))
	if err != nil {
		r.attemptConnectionLost(attempt.zoneContext, attempt.worker, attempt.probe, err)
		r.gateway.metrics.recordSpoiledResponse(err)
		r.gateway.attemptDone(r, attempt.worker, resultOfFailure(r.incoming.Context(), err))
		r.abort(err)
	}
	r.gateway.attemptDone(r, attempt.worker, balance.Served)
	r.finishAnswered(attempt.response.Status)
}

// abort ends a response that has begun in a way that the client can tell it is incomplete.
func (r *request) abort(cause error) {
	r.awaitQuarantineSpread()
	r.recordClientStall(cause)
	r.finishAborted(cause)
	panic(http.ErrAbortHandler)
}
