package peer

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
)

// Unreachable reports a peer that gave no answer: the request may have run there.
type Unreachable struct {
	// Address is the peer's IP:port.
	Address string
	// Cause is the transport's error.
	Cause error
}

func (e *Unreachable) Error() string {
	return "peer " + e.Address + ": " + e.Cause.Error()
}

// Type returns "peer_unreachable".
func (e *Unreachable) Type() failure.Type { return "peer_unreachable" }

// Outcome returns OutcomeUnknown, or NotRun where no connection was made.
func (e *Unreachable) Outcome() failure.Outcome {
	return failure.OutcomeUnknown
}

// Retry allows a repeat at once.
func (e *Unreachable) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// Unwrap returns the transport's error.
func (e *Unreachable) Unwrap() error { return e.Cause }

// encodeFailure gives the form in which a failure travels between daemons.
func encodeFailure(err error) *peerv1.Failure {
	known := failure.Classify(err)
	return &peerv1.Failure{
		Type:         string(known.Type()),
		Detail:       known.Error(),
		Outcome:      string(known.Outcome()),
		RetryAllowed: known.Retry().Allowed,
		RetryAfterMs: known.Retry().After.Milliseconds(),
	}
}

func decodeFailure(message *peerv1.Failure) error {
	return &failure.Relayed{
		Kind:   failure.Type(message.GetType()),
		Detail: message.GetDetail(),
		Effect: failure.Outcome(message.GetOutcome()),
		Again: failure.Retry{
			Allowed: message.GetRetryAllowed(),
			After:   time.Duration(message.GetRetryAfterMs()) * time.Millisecond,
		},
	}
}
