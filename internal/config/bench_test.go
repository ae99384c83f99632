package config_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// fullSize is a configuration of 7,700 tenants.
func fullSize() *structs.Configuration {
	c := &structs.Configuration{Version: 1}
	for i := range 7700 {
		c.Declarations.Tenants = append(c.Declarations.Tenants, structs.Tenant{
			Name:        structs.TenantID(fmt.Sprintf("tenant-%05d", i)),
			TokenSHA256: []string{fmt.Sprintf("%064x", i)},
		})
	}
	return c
}

// BenchmarkDelta measures one changed tenant at a reader that computes the
// delta, and at a follower that applies it.
func BenchmarkDelta(b *testing.B) {
	reader, follower := newStore(b, ""), newStore(b, "")
	current := fullSize()
	reader.Offer(current)
	follow(b, reader, follower)
	next := func() {
		changed := *current
		changed.Version++
		changed.Declarations.Tenants = slices.Clone(current.Declarations.Tenants)
		changed.Declarations.Tenants[int(changed.Version)%7700].Weight++
		current = &changed
	}
	b.Run("reader", func(b *testing.B) {
		for b.Loop() {
			next()
			reader.Offer(current)
		}
	})
	follow(b, reader, follower)
	b.Run("follower", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			next()
			reader.Offer(current)
			deltas := reader.Document().Deltas(follower.Version())
			b.StartTimer()
			follower.Document().Apply(deltas[0])
		}
	})
}
