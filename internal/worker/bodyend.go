package worker

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	// unreadRequestTimeout is how long a worker may take to accept the rest of a request after it has ended its response.
	unreadRequestTimeout = time.Second
	// acknowledgmentPollInterval is the time between two looks at what a worker has accepted.
	acknowledgmentPollInterval = time.Millisecond
)

// responseBody is the body of a response. It ends with io.EOF only if the body is complete.
type responseBody struct {
	source io.Reader
	// confirmEnd, if not nil, is called once at the end of source and fails if the body may be incomplete.
	confirmEnd func() error
	// complete is set once the body was read to its end, and endErr to what confirmEnd has returned.
	complete bool
	endErr   error
}

func (b *responseBody) Read(data []byte) (int, error) {
	if b.endErr != nil {
		return 0, b.endErr
	}
	count, err := b.source.Read(data)
	if err != io.EOF {
		return count, err
	}
	if !b.complete && b.confirmEnd != nil {
		if b.endErr = b.confirmEnd(); b.endErr != nil {
			return count, b.endErr
		}
	}
	b.complete = true
	return count, io.EOF
}

// confirmTrailer returns a check that the trailer behind a chunked body is valid.
func confirmTrailer(response *http.Response) func() error {
	return func() error {
		if err := transport.CheckFieldNames(response.Trailer); err != nil {
			return &MalformedResponse{Cause: err}
		}
		return nil
	}
}

// confirmUnframedEnd returns a check that the end of the connection is a proper end of a body that nothing else ends.
// The kernel reports a failure of a connection once. If the writer of the request gets it, the reader gets io.EOF.
// Errors are *transport.UnconfirmedEnd.
func (c *connection) confirmUnframedEnd(ctx context.Context, written *requestWrite) func() error {
	return func() error {
		deadline := time.Now().Add(unreadRequestTimeout)
		if err := written.await(ctx, unreadRequestTimeout); err != nil {
			return &transport.UnconfirmedEnd{Cause: err}
		}
		if err := c.awaitAcknowledged(ctx, deadline); err != nil {
			return &transport.UnconfirmedEnd{Cause: err}
		}
		return nil
	}
}

// awaitAcknowledged waits until the worker's kernel has accepted all that was written. It fails if the connection has
// failed, with *transport.CallUnread at the deadline, and with ctx.
func (c *connection) awaitAcknowledged(ctx context.Context, deadline time.Time) error {
	for {
		unacknowledged, err := transport.UnacknowledgedBytes(c.Conn)
		if err != nil {
			return err
		}
		// In this order, a reset that discards unacknowledged bytes is not missed.
		if transport.HasFailed(c.Conn) {
			return &transport.ConnectionFailed{}
		}
		if unacknowledged == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return &transport.CallUnread{Timeout: unreadRequestTimeout}
		}
		if !pause.For(ctx, acknowledgmentPollInterval) {
			return context.Cause(ctx)
		}
	}
}
