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

// OtherCluster reports a call to a daemon of another cluster, which refused it.
type OtherCluster struct {
	// Called is the cluster that the call was for, Own that of the daemon at the address.
	Called, Own string
}

func (e *OtherCluster) Error() string {
	return "the daemon at the address is one of cluster " + e.Own + ", not of " + e.Called
}

// Type returns "peer_unreachable": the daemon that was meant is not at the address.
func (e *OtherCluster) Type() failure.Type { return (&Unreachable{}).Type() }

// Outcome returns NotRun.
func (e *OtherCluster) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a repeat at once.
func (e *OtherCluster) Retry() failure.Retry { return failure.Retry{Allowed: true} }

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
