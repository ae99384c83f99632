package caller_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/caller/client"
	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// problem is the body of every refusal.
type problem struct {
	Type                   string `json:"type"`
	Title                  string `json:"title"`
	Status                 int    `json:"status"`
	Detail                 string `json:"detail"`
	Outcome                string `json:"outcome"`
	Retry                  *bool  `json:"retry"`
	RetryAfterMilliseconds int64  `json:"retryAfterMilliseconds"`
}

type badRequest struct {
	name, method, path, contentType, body, token string
	status                                       int
	kind                                         string
}

const (
	callsPath = "/v1/programs/" + string(programA) + "/calls/"
	jsonType  = "application/json"
	goodCall  = `{"kind":"tool","target":"cabinet","input":"{}"}`
)

func badRequests() []badRequest {
	big := `{"kind":"model","target":"m","input":"` + strings.Repeat("x", 2000) + `"}`
	return []badRequest{
		{"malformed JSON", "PUT", callsPath + "1", jsonType, `{"kind":`, token, 400, "malformed_request"},
		{"trailing data", "PUT", callsPath + "1", jsonType, goodCall + `{}`, token, 400, "malformed_request"},
		{"no body", "PUT", callsPath + "1", jsonType, "", token, 400, "malformed_request"},
		{"unknown field", "PUT", callsPath + "1", jsonType, `{"kind":"tool","target":"t","speed":1}`, token, 400, "malformed_request"},
		{"unknown kind", "PUT", callsPath + "1", jsonType, `{"kind":"shell","target":"t"}`, token, 400, "malformed_request"},
		{"missing field", "PUT", callsPath + "1", jsonType, `{"kind":"tool"}`, token, 400, "malformed_request"},
		{"input not UTF-8", "PUT", callsPath + "1", jsonType, "{\"kind\":\"tool\",\"target\":\"t\",\"input\":\"\xff\"}", token, 400, "malformed_request"},
		{"adapter of a tool", "PUT", callsPath + "1", jsonType, `{"kind":"tool","target":"t","adapter":"a"}`, token, 400, "malformed_request"},
		{"negative bound", "PUT", callsPath + "1", jsonType, `{"kind":"model","target":"t","maxAnswerTokens":-1}`, token, 400, "malformed_request"},
		{"call number 0", "PUT", callsPath + "0", jsonType, goodCall, token, 400, "malformed_request"},
		{"call number no number", "PUT", callsPath + "one", jsonType, goodCall, token, 400, "malformed_request"},
		{"call number too large", "PUT", callsPath + "4294967296", jsonType, goodCall, token, 400, "malformed_request"},
		{"negative offset", "GET", callsPath + "1?offset=-1", "", "", token, 400, "malformed_request"},
		{"content type", "PUT", callsPath + "1", "text/plain", goodCall, token, 415, "unsupported_media_type"},
		{"oversized", "PUT", callsPath + "1", jsonType, big, token, 413, "request_too_large"},
		{"malformed id", "PUT", "/v1/programs/no-id/calls/1", jsonType, goodCall, token, 404, "unknown_program"},
		{"malformed parent", "POST", "/v1/programs", jsonType, `{"program":"p","key":"k","parent":"x"}`, token, 404, "unknown_program"},
		{"empty key", "POST", "/v1/programs", jsonType, `{"program":"p","key":""}`, token, 400, "malformed_request"},
		{"negative budget", "POST", "/v1/programs", jsonType, `{"program":"p","key":"k","budget":{"tokens":-1,"costMicros":0,"turns":0,"milliseconds":0}}`, token, 400, "malformed_request"},
		{"no token", "PUT", callsPath + "1", jsonType, goodCall, "", 401, "unauthenticated"},
		{"unknown token", "PUT", callsPath + "1", jsonType, goodCall, "guess", 401, "unauthenticated"},
		{"unknown path", "GET", "/v2/programs", "", "", token, 404, "unknown_resource"},
		{"unknown method", "PATCH", callsPath + "1", "", "", token, 405, "method_not_allowed"},
	}
}

func send(t testing.TB, server string, r badRequest, body io.Reader) (*http.Response, problem) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), r.method, server+r.path, body)
	require.NoError(t, err)
	request.Header.Set("Content-Type", r.contentType)
	if r.token != "" {
		request.Header.Set("Authorization", "Bearer "+r.token)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var got problem
	require.NoError(t, json.NewDecoder(response.Body).Decode(&got))
	return response, got
}

