package session

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/caller/client"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Waits between attempts where the failure advises none.
const (
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = time.Second
)

// requester sends one request after another until one is final. It stays with
// a daemon that answers, and moves on from one that does not.
type requester struct {
	options *Options
	tenant  structs.TenantID
	random  *rand.Rand
	daemon  structs.NodeID
	// tracked requests are reported to Options.Track.
	tracked  bool
	attempts []promise.Attempt
}

func newRequester(options *Options, tenant structs.TenantID, random *rand.Rand) *requester {
	return &requester{options: options, tenant: tenant, random: random}
}

// endpoint returns the daemon used before, if it is still known.
func (r *requester) endpoint() Endpoint {
	known := r.options.Endpoints(r.tenant)
	for _, candidate := range known {
		if candidate.Daemon == r.daemon {
			return candidate
		}
	}
	chosen := known[r.random.IntN(len(known))]
	r.daemon = chosen.Daemon
	return chosen
}

// moveOn picks another daemon for the next request.
func (r *requester) moveOn() {
	known := r.options.Endpoints(r.tenant)
	others := make([]Endpoint, 0, len(known))
	for _, candidate := range known {
		if candidate.Daemon != r.daemon {
			others = append(others, candidate)
		}
	}
	if len(others) > 0 {
		r.daemon = others[r.random.IntN(len(others))].Daemon
	}
}

// errGaveUp is the cause of a request that the caller itself ended.
type errGaveUp struct{}

func (*errGaveUp) Error() string { return "given up by the caller" }

// attempt sends one request and records how it ended.
func (r *requester) attempt(ctx context.Context, send func(context.Context, Client) error) error {
	endpoint := r.endpoint()
	record := promise.Attempt{Daemon: endpoint.Daemon, Sent: time.Now()}
	ended := r.track(endpoint.Daemon)
	err := send(ctx, endpoint.Client)
	ended()
	record.Finished = time.Now()
	record.Result = resultOf(err)
	if known, ok := failure.As(err); ok && record.Result == promise.Refused {
		record.FailureType, record.Outcome = known.Type(), known.Outcome()
		r.options.Observer.Refused(string(known.Type()))
	}
	r.options.Observer.Request(string(record.Result))
	r.attempts = append(r.attempts, record)
	return err
}

func (r *requester) track(daemon structs.NodeID) (ended func()) {
	if r.options.Track == nil || !r.tracked {
		return func() {}
	}
	return r.options.Track(daemon)
}

// resultOf says how a request ended, by its error.
func resultOf(err error) promise.Result {
	if err == nil {
		return promise.Answered
	}
	if errors.As(err, new(*errGaveUp)) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return promise.Abandoned
	}
	dialing := &net.OpError{}
	if errors.As(err, &dialing) && dialing.Op == "dial" {
		return promise.Unreached
	}
	if _, reported := failure.As(err); reported && !connectionLost(err) {
		return promise.Refused
	}
	return promise.Broken
}

// connectionLost reports whether err is of the connection or of the answer's
// transport, and nothing that a daemon said.
func connectionLost(err error) bool {
	return errors.As(err, new(*client.NoAnswer)) || errors.As(err, new(*client.SinkFailed)) ||
		errors.As(err, new(*caller.AnswerGap))
}

// until sends requests until one succeeds or fails for good. The error is the
// last one; it is not final when ctx ended first.
func (r *requester) until(ctx context.Context, send func(context.Context, Client) error) error {
	backoff := firstBackoff
	for {
		err := r.attempt(ctx, send)
		if err == nil || Final(err) {
			return err
		}
		r.moveOn()
		if !r.wait(ctx, max(adviceOf(err), backoff)) {
			return err
		}
		backoff = min(2*backoff, lastBackoff)
	}
}

// Final reports whether a daemon said that trying again is of no use.
func Final(err error) bool {
	known, reported := failure.As(err)
	return reported && resultOf(err) == promise.Refused && !known.Retry().Allowed
}

func adviceOf(err error) time.Duration {
	if known, reported := failure.As(err); reported {
		return known.Retry().After
	}
	return 0
}

// wait sleeps between half and all of the span; it reports whether ctx goes on.
func (r *requester) wait(ctx context.Context, span time.Duration) bool {
	jittered := span/2 + time.Duration(r.random.Int64N(int64(span/2)+1))
	return pause.For(ctx, jittered)
}
