package transport

import (
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// compression is the only one that connect knows by itself.
const compression = "gzip"

// ClientOptions are for calls between gateways and replicas. They offer no compression: messages
// are small, and each compressor takes about a megabyte and more time than all the
// rest of a call.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithAcceptCompression(compression, nil, nil), connect.WithReadMaxBytes(MaxResponseBytes)}
}

// HandlerOptions are for those who answer such calls: no compression. Inflow.NewHandler bounds the messages.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression(compression, nil, nil)}
}

// NewHandler returns a handler of connect calls that reads their messages within bounds: one that exceeds a bound
// fails with the reason, and takes no more memory.
func (i *Inflow) NewHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &heldBody{ReadCloser: r.Body, holding: i.newHolding(r.RemoteAddr, i.maxMessage)}
		defer body.holding.release()
		r.Body = &heldCall{heldBody: body, connection: http.NewResponseController(w)}
		stream := &streamBody{}
		stream.holding.Store(body.holding)
		next.ServeHTTP(w, r.WithContext(withStreamBody(r.Context(), stream)))
	})
}

// heldCall is the body of a call; its errors have the code that callers are told.
type heldCall struct {
	*heldBody
	connection *http.ResponseController
}

func (c *heldCall) Read(data []byte) (int, error) {
	count, err := c.heldBody.Read(data)
	if c.exceeded == nil {
		return count, err
	}
	// The server would await the rest of a body that is nearly read before it answers and closes the connection. A
	// deadline cannot be set only if the connection is closed already.
	_ = c.connection.SetReadDeadline(time.Now())
	return count, connect.NewError(connect.CodeResourceExhausted, c.exceeded)
}

// NewPeerServer returns a server for calls of other processes of this project, with a bound for their heads.
func NewPeerServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, MaxHeaderBytes: MaxResponseHeadBytes, WriteTimeout: PeerWriteTimeout}
}
