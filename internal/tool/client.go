// Package tool is the client of tool services.
//
// A call is sent once and never repeated inside. Its error tells whether the
// call ran: *failure.ToolRefused when it did not, *failure.ToolFailed when it
// did, and *failure.ToolOutcomeUnknown when bytes may have been sent and no
// whole answer came back.
package tool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/toolapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// refusedDelay is when to come back to a tool that named no time itself.
const refusedDelay = time.Second

// Result is a tool's answer to a call that ran.
type Result struct{ Body []byte }

// Outcome is what a tool knows of an earlier call, by the call's key.
type Outcome struct {
	// Known is false where the tool keeps no outcomes; nothing else counts then.
	Known bool
	// Ran says that a call with the key had its effect.
	Ran bool
	// Pending says that such a call is under way: ask again.
	Pending bool
	// Status is the HTTP status that the call was answered with.
	Status int
	// Body is the call's answer where Status is 200.
	Body []byte
}

// Client calls tool services. It is safe for concurrent use.
type Client struct {
	// inflow bounds what is held of tools' answers, and whole sends the calls; their answers are read whole.
	inflow *transport.Inflow
	whole  *http.Client
	// apis holds a *toolapi.Client for each address.
	apis sync.Map
}

// NewClient returns a client that sends through httpClient.
func NewClient(httpClient *http.Client) *Client {
	inflow := transport.NewInflow()
	return &Client{inflow: inflow, whole: inflow.NewClient(httpClient)}
}

// RegisterMetrics registers the counters of refused answers.
func (c *Client) RegisterMetrics(registry *telemetry.Registry) {
	c.inflow.RegisterMetrics(registry, "tools")
}

// Call sends a call under an idempotency key and waits for its whole answer.
// The deadline is ctx's. Errors: *failure.ToolFailed (ran),
// *failure.ToolRefused (not run), *failure.ToolOutcomeUnknown.
func (c *Client) Call(ctx context.Context, t structs.Tool, key string, arguments []byte) (Result, error) {
	api, err := c.api(t.Address)
	if err != nil {
		return Result{}, &failure.ToolRefused{Tool: string(t.Name), Wait: refusedDelay}
	}
	traced, sent := traceSent(ctx)
	answer, err := api.CallTool(traced,
		toolapi.CallToolReq{Data: bytes.NewReader(arguments)},
		toolapi.CallToolParams{Tool: string(t.Name), CallKey: key})
	if err != nil {
		return Result{}, callFailure(t, err, sent)
	}
	switch answer := answer.(type) {
	case *toolapi.CallToolOK:
		body, err := io.ReadAll(answer)
		if err != nil {
			return Result{}, &failure.ToolOutcomeUnknown{Tool: string(t.Name)}
		}
		return Result{Body: body}, nil
	case *toolapi.Problem:
		wait := time.Duration(answer.RetryAfterMilliseconds.Or(0)) * time.Millisecond
		return Result{}, &failure.ToolRefused{Tool: string(t.Name), Wait: max(wait, refusedDelay)}
	default:
		return Result{}, &failure.ToolOutcomeUnknown{Tool: string(t.Name)}
	}
}

// Outcome asks what became of the call with a key. The question has no effect
// and may be repeated. That a call has not run is final only when no request
// for it can still be on its way: ask after the call's own connection ended.
// The error is a *failure.ToolOutcomeUnknown: the tool gave no answer.
func (c *Client) Outcome(ctx context.Context, t structs.Tool, key string) (Outcome, error) {
	api, err := c.api(t.Address)
	if err != nil {
		return Outcome{}, &failure.ToolOutcomeUnknown{Tool: string(t.Name)}
	}
	answer, err := api.GetOutcome(ctx, toolapi.GetOutcomeParams{Tool: string(t.Name), Key: key})
	if err != nil {
		return Outcome{}, &failure.ToolOutcomeUnknown{Tool: string(t.Name)}
	}
	return Outcome{
		Known:   answer.Known,
		Ran:     answer.Ran,
		Pending: answer.Pending.Or(false),
		Status:  answer.Status.Or(0),
		Body:    answer.Body,
	}, nil
}

// callFailure classifies an error of the generated client.
func callFailure(t structs.Tool, err error, sent *atomic.Bool) error {
	var answer *toolapi.ProblemStatusCode
	if errors.As(err, &answer) {
		return &failure.ToolFailed{Tool: string(t.Name), Status: answer.StatusCode}
	}
	if sent.Load() {
		return &failure.ToolOutcomeUnknown{Tool: string(t.Name)}
	}
	return &failure.ToolRefused{Tool: string(t.Name), Wait: refusedDelay}
}

// traceSent returns a context whose request sets the flag as soon as any byte
// of it may have left: from the moment that a connection was had. net/http looks
// for another connection only after one on which it wrote nothing.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), &sent
}

func (c *Client) api(address string) (*toolapi.Client, error) {
	if known, ok := c.apis.Load(address); ok {
		return known.(*toolapi.Client), nil
	}
	api, err := toolapi.NewClient(address, toolapi.WithClient(c.whole))
	if err != nil {
		return nil, err
	}
	known, _ := c.apis.LoadOrStore(address, api)
	return known.(*toolapi.Client), nil
}
