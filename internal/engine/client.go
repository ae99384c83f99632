// Package engine is the client of model engines.
//
// Nothing is repeated inside. Generating under the same stream id again joins
// the same stream, so a caller may repeat that; Resume, Cancel, Release and all
// reads may be repeated too.
package engine

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/engineapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	// unavailableDelay is when to come back to an engine that named no time.
	unavailableDelay = time.Second
	// bytesPerToken is the length of text that reservations count as a token.
	bytesPerToken = 4
)

// Problem types of the engine's API.
const (
	problemGone       = "engine_gone"
	problemFence      = "fence_rejected"
	problemNotLoaded  = "not_loaded"
	problemNoRoom     = "no_room"
	problemTooLong    = "too_long"
	problemBadRequest = "bad_request"
)

// TokenCount returns the tokens that a reservation counts for a text: four
// bytes make one.
func TokenCount(text []byte) int64 {
	return int64((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// HoldList is the memory that an engine keeps for programs, at one moment.
type HoldList struct {
	Incarnation structs.Incarnation
	Holders     []structs.ProgramID
}

// CacheEvent says how much of a holder's cache an engine had after a change.
// Events come late and some never come: a gap in the sequence shows that.
type CacheEvent struct {
	Incarnation structs.Incarnation
	Sequence    uint64
	// Stored is true for cache added, false for cache evicted or released.
	Stored bool
	Holder structs.ProgramID
	// Tokens of the holder in the engine's cache after the change.
	Tokens int64
}

// Client talks to model engines by their addresses, which are base URLs. It is
// safe for concurrent use.
type Client struct {
	http *http.Client
	// inflow bounds what is held of engines' answers, and whole sends the calls whose answers are read whole.
	inflow *transport.Inflow
	whole  *http.Client
	// apis holds an *engineapi.Client for each address.
	apis sync.Map
}

// NewClient returns a client that sends through httpClient.
func NewClient(httpClient *http.Client) *Client {
	inflow := transport.NewInflow()
	return &Client{http: transport.NewCheckedClient(httpClient), inflow: inflow, whole: inflow.NewClient(httpClient)}
}

// RegisterMetrics registers the counters of refused answers.
func (c *Client) RegisterMetrics(registry *telemetry.Registry) {
	c.inflow.RegisterMetrics(registry, "engines")
}

// Cancel stops a stream. A stream that the engine does not know counts as
// stopped. The error is a *failure.EngineUnavailable.
func (c *Client) Cancel(ctx context.Context, address, streamID string) error {
	api, err := c.api(address)
	if err != nil {
		return err
	}
	return translate(address, api.CancelStream(ctx, engineapi.CancelStreamParams{StreamID: streamID}))
}

// Release frees a holder's memory and stops its streams. It returns nil when
// the engine keeps no memory of the holder any more, also where it never did.
// Errors: *failure.EngineGone (that incarnation does not live any more, and its
// memory with it), *failure.EngineUnavailable.
func (c *Client) Release(ctx context.Context, address string, incarnation structs.Incarnation, holder structs.ProgramID) error {
	api, err := c.api(address)
	if err != nil {
		return err
	}
	request := &engineapi.Release{Incarnation: uint64(incarnation), Holder: string(holder)}
	return translate(address, api.ReleaseHold(ctx, request))
}

// Holds returns the holders of the engine's memory. The error is a
// *failure.EngineUnavailable.
func (c *Client) Holds(ctx context.Context, address string) (HoldList, error) {
	api, err := c.api(address)
	if err != nil {
		return HoldList{}, err
	}
	answer, err := api.ListHolds(ctx)
	if err != nil {
		return HoldList{}, translate(address, err)
	}
	list := HoldList{Incarnation: structs.Incarnation(answer.Incarnation), Holders: make([]structs.ProgramID, 0, len(answer.Holders))}
	for _, holder := range answer.Holders {
		list.Holders = append(list.Holders, structs.ProgramID(holder))
	}
	return list, nil
}

// Status returns the engine's load report, stamped with the time of its
// receipt. The error is a *failure.EngineUnavailable.
func (c *Client) Status(ctx context.Context, address string) (structs.EngineStatus, error) {
	api, err := c.api(address)
	if err != nil {
		return structs.EngineStatus{}, err
	}
	answer, err := api.GetStatus(ctx)
	if err != nil {
		return structs.EngineStatus{}, translate(address, err)
	}
	return fromStatus(address, answer), nil
}

func fromStatus(address string, answer *engineapi.Status) structs.EngineStatus {
	return structs.EngineStatus{
		ID:                  structs.EngineID(answer.ID),
		Incarnation:         structs.Incarnation(answer.Incarnation),
		Zone:                structs.ZoneName(answer.Zone),
		Address:             address,
		Role:                structs.EngineRole(answer.Role),
		Loaded:              models(answer.Loaded),
		Loading:             models(answer.Loading),
		Fence:               answer.Fence,
		CacheCapacityTokens: answer.CacheCapacityTokens,
		CacheUsedTokens:     answer.CacheUsedTokens,
		Running:             answer.Running,
		Waiting:             answer.Waiting,
		QueuedTokens:        answer.QueuedTokens,
		MaxBatch:            answer.MaxBatch,
		Leaving:             answer.Leaving,
		ReportedAt:          time.Now(),
	}
}

func models(list []engineapi.LoadedModel) []structs.LoadedModel {
	loaded := make([]structs.LoadedModel, 0, len(list))
	for _, entry := range list {
		loaded = append(loaded, structs.LoadedModel{
			Model:    structs.ModelName(entry.Model),
			Version:  entry.Version,
			Adapters: entry.Adapters,
		})
	}
	return loaded
}

// CacheEvents returns the events after a sequence number that the engine has
// published. The error is a *failure.EngineUnavailable.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	api, err := c.api(address)
	if err != nil {
		return nil, err
	}
	answer, err := api.ListCacheEvents(ctx, engineapi.ListCacheEventsParams{After: after})
	if err != nil {
		return nil, translate(address, err)
	}
	events := make([]CacheEvent, 0, len(answer.Events))
	for _, event := range answer.Events {
		events = append(events, CacheEvent{
			Incarnation: structs.Incarnation(answer.Incarnation),
			Sequence:    event.Sequence,
			Stored:      event.Stored,
			Holder:      structs.ProgramID(event.Holder),
			Tokens:      event.Tokens,
		})
	}
	return events, nil
}

// translate turns an error of the generated client into a typed failure.
func translate(address string, err error) error {
	if err == nil {
		return nil
	}
	var answer *engineapi.ProblemStatusCode
	if !errors.As(err, &answer) {
		return &failure.EngineUnavailable{Engine: address, Wait: unavailableDelay}
	}
	return fromProblem(address, problem{
		Type:                   answer.Response.Type,
		Detail:                 answer.Response.Detail,
		Seen:                   answer.Response.Seen.Or(0),
		RetryAfterMilliseconds: answer.Response.RetryAfterMilliseconds.Or(0),
	})
}

// problem is the JSON body of a failure.
type problem struct {
	Type                   string `json:"type"`
	Detail                 string `json:"detail"`
	Seen                   uint64 `json:"seen"`
	RetryAfterMilliseconds int64  `json:"retryAfterMilliseconds"`
}

func fromProblem(address string, p problem) error {
	switch p.Type {
	case problemGone:
		return &failure.EngineGone{Engine: address}
	case problemFence:
		return &failure.FenceRejected{Seen: p.Seen}
	case problemNotLoaded, problemNoRoom:
		return &failure.EngineUnavailable{Engine: address, Wait: unavailableDelay}
	case problemTooLong, problemBadRequest:
		return &failure.Malformed{Field: "generate", Reason: p.Detail}
	default:
		wait := time.Duration(p.RetryAfterMilliseconds) * time.Millisecond
		if wait == 0 {
			wait = unavailableDelay
		}
		return &failure.EngineUnavailable{Engine: address, Wait: wait}
	}
}

func (c *Client) api(address string) (*engineapi.Client, error) {
	if known, ok := c.apis.Load(address); ok {
		return known.(*engineapi.Client), nil
	}
	api, err := engineapi.NewClient(address, engineapi.WithClient(c.whole))
	if err != nil {
		return nil, &failure.EngineUnavailable{Engine: address, Wait: unavailableDelay}
	}
	known, _ := c.apis.LoadOrStore(address, api)
	return known.(*engineapi.Client), nil
}
