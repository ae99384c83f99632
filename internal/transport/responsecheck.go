package transport

import (
	"io"
	"net/http"
	"time"
)

// unreadCallTimeout is how long the writing of a call may go on after a response has ended that only the end of its
// connection ends. net/http closes the connection then, which ends the writing.
const unreadCallTimeout = time.Second

// The major versions of HTTP in which calls are made.
const (
	http1 = 1
	http2 = 2
)

// NewCheckedClient returns a client that sends through httpClient, in HTTP/1, and fails where net/http accepts an invalid
// or incomplete response. The clients of an Inflow do so too.
func NewCheckedClient(httpClient *http.Client) *http.Client {
	checked := *httpClient
	checked.Transport = &checkedTransport{next: httpClient.Transport, majorVersion: http1}
	return &checked
}

// checkedTransport refuses invalid and incomplete responses that net/http accepts.
type checkedTransport struct {
	// next makes the calls; nil is http.DefaultTransport.
	next http.RoundTripper
	// majorVersion is that of HTTP.
	majorVersion int
}

// CloseIdleConnections closes those of next: http.Client looks for this method.
func (t *checkedTransport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// RoundTrip makes one call.
func (t *checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	next := t.next
	if next == nil {
		next = http.DefaultTransport
	}
	var trace callTrace
	response, err := next.RoundTrip(trace.follow(request))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response, t.majorVersion); err != nil {
		// The body of an invalid response is not used.
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response, isUnframed: IsUnframed(response), trace: &trace}
	return response, nil
}

// checkedBody is the body of a response. It ends with io.EOF only if it is complete.
type checkedBody struct {
	io.ReadCloser
	response   *http.Response
	isUnframed bool
	trace      *callTrace
	// ended is the error that Read returns from the end of the body on; nil before it.
	ended error
}

func (b *checkedBody) Read(data []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	count, err := b.ReadCloser.Read(data)
	if err != io.EOF {
		return count, err
	}
	b.ended = io.EOF
	if err := b.checkEnd(); err != nil {
		b.ended = err
	}
	return count, b.ended
}

// checkEnd fails if the body may be incomplete or its trailer is invalid.
func (b *checkedBody) checkEnd() error {
	if err := CheckFieldNames(b.response.Trailer); err != nil {
		return err
	}
	if !b.isUnframed {
		return nil
	}
	if err := b.trace.awaitWritten(unreadCallTimeout); err != nil {
		return &UnconfirmedEnd{Cause: err}
	}
	return nil
}

// IsUnframed reports whether only the end of the connection ends the body of a response.
func IsUnframed(response *http.Response) bool {
	return response.ProtoMajor == http1 && response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed
}
