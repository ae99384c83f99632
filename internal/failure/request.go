package failure

import (
	"fmt"
	"time"
)

// Failures of a request itself: it was not run and a repeat is refused alike.

// Times to wait before a repeat, where the failure itself knows none.
const (
	wrongOrderDelay = 50 * time.Millisecond
	placeDelay      = 2 * time.Second
)

// Malformed reports a request that breaks the API's form.
type Malformed struct {
	// Field names the offending field or parameter.
	Field string
	// Reason says what is allowed.
	Reason string
}

func (e *Malformed) Error() string {
	return fmt.Sprintf("malformed request: %s: %s", e.Field, e.Reason)
}

// Type returns "malformed_request".
func (e *Malformed) Type() Type { return "malformed_request" }

// Outcome returns NotRun.
func (e *Malformed) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *Malformed) Retry() Retry { return Retry{} }

// TooLarge reports a body over the limit.
type TooLarge struct {
	// LimitBytes is the largest body that is taken.
	LimitBytes int64
}

func (e *TooLarge) Error() string {
	return fmt.Sprintf("request body over %d bytes", e.LimitBytes)
}

// Type returns "request_too_large".
func (e *TooLarge) Type() Type { return "request_too_large" }

// Outcome returns NotRun.
func (e *TooLarge) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *TooLarge) Retry() Retry { return Retry{} }

// Unauthenticated reports a missing or unknown credential.
type Unauthenticated struct {
}

func (e *Unauthenticated) Error() string {
	return "no known credential"
}

// Type returns "unauthenticated".
func (e *Unauthenticated) Type() Type { return "unauthenticated" }

// Outcome returns NotRun.
func (e *Unauthenticated) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *Unauthenticated) Retry() Retry { return Retry{} }

// NotPermitted reports a program, model or tool that the declarations do not grant the caller.
type NotPermitted struct {
	// What names the thing asked for.
	What string
}

func (e *NotPermitted) Error() string {
	return fmt.Sprintf("not permitted: %s", e.What)
}

// Type returns "not_permitted".
func (e *NotPermitted) Type() Type { return "not_permitted" }

// Outcome returns NotRun.
func (e *NotPermitted) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *NotPermitted) Retry() Retry { return Retry{} }

// UnknownProgram reports a program that does not exist for this caller; it is said alike of another tenant's program.
type UnknownProgram struct {
	// Program is the identifier asked for.
	Program string
}

func (e *UnknownProgram) Error() string {
	return fmt.Sprintf("unknown program %s", e.Program)
}

// Type returns "unknown_program".
func (e *UnknownProgram) Type() Type { return "unknown_program" }

// Outcome returns NotRun.
func (e *UnknownProgram) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *UnknownProgram) Retry() Retry { return Retry{} }

// UnknownCall reports a call number that the program has not issued.
type UnknownCall struct {
	// Number is the call number asked for.
	Number uint32
}

func (e *UnknownCall) Error() string {
	return fmt.Sprintf("unknown call %d", e.Number)
}

// Type returns "unknown_call".
func (e *UnknownCall) Type() Type { return "unknown_call" }

// Outcome returns NotRun.
func (e *UnknownCall) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *UnknownCall) Retry() Retry { return Retry{} }

// WrongOrder reports a call number too far ahead of the last call accepted.
type WrongOrder struct {
	// Got is the call's number.
	Got uint32
	// Next is the number that may come next.
	Next uint32
}

func (e *WrongOrder) Error() string {
	return fmt.Sprintf("call %d is out of order; the next is %d", e.Got, e.Next)
}

// Type returns "wrong_order".
func (e *WrongOrder) Type() Type { return "wrong_order" }

// Outcome returns NotRun.
func (e *WrongOrder) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *WrongOrder) Retry() Retry { return Retry{Allowed: true, After: wrongOrderDelay} }

// CallConflict reports a repeated call number or idempotency key with other content.
type CallConflict struct {
	// What names what differs.
	What string
}

func (e *CallConflict) Error() string {
	return fmt.Sprintf("conflicts with an earlier request: %s", e.What)
}

// Type returns "call_conflict".
func (e *CallConflict) Type() Type { return "call_conflict" }

// Outcome returns NotRun.
func (e *CallConflict) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *CallConflict) Retry() Retry { return Retry{} }

// ProgramOver reports a call to a program that has ended.
type ProgramOver struct {
	// Cause is why it ended.
	Cause string
}

func (e *ProgramOver) Error() string {
	return fmt.Sprintf("the program has ended: %s", e.Cause)
}

// Type returns "program_ended".
func (e *ProgramOver) Type() Type { return "program_ended" }

// Outcome returns NotRun.
func (e *ProgramOver) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *ProgramOver) Retry() Retry { return Retry{} }

// BudgetExceeded reports a call whose upper bound does not fit what is left of the budget.
type BudgetExceeded struct {
	// Member is the budget member: tokens, costMicros, turns or milliseconds.
	Member string
	// Asked is the call's upper bound.
	Asked int64
	// Left is what is neither spent nor reserved.
	Left int64
}

func (e *BudgetExceeded) Error() string {
	return fmt.Sprintf("budget exceeded: %s: asked %d, left %d", e.Member, e.Asked, e.Left)
}

// Type returns "budget_exceeded".
func (e *BudgetExceeded) Type() Type { return "budget_exceeded" }

// Outcome returns NotRun.
func (e *BudgetExceeded) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *BudgetExceeded) Retry() Retry { return Retry{} }

// CallCancelled reports a call that its caller cancelled before it was dispatched.
type CallCancelled struct {
}

func (e *CallCancelled) Error() string {
	return "the call was cancelled"
}

// Type returns "call_cancelled".
func (e *CallCancelled) Type() Type { return "call_cancelled" }

// Outcome returns NotRun.
func (e *CallCancelled) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *CallCancelled) Retry() Retry { return Retry{} }

// NoPermittedPlace reports that no place where the data may rest can serve the request now.
type NoPermittedPlace struct {
	// What is what was to be placed: replica, engine, cache or tool.
	What string
	// Zones lists the permitted zones.
	Zones string
	// Regions lists the permitted regions where these are named instead of zones; Nowhere
	// is set where those that bind permit none in common.
	Regions string
	Nowhere bool
}

func (e *NoPermittedPlace) Error() string {
	switch {
	case e.Nowhere:
		return fmt.Sprintf("no permitted place for %s: no region is permitted by all that bind it", e.What)
	case e.Regions != "":
		return fmt.Sprintf("no permitted place for %s in regions %s", e.What, e.Regions)
	}
	return fmt.Sprintf("no permitted place for %s in zones %s", e.What, e.Zones)
}

// Type returns "no_permitted_place".
func (e *NoPermittedPlace) Type() Type { return "no_permitted_place" }

// Outcome returns NotRun.
func (e *NoPermittedPlace) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *NoPermittedPlace) Retry() Retry { return Retry{Allowed: true, After: placeDelay} }
