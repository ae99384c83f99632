package failure

import (
	"fmt"
	"time"
)

// Failures of back ends and of the platform.

// Times to wait before a repeat, where the failure itself knows none.
const (
	platformDelay = time.Second
	internalDelay = time.Second
)

// EngineUnavailable reports that no engine could take or finish the call.
type EngineUnavailable struct {
	// Engine is the last engine tried, or empty.
	Engine string
	// Wait is when to come back.
	Wait time.Duration
}

func (e *EngineUnavailable) Error() string {
	return fmt.Sprintf("engine %q unavailable", e.Engine)
}

// Type returns "engine_unavailable".
func (e *EngineUnavailable) Type() Type { return "engine_unavailable" }

// Outcome returns NotRun.
func (e *EngineUnavailable) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *EngineUnavailable) Retry() Retry { return Retry{Allowed: true, After: e.Wait} }

// EngineGone reports an engine incarnation that no longer exists.
type EngineGone struct {
	// Engine is the engine.
	Engine string
}

func (e *EngineGone) Error() string {
	return fmt.Sprintf("engine %q lost its memory", e.Engine)
}

// Type returns "engine_gone".
func (e *EngineGone) Type() Type { return "engine_gone" }

// Outcome returns Ran.
func (e *EngineGone) Outcome() Outcome { return Ran }

// Retry says when to send the request again.
func (e *EngineGone) Retry() Retry { return Retry{Allowed: true} }

// CallEndsEngines reports a call that no engine gets any more because too many have ended while they ran it.
type CallEndsEngines struct {
	// Ends is how many engines have ended.
	Ends int
}

func (e *CallEndsEngines) Error() string {
	return fmt.Sprintf("%d engines ended while they ran this call; it is not sent to another one", e.Ends)
}

// Type returns "call_ends_engines".
func (e *CallEndsEngines) Type() Type { return "call_ends_engines" }

// Outcome returns Ran.
func (e *CallEndsEngines) Outcome() Outcome { return Ran }

// Retry forbids a retry.
func (e *CallEndsEngines) Retry() Retry { return Retry{} }

// ToolFailed reports a tool that answered with a failure of its own: the call ran.
type ToolFailed struct {
	// Tool is the tool.
	Tool string
	// Status is the HTTP status it answered.
	Status int
}

func (e *ToolFailed) Error() string {
	return fmt.Sprintf("tool %s failed with status %d", e.Tool, e.Status)
}

// Type returns "tool_failed".
func (e *ToolFailed) Type() Type { return "tool_failed" }

// Outcome returns Ran.
func (e *ToolFailed) Outcome() Outcome { return Ran }

// Retry says when to send the request again.
func (e *ToolFailed) Retry() Retry { return Retry{} }

// ToolRefused reports a tool that answered that it did not run the call.
type ToolRefused struct {
	// Tool is the tool.
	Tool string
	// Wait is when to come back.
	Wait time.Duration
}

func (e *ToolRefused) Error() string {
	return fmt.Sprintf("tool %s refused the call", e.Tool)
}

// Type returns "tool_refused".
func (e *ToolRefused) Type() Type { return "tool_refused" }

// Outcome returns NotRun.
func (e *ToolRefused) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *ToolRefused) Retry() Retry { return Retry{Allowed: true, After: e.Wait} }

// ToolOutcomeUnknown reports a dispatched call whose effect cannot be learned.
type ToolOutcomeUnknown struct {
	// Tool is the tool.
	Tool string
}

func (e *ToolOutcomeUnknown) Error() string {
	return fmt.Sprintf("the outcome of the call to tool %s is not known", e.Tool)
}

// Type returns "outcome_unknown".
func (e *ToolOutcomeUnknown) Type() Type { return "outcome_unknown" }

// Outcome returns OutcomeUnknown.
func (e *ToolOutcomeUnknown) Outcome() Outcome { return OutcomeUnknown }

// Retry says when to send the request again.
func (e *ToolOutcomeUnknown) Retry() Retry { return Retry{} }

// PlatformUnavailable reports that the platform's object API gave no answer; a write may have taken effect.
type PlatformUnavailable struct {
	// Operation names the operation.
	Operation string
}

func (e *PlatformUnavailable) Error() string {
	return fmt.Sprintf("platform: no answer to %s", e.Operation)
}

// Type returns "platform_unavailable".
func (e *PlatformUnavailable) Type() Type { return "platform_unavailable" }

