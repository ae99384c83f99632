package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// listenAddress lets the system pick a free loopback port.
	listenAddress = "127.0.0.1:0"
	// A port that is taken is tried so often, with a pause after each time.
	listenTries = 100
	listenPause = 20 * time.Millisecond
)

// ListenFailed reports that a stand-in could not open its port.
type ListenFailed struct {
	Address string
	Cause   error
}

func (e *ListenFailed) Error() string {
	return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenFailed) Unwrap() error { return e.Cause }

// standIn is the server that all stand-ins share: one loopback port, which a
// restart keeps, a network delay and a count of requests.
type standIn struct {
	// OneWayDelay is added before a request is handled and again before its
	// answer is sent.
	OneWayDelay Duration

	requests atomic.Int64
	mutex    sync.Mutex
	port     string
	server   *http.Server
	listener net.Listener
}

// Address returns the base URL, the same one after a restart.
func (s *standIn) Address() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return "http://" + s.port
}

// Requests counts the requests that came in so far.
func (s *standIn) Requests() int64 { return s.requests.Load() }

// listen opens the port, the former one after a restart, and serves handler.
func (s *standIn) listen(handler http.Handler) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	listener, err := listenAgain(s.port)
	if err != nil {
		return err
	}
	s.port = listener.Addr().String()
	s.server = &http.Server{Handler: s.counted(handler), ReadHeaderTimeout: time.Minute}
	s.listener = listener
	go serve(s.server, listener)
	return nil
}

// listenAgain opens the former port, or any where there is none. Meanwhile an
// outgoing connection may have the port for some time, so it is tried again.
func listenAgain(former string) (net.Listener, error) {
	address := former
	if address == "" {
		address = listenAddress
	}
	var cause error
	for range listenTries {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		cause = err
		time.Sleep(listenPause)
	}
	return nil, &ListenFailed{Address: address, Cause: cause}
}

// serve returns when the server is closed; its error then says only that.
func serve(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

// shut closes the port and cuts every connection.
func (s *standIn) shut() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.server == nil {
		return
	}
	// The server closes only a listener that it has begun to serve. The errors say
	// only that the listener was closed before.
	_ = s.listener.Close()
	_ = s.server.Close()
	s.server = nil
}

func (s *standIn) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		if sleep(r.Context(), s.OneWayDelay.Get()) != nil {
			return
		}
		next.ServeHTTP(&delayedWriter{ResponseWriter: w, ctx: r.Context(), delay: s.OneWayDelay.Get()}, r)
	})
}

// delayedWriter holds the first bytes of an answer back by the network delay.
type delayedWriter struct {
	http.ResponseWriter
	ctx     context.Context
	delay   time.Duration
	started bool
}

func (w *delayedWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

func (w *delayedWriter) Write(data []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach Flush.
func (w *delayedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *delayedWriter) begin() {
	if w.started {
		return
	}
	w.started = true
	// A client that left gets no answer anyway.
	_ = sleep(w.ctx, w.delay)
}

// sleep waits for the span or until the context ends, whose error it returns.
func sleep(ctx context.Context, span time.Duration) error {
	if span <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// cutConnection ends the request without an answer: the client sees the
// connection close.
func cutConnection() { panic(http.ErrAbortHandler) }
