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

// servePlain serves a request that has one answer.
func (r *request) servePlain(ctx context.Context) {
	if err := r.admitAlone(ctx); err != nil {
		r.refuse(err)
		return
	}
	for {
		err := r.tryPlain(ctx)
		if err == nil {
			r.gateway.retries.RecordSuccess(time.Now())
			return
		}
		if !r.mayRepeat(ctx, err) {
			r.refuse(err)
			return
		}
	}
}

// tryPlain sends the request and passes its answer on. A request that may run
// once more is taken back from a worker that is silent for too long.
func (r *request) tryPlain(ctx context.Context) error {
	if r.attemptsLeft() > 1 && r.gateway.mayRetry() && r.anotherWorkerLeft() {
		limited, cancel := context.WithTimeout(ctx, r.silence()+silenceMargin)
		defer cancel()
		ctx = limited
	}
	one, err := r.send(ctx, "")
	if err != nil {
		return err
	}
	return r.relay(one)
}

// anotherWorkerLeft reports whether the request may go to one more worker after its next one.
// Taken back from the last one, which is at work on it, it could only fail.
func (r *request) anotherWorkerLeft() bool {
	left := 0
	for _, each := range r.gateway.reached(r.gateway.subset(r.service.Name)) {
		if !r.tried[each.ID] && !each.Lapsed && r.permit(each.Worker) == nil {
			left++
		}
		if left > 1 {
			return true
		}
	}
	return false
}

// attemptsLeft is on how many more workers the request may run.
func (r *request) attemptsLeft() int {
	if r.route.Kind != route.Safe {
		return 1 - len(r.ran)
	}
	return r.route.MaxAttempts - (len(r.ran) - len(r.gone))
}

// mayRepeat reports whether a request whose last attempt failed may go to one
// more worker.
func (r *request) mayRepeat(ctx context.Context, err error) bool {
	var lost *worker.ResponseLost
	return errors.As(err, &lost) && ctx.Err() == nil && r.route.Kind == route.Safe && r.attemptsLeft() > 0 &&
		(r.gateway.disabled(mechanism.RetryBudget) || r.gateway.retries.Allow(time.Now()))
}

// mayRetry reports whether the budget has a retry left.
func (g *Gateway) mayRetry() bool {
	return g.disabled(mechanism.RetryBudget) || g.retries.CanRetry(time.Now())
}

// relay passes a plain answer on. A short one is read whole first, so that one
// that breaks off can still be replaced.
func (r *request) relay(one *attempt) error {
	defer one.close()
	body, err := r.readAnswer(one)
	if err != nil {
		err = r.causeOf(one.context, one.worker, err)
		r.gateway.done(r, one.worker, verdictOfBreak(r.incoming.Context(), err))
		r.note(eventLost, "worker", one.worker.ID, "cause", err.Error())
		return asLost(err)
	}
	if len(body) == wholeAnswerBytes {
		r.relayLong(one, body)
		return nil
	}
	r.gateway.done(r, one.worker, verdictOfAnswer(one.answer.Status))
	if one.answer.Status < http.StatusInternalServerError && r.route.TargetLatency > 0 {
		r.gateway.paced(one.worker, time.Since(one.sent).Seconds()/r.route.TargetLatency.Seconds())
	}
	if one.answer.Status >= http.StatusInternalServerError && r.route.Kind == route.Safe && r.attemptsLeft() > 0 &&
		r.gateway.mayRetry() {
		r.note(eventLost, "worker", one.worker.ID, "cause", one.answer.Status)
		r.tried[one.worker.ID] = true
		return &worker.ResponseLost{Cause: &UnexpectedStatus{Status: one.answer.Status}}
	}
	copyHead(r.writer.Header(), one.answer.Header)
	if r.incoming.Method != http.MethodHead && one.answer.Status != http.StatusNoContent && one.answer.Status != http.StatusNotModified {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.writer.WriteHeader(one.answer.Status)
	if _, err := r.writer.Write(body); err != nil {
		// The client has gone, or does not read.
		r.noteStalled(err)
	}
	r.endAnswered(one.answer.Status)
	return nil
}

// readAnswer reads an answer of up to wholeAnswerBytes. What is longer than most answers is
// read only where it may be held for a client that reads slowly.
func (r *request) readAnswer(one *attempt) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(one.answer.Body, smallAnswerBytes))
	if err != nil || len(body) < smallAnswerBytes {
		return body, err
	}
	const rest = wholeAnswerBytes - smallAnswerBytes
	if r.out != nil {
		if err := r.out.holder.Acquire(one.context, rest); err != nil {
			return nil, err
		}
	}
	more, err := io.ReadAll(io.LimitReader(one.answer.Body, rest))
	if r.out != nil {
		r.out.holder.Release(rest - len(more))
	}
	return append(body, more...), err
}

// relayLong passes a long answer on as it comes. If the worker breaks off, so
// does the answer, visibly.
func (r *request) relayLong(one *attempt, begin []byte) {
	copyHead(r.writer.Header(), one.answer.Header)
	r.writer.WriteHeader(one.answer.Status)
	_, err := io.Copy(r.writer, io.MultiReader(bytes.NewReader(begin), one.answer.Body))
	if err != nil {
		r.gateway.done(r, one.worker, verdictOfBreak(r.incoming.Context(), err))
		r.abort(err)
	}
	r.gateway.done(r, one.worker, balance.Served)
	r.endAnswered(one.answer.Status)
}

// abort ends a begun answer so that it cannot look complete.
func (r *request) abort(cause error) {
	r.noteStalled(cause)
	r.endBroken(cause)
	panic(http.ErrAbortHandler)
}
