package gateway

import (
	"net/url"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// identifyTenant finds the tenant that owns the client's key. Public routes need no key and
// ignore unknown ones.
func (r *request) identifyTenant(table *route.Table) error {
	if table.RequiresKeys() && r.metadata.HasKey {
		r.tenant = table.Tenant(r.metadata.KeyHash)
	}
	r.programKey = qualifyProgram(r.tenantName(), r.metadata.Program)
	if r.tenant != nil || r.route.Public || !table.RequiresKeys() {
		return nil
	}
	return &UnknownKey{Missing: !r.metadata.HasKey, Version: table.Version()}
}

// tenantName returns the name of the request's tenant, or an empty string.
func (r *request) tenantName() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}

// qualifyProgram returns the key of a tenant's program in stored state. It keeps programs with
// the same name of different tenants apart.
func qualifyProgram(tenant, program string) string {
	if tenant == "" || program == "" {
		return program
	}
	return url.PathEscape(tenant) + "/" + program
}

// UnknownKey reports a request on a non-public route without a key that the configuration in
// force contains.
type UnknownKey struct {
	// Missing is set if the client sent no key.
	Missing bool
	// Version is the version of the configuration.
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

// Retry allows no retry.
func (e *UnknownKey) Retry() failure.Retry { return failure.Retry{} }
