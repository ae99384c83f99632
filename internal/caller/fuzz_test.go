package caller_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/gen/callerapi"
)

// FuzzIssueCall sends any path, body and content type. Whatever is no request of
// the API runs nothing, and every answer is a status with problem details or a
// success; a request that runs is the one that was sent.
func FuzzIssueCall(f *testing.F) {
	f.Add("1", "stream=false", jsonType, []byte(goodCall))
	f.Add("0", "", jsonType, []byte(`{"kind":"model","target":"m","maxAnswerTokens":9223372036854775808}`))
	f.Add("1", "resend=true", "text/plain", []byte(goodCall))
	f.Add("4294967296", "stream=maybe", jsonType, []byte(`{"kind":"tool","target":"t","kind":"model"}`))
	f.Add("1", "", jsonType, []byte("{\"kind\":\"tool\",\"target\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, number, query, contentType string, body []byte) {
		var ran []caller.CallRequest
		backend := &scriptedBackend{call: func(_ context.Context, r caller.CallRequest, sink caller.AnswerSink) error {
			ran = append(ran, r)
			return sink.Part(caller.AnswerPart{Attempt: 1, Complete: true})
		}}
		handler, err := caller.NewHandler(caller.Options{Backend: backend, Authenticator: tokens{token: tenant}, MaxBodyBytes: 4096})
		require.NoError(t, err)
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/", bytes.NewReader(body))
		request.URL.Path, request.URL.RawQuery = callsPath+number, query
		request.Header.Set("Content-Type", contentType)
		request.Header.Set("Authorization", "Bearer "+token)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			require.Empty(t, ran)
			var told callerapi.Problem
			require.NoError(t, told.UnmarshalJSON(recorder.Body.Bytes()))
			require.Equal(t, recorder.Code, told.Status)
			// All these refusals are made without looking at the call.
			want := callerapi.ProblemOutcomeNotRun
			if resend, err := strconv.ParseBool(request.URL.Query().Get("resend")); err == nil && resend {
				want = callerapi.ProblemOutcomeOutcomeUnknown
			}
			require.Equal(t, want, told.Outcome)
			return
		}
		require.Len(t, ran, 1)
		require.Positive(t, ran[0].Number)
		require.Contains(t, []caller.CallKind{caller.CallModel, caller.CallTool}, ran[0].Kind)
		require.LessOrEqual(t, len(body), 4096)
		var sent callerapi.IssueCall
		require.NoError(t, sent.UnmarshalJSON(body))
		require.Equal(t, sent.Input.Or(""), string(ran[0].Input))
	})
}
