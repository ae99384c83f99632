package gateway

import (
	"fmt"
	"testing"

	"github.com/barleyshelf/barleyshelf/internal/balance"
)

// BenchmarkChoose measures worker selection for a service without a cold setting.
func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{40, 11000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			g := gatewayWithWorkers(workers)
			r := requestForService(g)
			b.ReportAllocs()
			for b.Loop() {
				chosen, _ := r.choose()
				g.balancer.Done(chosen.ID, balance.Served)
				r.logEntries = r.logEntries[:0]
			}
		})
	}
}
