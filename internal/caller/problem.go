package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/callerapi"
)

// ProblemTypeBase precedes the failure type in a problem's type URI.
const ProblemTypeBase = "https://github.com/barleyshelf/barleyshelf/problems/"

// problemContentType is the media type of problem details (RFC 9457).
const problemContentType = "application/problem+json"

// problemKind is how one type of failure looks over HTTP.
type problemKind struct {
	status int
	title  string
}

// problemKinds gives the status code of every failure type. docs/API.md holds
// the same table; a test keeps them equal.
var problemKinds = map[failure.Type]problemKind{
	"malformed_request":      {http.StatusBadRequest, "Malformed request"},
	"unauthenticated":        {http.StatusUnauthorized, "No known credential"},
	"not_permitted":          {http.StatusForbidden, "Not permitted"},
	"unknown_resource":       {http.StatusNotFound, "Unknown resource"},
	"unknown_program":        {http.StatusNotFound, "Unknown program"},
	"unknown_call":           {http.StatusNotFound, "Unknown call"},
	"object_not_found":       {http.StatusNotFound, "Unknown object"},
	"method_not_allowed":     {http.StatusMethodNotAllowed, "Method not allowed"},
	"wrong_order":            {http.StatusConflict, "Call out of order"},
	"call_conflict":          {http.StatusConflict, "Conflicts with an earlier request"},
	"call_cancelled":         {http.StatusConflict, "Call cancelled"},
	"budget_exceeded":        {http.StatusConflict, "Budget exceeded"},
	"version_conflict":       {http.StatusConflict, "Version no longer in force"},
	"fence_rejected":         {http.StatusConflict, "Order of a former owner"},
	"program_ended":          {http.StatusGone, "Program has ended"},
	"request_too_large":      {http.StatusRequestEntityTooLarge, "Request too large"},
	"unsupported_media_type": {http.StatusUnsupportedMediaType, "Unsupported media type"},
	"rate_limited":           {http.StatusTooManyRequests, "Tenant rate exceeded"},
	"bad_snapshot":           {http.StatusInternalServerError, "Copy of the state unreadable"},
	"bad_encoding":           {http.StatusInternalServerError, "Record unreadable"},
	"unknown_policy":         {http.StatusInternalServerError, "Scheduling policy unknown"},
	"internal":               {http.StatusInternalServerError, "Internal failure"},
	"answer_gap":             {http.StatusInternalServerError, "Part of the answer missing"},
	"engine_gone":            {http.StatusBadGateway, "Engine lost its memory"},
	"call_ends_engines":      {http.StatusBadGateway, "Engines ended under the call"},
	"stream_broken":          {http.StatusBadGateway, "Stream broken off"},
	"order_unknown":          {http.StatusBadGateway, "Fate of an order not known"},
	"tool_failed":            {http.StatusBadGateway, "Tool failed"},
	"invalid_status":         {http.StatusBadGateway, "Invalid status of a back end's answer"},
	"invalid_field_name":     {http.StatusBadGateway, "Invalid head of a back end's answer"},
	"invalid_version":        {http.StatusBadGateway, "Invalid version of a back end's answer"},
	"misplaced_encoding":     {http.StatusBadGateway, "Invalid framing of a back end's answer"},
	"answer_end_unconfirmed": {http.StatusBadGateway, "Back end's answer may be incomplete"},
	"call_unread":            {http.StatusBadGateway, "Back end left a call unread"},
	"connection_failed":      {http.StatusBadGateway, "Connection to a back end failed"},
	"overloaded":             {http.StatusServiceUnavailable, "Overloaded"},
	"draining":               {http.StatusServiceUnavailable, "Daemon is stopping"},
	"not_ready":              {http.StatusServiceUnavailable, "Daemon is not ready"},
	"not_leader":             {http.StatusServiceUnavailable, "Shard is changing its leader"},
	"shard_unavailable":      {http.StatusServiceUnavailable, "Shard has no majority"},
	"disk_failed":            {http.StatusServiceUnavailable, "Data folder failed"},
	"no_permitted_place":     {http.StatusServiceUnavailable, "No permitted place"},
	"engine_unavailable":     {http.StatusServiceUnavailable, "No engine available"},
	"tool_refused":           {http.StatusServiceUnavailable, "Tool refused the call"},
	"peer_unreachable":       {http.StatusServiceUnavailable, "Daemon cannot be reached"},
	"weights_unavailable":    {http.StatusServiceUnavailable, "Weight store gives no answer"},
	"platform_unavailable":   {http.StatusServiceUnavailable, "Platform gives no answer"},
	"proposal_unknown":       {http.StatusGatewayTimeout, "Fate of the request not known"},
	"outcome_unknown":        {http.StatusGatewayTimeout, "Outcome not known"},
}

// kindOf returns the row of a failure type. A type without a row, as one
// relayed by a newer daemon, is told by its outcome.
func kindOf(f failure.Failure) problemKind {
	if kind, known := problemKinds[f.Type()]; known {
		return kind
	}
	if f.Outcome() == failure.NotRun {
		return problemKind{http.StatusServiceUnavailable, "Refused"}
	}
	return problemKind{http.StatusInternalServerError, "Failed"}
}

// problemOf turns a failure into the response that callers see.
func problemOf(f failure.Failure) *callerapi.ProblemStatusCodeWithHeaders {
	kind := kindOf(f)
	retry := f.Retry()
	problem := callerapi.Problem{
		Type:    ProblemTypeBase + string(f.Type()),
		Title:   kind.title,
		Status:  kind.status,
		Detail:  callerapi.NewOptString(f.Error()),
		Outcome: callerapi.ProblemOutcome(f.Outcome()),
		Retry:   retry.Allowed,
	}
	response := &callerapi.ProblemStatusCodeWithHeaders{StatusCode: kind.status}
	if retry.Allowed {
		problem.RetryAfterMilliseconds = callerapi.NewOptInt64(roundUp(retry.After, time.Millisecond))
		response.RetryAfter = callerapi.NewOptInt64(roundUp(retry.After, time.Second))
	}
	response.Response = problem
	return response
}

// roundUp returns the number of whole units that cover d; never below 0.
func roundUp(d, unit time.Duration) int64 {
	return max(int64(math.Ceil(float64(d)/float64(unit))), 0)
}

// writeProblem answers a request that never reached an operation.
func writeProblem(w http.ResponseWriter, f failure.Failure) {
	response := problemOf(f)
	header := w.Header()
	header.Set("Content-Type", problemContentType)
	if seconds, set := response.RetryAfter.Get(); set {
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(response.StatusCode)
	encoder := new(jx.Encoder)
	response.Response.Encode(encoder)
	// A failed write means that the caller has gone.
	_, _ = encoder.WriteTo(w)
}
