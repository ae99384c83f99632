package route

import (
	"net"
	"slices"
	"sort"
	"strings"
)

// Table finds routes of one configuration. It is immutable.
type Table struct {
	configuration *Configuration
	byHost        map[string][]*Route
	byName        map[string]*Route
	tenants       tenantIndex
}

// NewTable indexes a configuration, which must not be changed afterwards.
func NewTable(configuration *Configuration) *Table {
	table := &Table{
		configuration: configuration,
		byHost:        make(map[string][]*Route),
		byName:        make(map[string]*Route, len(configuration.Routes)),
		tenants:       indexTenants(configuration.Tenants),
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := normalHost(route.Host)
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

// Configuration returns what the table was made from.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Limits returns the limits on what clients send.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// Service returns a declared service; a service that is not declared has no
// limits.
func (t *Table) Service(name string) Service {
	service, found := t.configuration.Services[name]
	if !found {
		service.Name = name
	}
	return service
}

// RequiresKeys reports whether requests need a key, except on public routes.
func (t *Table) RequiresKeys() bool { return len(t.configuration.Tenants) > 0 }

// RestrictsRegions reports whether any route or tenant may be served in some regions alone.
func (t *Table) RestrictsRegions() bool {
	return slices.ContainsFunc(t.configuration.Routes, func(route Route) bool { return len(route.Regions) > 0 }) ||
		slices.ContainsFunc(t.configuration.Tenants, func(tenant Tenant) bool { return len(tenant.Regions) > 0 })
}

// Tenant returns the tenant that holds a key, or nil.
func (t *Table) Tenant(key KeyHash) *Tenant { return t.tenants.find(key) }

// Match returns the route of the host whose prefix is the longest that begins
// the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
