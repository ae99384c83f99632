package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/callerapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Defaults of Options.
const (
	// DefaultMaxBodyBytes holds a prompt segment of the longest context.
	DefaultMaxBodyBytes = 8 << 20
	// DefaultWriteTimeout bounds one write to a caller that does not read.
	DefaultWriteTimeout = 30 * time.Second
)

// Authenticator knows tenants by their bearer tokens.
type Authenticator interface {
	// Tenant returns the tenant whose token it is.
	Tenant(token string) (structs.TenantID, bool)
}

// Options configures the callers' API.
type Options struct {
	Backend       Backend
	Authenticator Authenticator
	// Admission lets requests in; nil admits all.
	Admission Admission
	// Ready returns the failure to refuse every request with, or nil; it may
	// be nil itself.
	Ready func() failure.Failure
	// MaxBodyBytes bounds a request's body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// WriteTimeout bounds one write of a stream; 0 means DefaultWriteTimeout.
	WriteTimeout time.Duration
	// Metrics counts requests; nil counts nothing.
	Metrics *Metrics
}

// server serves the generated API around one Options.
type server struct {
	options   Options
	generated http.Handler
}

// NewHandler returns the HTTP handler of the callers' API. The error is of the
// generated server's own set-up and does not depend on Options.
func NewHandler(options Options) (http.Handler, error) {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if options.WriteTimeout == 0 {
		options.WriteTimeout = DefaultWriteTimeout
	}
	if options.Admission == nil {
		options.Admission = admitAll{}
	}
	s := &server{options: options}
	generated, err := callerapi.NewServer(
		&operations{options: &s.options},
		&security{authenticator: options.Authenticator},
		callerapi.WithErrorHandler(s.handleError),
		callerapi.WithNotFound(s.notFound),
		callerapi.WithMethodNotAllowed(s.methodNotAllowed),
	)
	if err != nil {
		return nil, err
	}
	s.generated = generated
	return s, nil
}

// ServeHTTP serves one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writer := newFlushingWriter(w, s.options.WriteTimeout)
	defer writer.finish()
	done := s.options.Metrics.begin(r.Method)
	defer func() { done(writer.status) }()
	r = r.WithContext(withRequest(r))
	if refusal := s.refusal(r); refusal != nil {
		s.refuse(writer, r, refusal)
		return
	}
	r.Body = http.MaxBytesReader(writer, r.Body, s.options.MaxBodyBytes)
	s.generated.ServeHTTP(writer, r)
}

// refusal returns why the request is not even looked at, or nil.
func (s *server) refusal(r *http.Request) failure.Failure {
	if s.options.Ready != nil {
		if refusal := s.options.Ready(); refusal != nil {
			return refusal
		}
	}
	if r.ContentLength > s.options.MaxBodyBytes {
		return &failure.TooLarge{LimitBytes: s.options.MaxBodyBytes}
	}
	return nil
}

func (s *server) refuse(w http.ResponseWriter, r *http.Request, err error) {
	writeProblem(w, s.options.tell(r.Context(), err))
}

// handleError answers a request that failed outside of the operations.
func (s *server) handleError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	if writer, ok := flushingWriterOf(w); ok && writer.status != 0 {
		// The response is under way: the reader has gone.
		return
	}
	s.refuse(w, r, err)
}

func (s *server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, r, &UnknownResource{Path: r.URL.Path})
}

func (s *server) methodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	s.refuse(w, r, &MethodNotAllowed{Method: r.Method, Allowed: allowed})
}
