package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// unlimitedGranter grants all requests.
type unlimitedGranter struct{}

func (unlimitedGranter) Grant(_ context.Context, _ quorum.GrantSubject, _ quota.Limit, _ int, _ bool) (quorum.GrantResult, error) {
	return quorum.GrantResult{Grant: quota.Grant{Requests: 1000, NewProgramsAllowed: true}}, nil
}

// tableWithTenants returns a table with the given number of tenants, and the hashes of their
// keys.
func tableWithTenants(count int) (*route.Table, []route.KeyHash) {
	configuration := &route.Configuration{Version: 1, Routes: []route.Route{{Name: "tool", Host: "a", Prefix: "/"}}}
	var keys []route.KeyHash
	for i := range count {
		key := route.HashKey(fmt.Sprintf("key-%d", i))
		keys = append(keys, key)
		configuration.Tenants = append(configuration.Tenants, route.Tenant{
			Name: fmt.Sprintf("tenant-%d", i), Keys: []route.KeyHash{key}, Quota: route.Quota{Rate: 1e6, Burst: 1e6},
		})
	}
	return route.NewTable(configuration), keys
}

// BenchmarkAdmit measures admission: it finds the tenant of a key and uses one of its permits.
// On 8 busy cores (medians of 3) a request took 200 ns without allocations at 100 tenants and
// 310 ns at 10,000, and with the metric by tenant 344 ns and 468 ns with one allocation. A
// timer created for each request, instead of only for those that wait, took 1,431 ns and 1,812
// ns with 4 allocations.
func BenchmarkAdmit(b *testing.B) {
	for _, tenants := range []int{100, 10000} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			table, keys := tableWithTenants(tenants)
			g := &Gateway{granter: unlimitedGranter{}, admittedPrograms: newRecentPrograms(time.Now), metrics: newMetrics(telemetry.NewRegistry())}
			r := &request{gateway: g, route: &table.Configuration().Routes[0], view: &directory.View{Table: table}}
			r.metadata.HasKey = true
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.metadata.KeyHash = keys[i%len(keys)]
				if err := r.identifyTenant(table); err != nil {
					b.Fatal(err)
				}
				if err := r.admit(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkHashKey measures the hash that the header codec computes for each request's key.
func BenchmarkHashKey(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		route.HashKey("gjqnirth5mgjy5rcpihh")
	}
}
