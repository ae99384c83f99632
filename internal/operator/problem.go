package operator

import (
	"errors"
	"net/http"

	"github.com/go-faster/jx"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/operatorapi"
	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
)

// ProblemTypeBase precedes the failure type in a problem's type URI.
const ProblemTypeBase = "https://github.com/barleyshelf/barleyshelf/problems/"

const problemContentType = "application/problem+json"

// statusByType has the status code of each failure of the operators' API.
var statusByType = map[failure.Type]int{
	"malformed_request":    http.StatusBadRequest,
	"invalid_declarations": http.StatusUnprocessableEntity,
	"request_too_large":    http.StatusRequestEntityTooLarge,
	"unauthenticated":      http.StatusUnauthorized,
	"not_permitted":        http.StatusForbidden,
	"unknown_plan":         http.StatusNotFound,
	"unknown_object":       http.StatusNotFound,
	"plan_conflict":        http.StatusConflict,
	"harm_not_accepted":    http.StatusConflict,
	"platform_unavailable": http.StatusServiceUnavailable,
	"not_ready":            http.StatusServiceUnavailable,
	"draining":             http.StatusServiceUnavailable,
	"apply_unknown":        http.StatusGatewayTimeout,
}

func statusOf(f failure.Failure) int {
	status, listed := statusByType[f.Type()]
	if !listed {
		return http.StatusInternalServerError
	}
	return status
}

// problemOf turns a failure into what operators see.
func problemOf(f failure.Failure) *operatorapi.ProblemStatusCode {
	problem := operatorapi.Problem{
		Type:    ProblemTypeBase + string(f.Type()),
		Title:   string(f.Type()),
		Status:  statusOf(f),
		Detail:  operatorapi.NewOptString(f.Error()),
		Outcome: operatorapi.ProblemOutcome(f.Outcome()),
		Retry:   f.Retry().Allowed,
	}
	if f.Retry().Allowed {
		problem.RetryAfterMilliseconds = operatorapi.NewOptInt64(f.Retry().After.Milliseconds())
	}
	addDetails(&problem, f)
	return &operatorapi.ProblemStatusCode{StatusCode: problem.Status, Response: problem}
}

// addDetails fills what a command shows beyond the text.
func addDetails(problem *operatorapi.Problem, f failure.Failure) {
	var invalid *strictyaml.Invalid
	if errors.As(f, &invalid) {
		problem.Problems = fileProblems(invalid.Problems)
	}
	var unaccepted *HarmNotAccepted
	if errors.As(f, &unaccepted) {
		problem.Harms = harms(unaccepted.Harms)
	}
	var conflict *PlanConflict
	if errors.As(f, &conflict) {
		problem.Conflict = operatorapi.NewOptConflict(operatorapi.Conflict{
			Base:    int64(conflict.Base),
			InForce: int64(conflict.InForce),
			Mine:    differences(conflict.Mine),
			Theirs:  auditRecords(conflict.Theirs),
		})
	}
}

// writeProblem answers a request that never reached an operation.
func writeProblem(w http.ResponseWriter, f failure.Failure) {
	problem := problemOf(f)
	w.Header().Set("Content-Type", problemContentType)
	w.WriteHeader(problem.StatusCode)
	encoder := &jx.Encoder{}
	problem.Response.Encode(encoder)
	// A reader that has gone needs no answer.
	_, _ = encoder.WriteTo(w)
}
