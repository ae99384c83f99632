package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/callerapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// requestKey and tenantKey find what a request's context carries.
type (
	requestKey struct{}
	tenantKey  struct{}
)

// requestTraits is what operations need of the HTTP request itself.
type requestTraits struct {
	// acceptsEvents says that the Accept header names text/event-stream.
	acceptsEvents bool
	// resend says that the caller has sent this call before.
	resend bool
}

func withRequest(r *http.Request) context.Context {
	traits := requestTraits{
		acceptsEvents: strings.Contains(r.Header.Get("Accept"), eventStreamType),
		resend:        r.Method == http.MethodPut && isTrue(r.URL.Query().Get("resend")),
	}
	return context.WithValue(r.Context(), requestKey{}, traits)
}

// isTrue reads a boolean parameter as the generated server does.
func isTrue(text string) bool {
	value, err := strconv.ParseBool(text)
	return err == nil && value
}

func traitsOf(ctx context.Context) requestTraits {
	traits, _ := ctx.Value(requestKey{}).(requestTraits)
	return traits
}

// tell returns err as the caller of this request is to see it, and counts it.
func (o *Options) tell(ctx context.Context, err error) failure.Failure {
	f := failureOf(err)
	if traitsOf(ctx).resend {
		f = resent(f)
	}
	o.Metrics.failed(f)
	return f
}

// security finds the tenant of a bearer token.
type security struct {
	authenticator Authenticator
}

// HandleTenantToken puts the token's tenant into the context.
func (s *security) HandleTenantToken(ctx context.Context, _ callerapi.OperationName, t callerapi.TenantToken) (context.Context, error) {
	tenant, known := s.authenticator.Tenant(t.Token)
	if !known {
		return ctx, &failure.Unauthenticated{}
	}
	return context.WithValue(ctx, tenantKey{}, tenant), nil
}

// tenantOf returns the authenticated tenant.
func tenantOf(ctx context.Context) structs.TenantID {
	tenant, _ := ctx.Value(tenantKey{}).(structs.TenantID)
	return tenant
}
