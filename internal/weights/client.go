// Package weights is the client of the weight store, from which engines fetch
// models and adapters at a rate that all of them share.
package weights

import (
	"context"
	"net/http"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/weightsapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Fetch names weights to read.
type Fetch struct {
	Model   structs.ModelName
	Version string
	// Adapter is empty for the model itself.
	Adapter string
	Bytes   int64
	// Priority orders fetches at the store; lower goes first.
	Priority int
}

// Load is what the store has to do.
type Load struct {
	// BytesPerSecond is the rate over all readers together.
	BytesPerSecond int64
	// QueuedBytes are asked for and not yet sent.
	QueuedBytes int64
	// Fetches counts the readers under way.
	Fetches int
}

// Client talks to one weight store. It is safe for concurrent use.
type Client struct {
	// api is nil when the address is no base URL.
	api *weightsapi.Client
}

// NewClient returns a client of the store at address, a base URL. With an
// address that is none, every call fails with a *failure.WeightsUnavailable.
func NewClient(address string, httpClient *http.Client) *Client {
	api, err := weightsapi.NewClient(address, weightsapi.WithClient(httpClient))
	if err != nil {
		return &Client{}
	}
	return &Client{api: api}
}

// Fetch reads weights and returns when the last byte is here. Reading has no
// effect and may be repeated. The error is a *failure.WeightsUnavailable.
func (c *Client) Fetch(ctx context.Context, f Fetch) error {
	if c.api == nil {
		return &failure.WeightsUnavailable{}
	}
	request := &weightsapi.Fetch{Model: string(f.Model), Version: f.Version, Bytes: f.Bytes, Priority: f.Priority}
	if f.Adapter != "" {
		request.Adapter.SetTo(f.Adapter)
	}
	if _, err := c.api.FetchWeights(ctx, request); err != nil {
		return &failure.WeightsUnavailable{}
	}
	return nil
}

// Load returns what the store has to do. The error is a
// *failure.WeightsUnavailable.
func (c *Client) Load(ctx context.Context) (Load, error) {
	if c.api == nil {
		return Load{}, &failure.WeightsUnavailable{}
	}
	load, err := c.api.GetLoad(ctx)
	if err != nil {
		return Load{}, &failure.WeightsUnavailable{}
	}
	return Load{BytesPerSecond: load.BytesPerSecond, QueuedBytes: load.QueuedBytes, Fetches: load.Fetches}, nil
}
