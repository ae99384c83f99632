package peer

import (
	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	// maxMessageBytes bounds one message: a snapshot chunk or a call's input.
	maxMessageBytes = 64 << 20
	// maxHeldBytes bounds what all messages that are being read hold together beyond small ones, at each side of the
	// calls: one of the longest has room.
	maxHeldBytes = 64 << 20
	// maxStreamBufferBytes and maxConnectionBufferBytes bound what HTTP/2 takes of a call's answer, and of all answers on
	// a connection, before it is read.
	maxStreamBufferBytes     = 1 << 20
	maxConnectionBufferBytes = 4 << 20
)

// newInflow returns the bounds of one side of the calls between daemons.
func newInflow() *transport.Inflow {
	inflow := transport.NewInflow()
	inflow.ExpectHTTP2()
	inflow.LimitMessage(maxMessageBytes)
	inflow.LimitHeld(maxHeldBytes)
	return inflow
}

// clientOptions are for calls to other daemons.
func clientOptions() []connect.ClientOption {
	return append(transport.ClientOptions(), connect.WithReadMaxBytes(maxMessageBytes), connect.WithInterceptors(transport.MessageInterceptor{}))
}

// handlerOptions are for calls of other daemons.
func handlerOptions() []connect.HandlerOption {
	return append(transport.HandlerOptions(), connect.WithReadMaxBytes(maxMessageBytes), connect.WithInterceptors(transport.MessageInterceptor{}))
}
