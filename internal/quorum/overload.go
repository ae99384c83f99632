package quorum

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// overloadedHeader marks the rejection of a call that was not read.
const overloadedHeader = "Barleyshelf-Overloaded"

// Overloaded reports that a replica rejects a call because it has too many in flight.
type Overloaded struct {
	// Limit is the number of calls that it handles at a time.
	Limit int
}

func (e *Overloaded) Error() string {
	return fmt.Sprintf("the replica is overloaded: %d calls are in flight", e.Limit)
}

// Type returns "replica_overloaded".
func (e *Overloaded) Type() failure.Type { return "replica_overloaded" }

// Outcome returns NotRun.
func (e *Overloaded) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry after retryAfter.
func (e *Overloaded) Retry() failure.Retry { return failure.Retry{Allowed: true, After: retryAfter} }

// Rejecter writes the answers to calls that a replica rejects unread.
type Rejecter struct {
	writer *connect.ErrorWriter
}

// NewRejecter returns a rejecter for a handler with the given options.
func NewRejecter(options ...connect.HandlerOption) *Rejecter {
	return &Rejecter{writer: connect.NewErrorWriter(options...)}
}

// Reject answers a call with cause.
func (r *Rejecter) Reject(w http.ResponseWriter, request *http.Request, cause *Overloaded) error {
	rejection := connect.NewError(connect.CodeResourceExhausted, cause)
	rejection.Meta().Set(overloadedHeader, "1")
	return r.writer.Write(w, request, rejection)
}

// rejectedCall is the error of a call that a replica has rejected unread.
type rejectedCall struct {
	cause *connect.Error
}

func (e *rejectedCall) Error() string { return e.cause.Error() }

// Unwrap returns the answer of the replica.
func (e *rejectedCall) Unwrap() error { return e.cause }

// recognizeRejections is an interceptor that returns a *rejectedCall for a call that the replica has rejected
// unread. It reads the error's header before others share the error: reading it changes it.
func recognizeRejections(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		response, err := next(ctx, request)
		var cause *connect.Error
		if errors.As(err, &cause) && cause.Meta().Get(overloadedHeader) != "" {
			return nil, &rejectedCall{cause: cause}
		}
		return response, err
	}
}

// isRejection reports whether a replica has rejected a call unread, because it has too many in flight.
func isRejection(err error) bool {
	var rejected *rejectedCall
	return errors.As(err, &rejected)
}
