package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/engineapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// StatusWatch is a stream of an engine's load reports. It is used by one
// goroutine.
type StatusWatch struct {
	address string
	body    io.ReadCloser
	lines   *transport.Lines
	last    structs.EngineStatus
}

// statusLine is a report as it is sent: a whole status, or the load alone, in
// the order running, waiting, queued tokens, used tokens of the cache.
type statusLine struct {
	Status *engineapi.Status `json:"status"`
	Load   *[4]int64         `json:"load"`
}

// WatchStatus asks for a report at once, another at each interval, and one at
// once when anything but the load changes. It lasts until ctx ends, Close, or
// the engine ends it. The error is a *failure.EngineUnavailable.
func (c *Client) WatchStatus(ctx context.Context, address string, interval time.Duration) (*StatusWatch, error) {
	target := address + "/v1/status/watch?intervalMilliseconds=" + strconv.FormatInt(interval.Milliseconds(), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, &failure.EngineUnavailable{Engine: address, Wait: unavailableDelay}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &failure.EngineUnavailable{Engine: address, Wait: unavailableDelay}
	}
	if response.StatusCode != http.StatusOK {
		// The body says no more than the status does.
		_ = response.Body.Close()
		return nil, &failure.EngineUnavailable{Engine: address, Wait: unavailableDelay}
	}
	return &StatusWatch{address: address, body: response.Body, lines: c.inflow.NewLines(address, response.Body)}, nil
}

// Next returns the next report. After an error, which is a
// *failure.EngineUnavailable, the watch is over.
func (w *StatusWatch) Next() (structs.EngineStatus, error) {
	data, err := w.lines.Next()
	if err != nil {
		return structs.EngineStatus{}, &failure.EngineUnavailable{Engine: w.address, Wait: unavailableDelay}
	}
	var read statusLine
	if json.Unmarshal(data, &read) != nil {
		return structs.EngineStatus{}, &failure.EngineUnavailable{Engine: w.address, Wait: unavailableDelay}
	}
	if read.Status != nil {
		w.last = fromStatus(w.address, read.Status)
		return w.last, nil
	}
	if read.Load != nil {
		w.last.Running = int(read.Load[0])
		w.last.Waiting = int(read.Load[1])
		w.last.QueuedTokens = read.Load[2]
		w.last.CacheUsedTokens = read.Load[3]
	}
	w.last.ReportedAt = time.Now()
	return w.last, nil
}

// Close ends the watch.
func (w *StatusWatch) Close() error {
	w.lines.Close()
	return w.body.Close()
}
