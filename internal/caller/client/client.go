// Package client calls the callers' API. It streams answers, resumes them
// where they broke off, and keeps them whole.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/callerapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Client calls one daemon for one tenant. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the daemon at base, such as "http://127.0.0.1:7080".
// A nil http client means http.DefaultClient.
func New(base, token string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{base: strings.TrimSuffix(base, "/"), token: token, http: httpClient}
}

// Open opens a program, or finds the one opened under the same key. Errors of
// this and every other method are failures: *failure.Relayed for what the
// daemon told, *NoAnswer where none came, *caller.AnswerGap for a broken answer.
func (c *Client) Open(ctx context.Context, r caller.OpenRequest) (caller.ProgramStatus, error) {
	return c.program(ctx, http.MethodPost, "/v1/programs", encodeOpen(r))
}

// Status tells a program's state and spending.
func (c *Client) Status(ctx context.Context, id structs.ProgramID) (caller.ProgramStatus, error) {
	return c.program(ctx, http.MethodGet, programPath(id), nil)
}

// End ends a program.
func (c *Client) End(ctx context.Context, id structs.ProgramID) (caller.ProgramStatus, error) {
	return c.program(ctx, http.MethodPost, programPath(id)+"/end", nil)
}

// Cancel gives a call up.
func (c *Client) Cancel(ctx context.Context, id structs.ProgramID, number structs.CallNumber) error {
	response, err := c.send(ctx, http.MethodDelete, callPath(id, number), "", nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Call issues a call and streams its answer to the sink. resend must be set
// where this call may have reached any daemon before.
func (c *Client) Call(ctx context.Context, id structs.ProgramID, r caller.CallRequest, resend bool, sink caller.AnswerSink) error {
	path := callPath(id, r.Number) + "?resend=" + strconv.FormatBool(resend)
	return c.stream(ctx, http.MethodPut, path, encodeCall(r), caller.Sequence{}, sink)
}

// Read streams the answer of a call issued before, from where from stands.
func (c *Client) Read(ctx context.Context, id structs.ProgramID, number structs.CallNumber, from caller.Sequence, sink caller.AnswerSink) error {
	query := url.Values{}
	query.Set("offset", strconv.FormatUint(from.Next, 10))
	query.Set("attempt", strconv.FormatUint(uint64(from.Attempt), 10))
	path := callPath(id, number) + "?" + query.Encode()
	return c.stream(ctx, http.MethodGet, path, nil, from, sink)
}

// CallWhole issues a call and waits for the whole answer.
func (c *Client) CallWhole(ctx context.Context, id structs.ProgramID, r caller.CallRequest, resend bool) (Answer, error) {
	path := callPath(id, r.Number) + "?stream=false&resend=" + strconv.FormatBool(resend)
	response, err := c.send(ctx, http.MethodPut, path, jsonType, encodeCall(r))
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	var whole callerapi.Answer
	if err := decode(response.Body, &whole); err != nil {
		return Answer{}, err
	}
	return answerFrom(whole), nil
}

const (
	jsonType  = "application/json"
	eventType = "text/event-stream"
)

func programPath(id structs.ProgramID) string {
	return "/v1/programs/" + url.PathEscape(string(id))
}

func callPath(id structs.ProgramID, number structs.CallNumber) string {
	return programPath(id) + "/calls/" + strconv.FormatUint(uint64(number), 10)
}

func (c *Client) program(ctx context.Context, method, path string, body []byte) (caller.ProgramStatus, error) {
	response, err := c.send(ctx, method, path, jsonType, body)
	if err != nil {
		return caller.ProgramStatus{}, err
	}
	defer response.Body.Close()
	var status caller.ProgramStatus
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return caller.ProgramStatus{}, &NoAnswer{Cause: err}
	}
	return status, nil
}

// send gives a response whose status is a success.
func (c *Client) send(ctx context.Context, method, path, accept string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &failure.Malformed{Field: "address", Reason: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if accept != "" {
		request.Header.Set("Accept", accept)
	}
	if body != nil {
		request.Header.Set("Content-Type", jsonType)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &NoAnswer{Cause: err}
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer response.Body.Close()
		return nil, decodeProblem(response.Body)
	}
	return response, nil
}

// decodeProblem gives the failure that problem details tell.
func decodeProblem(body io.Reader) error {
	var problem callerapi.Problem
	if err := decode(body, &problem); err != nil {
		return err
	}
	return failureFrom(problem)
}

func failureFrom(p callerapi.Problem) *failure.Relayed {
	return &failure.Relayed{
		Kind:   failure.Type(strings.TrimPrefix(p.Type, caller.ProblemTypeBase)),
		Detail: p.Detail.Or(p.Title),
		Effect: failure.Outcome(p.Outcome),
		Again: failure.Retry{
			Allowed: p.Retry,
			After:   time.Duration(p.RetryAfterMilliseconds.Or(0)) * time.Millisecond,
		},
	}
}

// decode reads a generated type. The error is a *NoAnswer.
func decode(body io.Reader, into json.Unmarshaler) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return &NoAnswer{Cause: err}
	}
	if err := into.UnmarshalJSON(data); err != nil {
		return &NoAnswer{Cause: err}
	}
	return nil
}
