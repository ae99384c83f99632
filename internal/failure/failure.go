// Package failure holds the error structs of the project. Every failure that a
// caller, an operator or a peer can be told of is a struct of its own that
// implements Failure: it says whether the request ran and when to try again.
package failure

import (
	"errors"
	"time"
)

// Type is the stable name of a kind of failure. It ends the problem type URI
// that callers see, and does not change between releases.
type Type string

// Outcome says whether the request that failed had an effect outside.
type Outcome string

// The outcomes. NotRun is said only when the request did not run and no
// attempt of it can start any more.
const (
	NotRun         Outcome = "not_run"
	Ran            Outcome = "ran"
	OutcomeUnknown Outcome = "outcome_unknown"
)

// Retry tells a caller whether and when the same request may be sent again.
type Retry struct {
	// Allowed is false where a repeat cannot succeed or could do harm.
	Allowed bool
	// After is the time to wait first; 0 means at once.
	After time.Duration
}

// Failure is an error of a known kind.
type Failure interface {
	error
	// Type returns the stable name of the kind.
	Type() Type
	// Outcome returns whether the request ran.
	Outcome() Outcome
	// Retry returns whether and when to send the request again.
	Retry() Retry
}

// As returns the first Failure in err's chain.
func As(err error) (Failure, bool) {
	var found Failure
	ok := errors.As(err, &found)
	return found, ok
}

// Classify returns err as a Failure; an error of no known kind becomes an
// *Internal whose outcome is unknown.
func Classify(err error) Failure {
	if found, ok := As(err); ok {
		return found
	}
	return &Internal{Cause: err}
}

// Relayed is a failure that another process reported over the network.
type Relayed struct {
	Kind   Type
	Detail string
	Effect Outcome
	Again  Retry
}

func (e *Relayed) Error() string { return e.Detail }

// Type returns the kind that the other process reported.
func (e *Relayed) Type() Type { return e.Kind }

// Outcome returns what the other process reported.
func (e *Relayed) Outcome() Outcome { return e.Effect }

// Retry returns what the other process reported.
func (e *Relayed) Retry() Retry { return e.Again }

// IsType reports whether err's chain holds a Failure of the given kind,
// raised here or relayed.
func IsType(err error, kind Type) bool {
	found, ok := As(err)
	return ok && found.Type() == kind
}
