package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// Watch is a stream of changed objects. It is used by one goroutine.
type Watch struct {
	body  io.ReadCloser
	lines *transport.Lines
}

// Watch starts a stream of the objects under prefix that changed after a
// version: first those that already have, in the order of their changes (with
// after 0 all that exist), then changes as they come. It lasts until ctx ends,
// Close, or the platform ends it. The error is a *failure.PlatformUnavailable.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (*Watch, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.address+"/v1/watch?"+query.Encode(), nil)
	if err != nil {
		return nil, &BadAddress{Address: c.address, Cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &failure.PlatformUnavailable{Operation: "watch"}
	}
	if response.StatusCode != http.StatusOK {
		// The body says no more than the status does.
		_ = response.Body.Close()
		return nil, &failure.PlatformUnavailable{Operation: "watch"}
	}
	return &Watch{body: response.Body, lines: c.inflow.NewLines(c.address, response.Body)}, nil
}

// Next returns the next change. After an error, which is a
// *failure.PlatformUnavailable, the watch is over; another can go on after the
// version of the last object.
func (w *Watch) Next() (Object, error) {
	line, err := w.lines.Next()
	if err != nil {
		return Object{}, &failure.PlatformUnavailable{Operation: "watch"}
	}
	var changed Object
	if json.Unmarshal(line, &changed) != nil {
		return Object{}, &failure.PlatformUnavailable{Operation: "watch"}
	}
	return changed, nil
}

// Close ends the watch.
func (w *Watch) Close() error {
	w.lines.Close()
	return w.body.Close()
}
