package route

import (
	"net"
	"slices"
	"sort"
	"strings"
)

// Table finds the routes, services and tenants of one configuration. It is immutable.
type Table struct {
	configuration *Configuration
	byHost        map[string][]*Route
	byName        map[string]*Route
	tenants       tenantIndex
}

// NewTable indexes a configuration, which must not be modified afterwards.
func NewTable(configuration *Configuration) *Table {
	table := &Table{
		configuration: configuration,
		byHost:        make(map[string][]*Route),
		byName:        make(map[string]*Route, len(configuration.Routes)),
		tenants:       indexTenants(configuration.Tenants),
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := normalizeHost(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
		table.byName[route.Name] = route
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return table
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Configuration returns the indexed configuration.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Limits returns the limits on what clients may send.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// Service returns a declared service. A service that is not declared has no limits.
func (t *Table) Service(name string) Service {
	service, found := t.configuration.Services[name]
	if !found {
		service.Name = name
	}
	return service
}

// RequiresKeys reports whether requests need a key, except on public routes.
func (t *Table) RequiresKeys() bool { return len(t.configuration.Tenants) > 0 }

// RestrictsRegions reports whether any route or tenant is restricted to some regions.
func (t *Table) RestrictsRegions() bool {
	return slices.ContainsFunc(t.configuration.Routes, func(route Route) bool { return len(route.Regions) > 0 }) ||
		slices.ContainsFunc(t.configuration.Tenants, func(tenant Tenant) bool { return len(tenant.Regions) > 0 })
}

// Tenant returns the tenant that owns a key, or nil.
func (t *Table) Tenant(key KeyHash) *Tenant { return t.tenants.find(key) }

// Match returns the route of the host with the longest prefix that matches the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