// Outcome returns OutcomeUnknown.
func (e *PlatformUnavailable) Outcome() Outcome { return OutcomeUnknown }

// Retry says when to send the request again.
func (e *PlatformUnavailable) Retry() Retry { return Retry{Allowed: true, After: platformDelay} }

// VersionConflict reports a compare-and-swap or a plan against a version that is no longer in force.
type VersionConflict struct {
	// Expected is the version the request was made from.
	Expected uint64
	// Found is the version in force.
	Found uint64
	// Detail shows both changes, or is empty.
	Detail string
}

func (e *VersionConflict) Error() string {
	return fmt.Sprintf("made from version %d, but version %d is in force", e.Expected, e.Found)
}

// Type returns "version_conflict".
func (e *VersionConflict) Type() Type { return "version_conflict" }

// Outcome returns NotRun.
func (e *VersionConflict) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *VersionConflict) Retry() Retry { return Retry{} }

// ObjectNotFound reports a key that the platform does not hold.
type ObjectNotFound struct {
	// Key is the key.
	Key string
}

func (e *ObjectNotFound) Error() string {
	return fmt.Sprintf("no object %q", e.Key)
}

// Type returns "object_not_found".
func (e *ObjectNotFound) Type() Type { return "object_not_found" }

// Outcome returns NotRun.
func (e *ObjectNotFound) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *ObjectNotFound) Retry() Retry { return Retry{} }

// FenceRejected reports an order under a fence token lower than one the engine has seen.
type FenceRejected struct {
	// Token is the order's token.
	Token uint64
	// Seen is the highest token the engine has seen.
	Seen uint64
}

func (e *FenceRejected) Error() string {
	return fmt.Sprintf("fence token %d is below %d", e.Token, e.Seen)
}

// Type returns "fence_rejected".
func (e *FenceRejected) Type() Type { return "fence_rejected" }

// Outcome returns NotRun.
func (e *FenceRejected) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *FenceRejected) Retry() Retry { return Retry{} }

// WeightsUnavailable reports that the weight store did not send the weights asked for.
type WeightsUnavailable struct {
}

func (e *WeightsUnavailable) Error() string {
	return "the weight store did not send the weights"
}

// Type returns "weights_unavailable".
func (e *WeightsUnavailable) Type() Type { return "weights_unavailable" }

// Outcome returns NotRun.
func (e *WeightsUnavailable) Outcome() Outcome { return NotRun }

// Retry says when to send the request again.
func (e *WeightsUnavailable) Retry() Retry { return Retry{Allowed: true, After: platformDelay} }

// StreamBroken reports an answer stream that ended early. The engine may go on
// with it: resuming it, or sending the same stream id again, does no harm.
type StreamBroken struct {
	// Engine is the engine's address.
	Engine string
}

func (e *StreamBroken) Error() string {
	return fmt.Sprintf("the answer stream from engine %s broke", e.Engine)
}

// Type returns "stream_broken".
func (e *StreamBroken) Type() Type { return "stream_broken" }

// Outcome returns OutcomeUnknown.
func (e *StreamBroken) Outcome() Outcome { return OutcomeUnknown }

// Retry says when to send the request again.
func (e *StreamBroken) Retry() Retry { return Retry{Allowed: true} }

// OrderUnknown reports an order to an engine that got no answer: it may have been
// taken, or may still be.
type OrderUnknown struct {
	// Engine is the engine's address.
	Engine string
}

func (e *OrderUnknown) Error() string {
	return fmt.Sprintf("no answer from engine %s to an order", e.Engine)
}

// Type returns "order_unknown".
func (e *OrderUnknown) Type() Type { return "order_unknown" }

// Outcome returns OutcomeUnknown.
func (e *OrderUnknown) Outcome() Outcome { return OutcomeUnknown }

// Retry says when to send the request again.
func (e *OrderUnknown) Retry() Retry { return Retry{Allowed: true} }

// Internal wraps an error of no known kind.
type Internal struct {
	// Cause is the error.
	Cause error
}

func (e *Internal) Error() string {
	return fmt.Sprintf("internal: %v", e.Cause)
}

// Type returns "internal".
func (e *Internal) Type() Type { return "internal" }

// Outcome returns OutcomeUnknown.
func (e *Internal) Outcome() Outcome { return OutcomeUnknown }

// Retry says when to send the request again.
func (e *Internal) Retry() Retry { return Retry{Allowed: true, After: internalDelay} }

// Unwrap returns the cause.
func (e *Internal) Unwrap() error { return e.Cause }
