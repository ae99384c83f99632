package caller

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// UnknownResource reports a path that the API does not have.
type UnknownResource struct {
	// Path is the path asked for.
	Path string
}

func (e *UnknownResource) Error() string { return fmt.Sprintf("no resource at %q", e.Path) }

// Type returns "unknown_resource".
func (e *UnknownResource) Type() failure.Type { return "unknown_resource" }

// Outcome returns NotRun.
func (e *UnknownResource) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *UnknownResource) Retry() failure.Retry { return failure.Retry{} }

// MethodNotAllowed reports a method that the resource does not have.
type MethodNotAllowed struct {
	Method string
	// Allowed lists the methods it has, separated by commas.
	Allowed string
}

func (e *MethodNotAllowed) Error() string {
	return fmt.Sprintf("method %q is not one of %s", e.Method, e.Allowed)
}

// Type returns "method_not_allowed".
func (e *MethodNotAllowed) Type() failure.Type { return "method_not_allowed" }

// Outcome returns NotRun.
func (e *MethodNotAllowed) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *MethodNotAllowed) Retry() failure.Retry { return failure.Retry{} }

// UnsupportedMediaType reports a body of a form that the operation does not take.
type UnsupportedMediaType struct {
	// Got is the content type of the request.
	Got string
}

func (e *UnsupportedMediaType) Error() string {
	return fmt.Sprintf("content type %q is not application/json", e.Got)
}

// Type returns "unsupported_media_type".
func (e *UnsupportedMediaType) Type() failure.Type { return "unsupported_media_type" }

// Outcome returns NotRun.
func (e *UnsupportedMediaType) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *UnsupportedMediaType) Retry() failure.Retry { return failure.Retry{} }

// AnswerGap reports that a part of an answer did not follow the part before.
// The answer can be read again.
type AnswerGap struct {
	// Wanted and Got are offsets in the answer, in bytes.
	Wanted uint64
	Got    uint64
}

func (e *AnswerGap) Error() string {
	return fmt.Sprintf("the answer goes on at byte %d instead of %d", e.Got, e.Wanted)
}

// Type returns "answer_gap".
func (e *AnswerGap) Type() failure.Type { return "answer_gap" }

// Outcome returns OutcomeUnknown: the call may still be under way.
func (e *AnswerGap) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry allows reading the answer again at once.
func (e *AnswerGap) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// raisedBeforeLookup lists the failures that are raised without looking at the call:
// where the caller has sent the call before, they do not prove that the earlier
// sending did not run it.
var raisedBeforeLookup = map[failure.Type]bool{
	"malformed_request":      true,
	"unauthenticated":        true,
	"not_permitted":          true,
	"unknown_resource":       true,
	"method_not_allowed":     true,
	"request_too_large":      true,
	"unsupported_media_type": true,
	"rate_limited":           true,
	"overloaded":             true,
	"draining":               true,
	"not_ready":              true,
	"not_leader":             true,
	"shard_unavailable":      true,
	"disk_failed":            true,
	"no_permitted_place":     true,
}

// resent tells a failure to a caller that has sent the same call before.
func resent(f failure.Failure) failure.Failure {
	if f.Outcome() != failure.NotRun || !raisedBeforeLookup[f.Type()] {
		return f
	}
	return &failure.Relayed{
		Kind:   f.Type(),
		Detail: f.Error(),
		Effect: failure.OutcomeUnknown,
		Again:  f.Retry(),
	}
}
