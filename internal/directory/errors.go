package directory

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// HistoryLost reports a watch from a revision whose history the store no longer has.
type HistoryLost struct {
	// Revision is the revision that the watch started from.
	Revision int64
}

func (e *HistoryLost) Error() string {
	return fmt.Sprintf("the store has no history after revision %d", e.Revision)
}

// Type returns "history_lost".
func (e *HistoryLost) Type() failure.Type { return "history_lost" }

// Outcome returns NotRun.
func (e *HistoryLost) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows listing again.
func (e *HistoryLost) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// Conflict reports a conditional write whose condition does not hold.
type Conflict struct {
	// Name is the object's name.
	Name string
}

func (e *Conflict) Error() string { return fmt.Sprintf("object %s was changed by another", e.Name) }

// Type returns "object_conflict".
func (e *Conflict) Type() failure.Type { return "object_conflict" }

// Outcome returns NotRun.
func (e *Conflict) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry after the object has been read again.
func (e *Conflict) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// StoreRefused reports a response of the store whose status is not a success.
type StoreRefused struct {
	// Status is the HTTP status.
	Status int
}

func (e *StoreRefused) Error() string {
	return fmt.Sprintf("the store answered with status %d", e.Status)
}

// Type returns "store_refused".
func (e *StoreRefused) Type() failure.Type { return "store_refused" }

// Outcome returns NotRun.
func (e *StoreRefused) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry.
func (e *StoreRefused) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// StoreUnreachable reports a call to the store that got no response or an unreadable one. A write
// may have taken effect.
type StoreUnreachable struct {
	Cause error
}

func (e *StoreUnreachable) Error() string {
	return fmt.Sprintf("no answer from the store: %v", e.Cause)
}

// Type returns "store_unreachable".
func (e *StoreUnreachable) Type() failure.Type { return "store_unreachable" }

// Outcome returns OutcomeUnknown.
func (e *StoreUnreachable) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry allows a retry.
func (e *StoreUnreachable) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// Unwrap returns the cause.
func (e *StoreUnreachable) Unwrap() error { return e.Cause }

// ForeignSystem reports a message from another system. Nothing in it was applied.
type ForeignSystem struct {
	Own, Other uint64
}

func (e *ForeignSystem) Error() string {
	return fmt.Sprintf("the message is of system %d, and this is %d", e.Other, e.Own)
}

// Type returns "foreign_system".
func (e *ForeignSystem) Type() failure.Type { return "foreign_system" }

// Outcome returns NotRun.
func (e *ForeignSystem) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a retry: the address belongs to another system.
func (e *ForeignSystem) Retry() failure.Retry { return failure.Retry{} }
