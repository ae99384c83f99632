package gateway

import (
	"net/url"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// identify finds the tenant that holds the client's key. On a public route a key is not
// needed, and one that nobody holds does no harm.
func (r *request) identify(table *route.Table) error {
	if table.RequiresKeys() && r.envelope.HasKey {
		r.tenant = table.Tenant(r.envelope.KeyHash)
	}
	r.program = programOf(r.tenantName(), r.envelope.Program)
	if r.tenant != nil || r.route.Public || !table.RequiresKeys() {
		return nil
	}
	return &UnknownKey{Missing: !r.envelope.HasKey, Version: table.Version()}
}

// tenantName returns the name of the request's tenant; "" is none.
func (r *request) tenantName() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}

// programOf names a tenant's program in kept state. A tenant that uses another one's name
// for a program gets a program of its own.
func programOf(tenant, program string) string {
	if tenant == "" || program == "" {
		return program
	}
	return url.PathEscape(tenant) + "/" + program
}

// UnknownKey reports a request without a key that the configuration in force knows.
type UnknownKey struct {
	// Missing is set where the client sent no key at all.
	Missing bool
	// Version is the configuration's.
	Version uint64
}

func (e *UnknownKey) Error() string {
	if e.Missing {
		return "the request carries no key"
	}
	return "no tenant holds the key"
}

// Type returns "unknown_key".
func (e *UnknownKey) Type() failure.Type { return "unknown_key" }

// Outcome returns NotRun.
func (e *UnknownKey) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *UnknownKey) Retry() failure.Retry { return failure.Retry{} }
