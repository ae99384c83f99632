package gateway

import (
	"fmt"
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/balance"
)

// BenchmarkChoose chooses a worker of a service that declares no cold workers.
func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{40, 11000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			g := gatewayBefore(workers)
			r := choosingAt(g)
			b.ReportAllocs()
			for b.Loop() {
				chosen, _ := r.choose()
				g.balancer.Done(chosen.ID, balance.Served)
				r.decisions = r.decisions[:0]
			}
		})
	}
}
