package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
)

// hosts keeps the connections to each host apart, so that those to one that has fallen
// silent can be closed. A connection may go silent for good without a reset, while new
// ones work; then the other idle ones to the same host have mostly gone silent too, and
// each would cost a call its whole time. A host's transport stays for the process's life:
// a process calls the machines of its partitions and a few gateways.
type hosts struct {
	// create returns the transport of one host.
	create func() *http.Transport

	mutex      sync.Mutex
	transports map[string]*http.Transport
}

func newHosts(create func() *http.Transport) *hosts {
	return &hosts{create: create, transports: make(map[string]*http.Transport)}
}

// of returns a host's transport.
func (h *hosts) of(host string) *http.Transport {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.transports[host]
	if known == nil {
		known = h.create()
		h.transports[host] = known
	}
	return known
}

// RoundTrip makes one call. One that runs out of time closes the host's idle connections.
func (h *hosts) RoundTrip(request *http.Request) (*http.Response, error) {
	transport := h.of(request.URL.Host)
	response, err := transport.RoundTrip(request)
	if err != nil {
		closeIfSilent(transport, err)
		return nil, err
	}
	response.Body = &watchedBody{ReadCloser: response.Body, transport: transport}
	return response, nil
}

// CloseIdleConnections closes the idle connections to all hosts.
func (h *hosts) CloseIdleConnections() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, transport := range h.transports {
		transport.CloseIdleConnections()
	}
}

// watchedBody is an answer's body whose end by lack of time counts as silence.
type watchedBody struct {
	io.ReadCloser
	transport *http.Transport
}

func (b *watchedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	if err != nil {
		closeIfSilent(b.transport, err)
	}
	return count, err
}

// closeIfSilent closes idle connections after a call that ran out of time. A call that was
// cancelled says nothing of its host.
func closeIfSilent(transport *http.Transport, err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		transport.CloseIdleConnections()
	}
}
