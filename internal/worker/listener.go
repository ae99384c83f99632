package worker

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// listenerHoldTime is how long a new connection must stay open to show that a process serves it. A
// process that ends may close its connections a moment before its listener.
const listenerHoldTime = 20 * time.Millisecond

// CheckListener opens a connection to an address and closes it again. It returns nil if a process
// listens there, and otherwise the error of the dialer.
func (p *Pool) CheckListener(ctx context.Context, address string) error {
	connection, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	defer connection.Close()
	pause.For(ctx, listenerHoldTime)
	if transport.IsQuiet(connection) {
		return nil
	}
	// The connection was closed at once: by a process that ends, or by one with too many connections.
	again, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	return again.Close()
}
