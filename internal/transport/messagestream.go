package transport

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"
)

// streamBody is the body of which a stream reads its messages.
type streamBody struct {
	// holding is nil until there is a body.
	holding atomic.Pointer[holding]
}

// messageRead gives back what was held of the message that was read.
func (b *streamBody) messageRead() {
	if held := b.holding.Load(); held != nil {
		held.release()
	}
}

type streamBodyKey struct{}

func withStreamBody(ctx context.Context, body *streamBody) context.Context {
	return context.WithValue(ctx, streamBodyKey{}, body)
}

// streamBodyOf returns the body that a call's context names, or nil.
func streamBodyOf(ctx context.Context) *streamBody {
	body, _ := ctx.Value(streamBodyKey{}).(*streamBody)
	return body
}

// MessageInterceptor has an Inflow bound each message of a stream by itself, where it would bound the stream as a
// whole. Both ends of a connect call may use it.
type MessageInterceptor struct{}

// WrapUnary changes nothing: there is one message.
func (MessageInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc { return next }

// WrapStreamingClient watches what a client receives.
func (MessageInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		body := &streamBody{}
		return &boundedClientStream{StreamingClientConn: next(withStreamBody(ctx, body), spec), body: body}
	}
}

// WrapStreamingHandler watches what a handler receives.
func (MessageInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, stream connect.StreamingHandlerConn) error {
		if body := streamBodyOf(ctx); body != nil {
			stream = &boundedHandlerStream{StreamingHandlerConn: stream, body: body}
		}
		return next(ctx, stream)
	}
}

type boundedClientStream struct {
	connect.StreamingClientConn
	body *streamBody
}

func (s *boundedClientStream) Receive(message any) error {
	defer s.body.messageRead()
	return s.StreamingClientConn.Receive(message)
}

type boundedHandlerStream struct {
	connect.StreamingHandlerConn
	body *streamBody
}

func (s *boundedHandlerStream) Receive(message any) error {
	defer s.body.messageRead()
	return s.StreamingHandlerConn.Receive(message)
}