func TestBadInputIsRefusedAndNothingRuns(t *testing.T) {
	backend := &scriptedBackend{}
	server := serve(t, backend, func(o *caller.Options) { o.MaxBodyBytes = 1000 })
	for _, r := range badRequests() {
		t.Run(r.name, func(t *testing.T) {
			response, got := send(t, server.URL, r, strings.NewReader(r.body))
			require.Equal(t, "application/problem+json", response.Header.Get("Content-Type"))
			require.Equal(t, r.status, response.StatusCode, got)
			require.Equal(t, r.status, got.Status)
			require.Equal(t, caller.ProblemTypeBase+r.kind, got.Type)
			require.Equal(t, "not_run", got.Outcome)
			require.NotNil(t, got.Retry)
			require.False(t, *got.Retry)
			require.Zero(t, backend.count(), "the backend was asked")
		})
	}
}

// A body of no declared length cannot slip past the limit.
func TestOversizedBodyOfUnknownLengthIsRefused(t *testing.T) {
	backend := &scriptedBackend{}
	server := serve(t, backend, func(o *caller.Options) { o.MaxBodyBytes = 1000 })
	r := badRequest{method: "PUT", path: callsPath + "1", contentType: jsonType, token: token}
	body := io.MultiReader(strings.NewReader(goodCall), strings.NewReader(strings.Repeat(" ", 2000)))
	response, got := send(t, server.URL, r, body)
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.Equal(t, caller.ProblemTypeBase+"request_too_large", got.Type)
	require.Zero(t, backend.count())
}

func TestForeignProgramLooksLikeAnUnknownOne(t *testing.T) {
	foreign := &scriptedBackend{}
	unknown := &scriptedBackend{fail: &failure.UnknownProgram{Program: string(programA)}}
	leaking := &scriptedBackend{open: func(caller.OpenRequest) (caller.ProgramStatus, error) {
		return caller.ProgramStatus{ID: programA, Tenant: otherTest}, nil
	}}
	get := badRequest{method: "GET", path: "/v1/programs/" + string(programA), token: "token-of-hofbauer"}
	_, foreignProblem := send(t, serve(t, foreign, nil).URL, get, nil)
	get.token = token
	_, unknownProblem := send(t, serve(t, unknown, nil).URL, get, nil)
	require.Equal(t, unknownProblem, foreignProblem)
	post := badRequest{method: "POST", path: "/v1/programs", contentType: jsonType, token: token}
	_, leakedProblem := send(t, serve(t, leaking, nil).URL, post, strings.NewReader(`{"program":"p","key":"k"}`))
	require.Equal(t, unknownProblem, leakedProblem)
}

func TestFailureBeforeTheFirstPartHasItsStatusCode(t *testing.T) {
	backend := &scriptedBackend{fail: &failure.RateLimited{Wait: 1200 * time.Millisecond}}
	server := serve(t, backend, nil)
	for _, query := range []string{"?stream=true", "?stream=false"} {
		r := badRequest{method: "PUT", path: callsPath + "7" + query, contentType: jsonType, token: token}
		response, got := send(t, server.URL, r, strings.NewReader(goodCall))
		require.Equal(t, http.StatusTooManyRequests, response.StatusCode)
		require.Equal(t, "2", response.Header.Get("Retry-After"))
		require.Equal(t, int64(1200), got.RetryAfterMilliseconds)
		require.Equal(t, "not_run", got.Outcome)
		require.True(t, *got.Retry)
	}
}

// A refusal made without looking at the call says nothing of an earlier sending.
func TestRefusalOfARepeatDoesNotClaimThatTheCallDidNotRun(t *testing.T) {
	blind := &scriptedBackend{fail: &failure.Overloaded{Resource: "engines", Wait: time.Second}}
	looked := &scriptedBackend{fail: &failure.BudgetExceeded{Member: "turns"}}
	ready := serve(t, &scriptedBackend{}, func(o *caller.Options) {
		o.Ready = func() failure.Failure { return &failure.Draining{} }
	})
	outcome := func(url, query string) string {
		r := badRequest{method: "PUT", path: callsPath + "1" + query, contentType: jsonType, token: token}
		_, got := send(t, url, r, strings.NewReader(goodCall))
		return got.Outcome
	}
	blindURL, lookedURL := serve(t, blind, nil).URL, serve(t, looked, nil).URL
	require.Equal(t, "not_run", outcome(blindURL, ""))
	require.Equal(t, "outcome_unknown", outcome(blindURL, "?resend=true"))
	require.Equal(t, "not_run", outcome(ready.URL, ""))
	require.Equal(t, "outcome_unknown", outcome(ready.URL, "?resend=true"))
	require.Equal(t, "not_run", outcome(lookedURL, "?resend=true"))
}

func TestErrorOfNoKnownKindIsInternalAndUnknown(t *testing.T) {
	server := serve(t, &scriptedBackend{fail: io.ErrNoProgress}, nil)
	c := client.New(server.URL, token, server.Client())
	err := c.Cancel(t.Context(), programA, 1)
	require.True(t, failure.IsType(err, "internal"), err)
	f, _ := failure.As(err)
	require.Equal(t, failure.OutcomeUnknown, f.Outcome())
	require.True(t, f.Retry().Allowed)
}
