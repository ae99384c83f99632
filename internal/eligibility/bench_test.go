package eligibility_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/eligibility"
)

// BenchmarkChoice chooses a worker of a large service like a gateway, with and without drained
// zones. "filter" measures only the eligibility checks.
func BenchmarkChoice(b *testing.B) {
	const workers, zones = 11000, 17
	records := make([]*directory.WorkerRecord, workers)
	for i := range records {
		records[i] = &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprintf("worker-%05d", i), Zone: fmt.Sprintf("zone-%02d", i%zones)}}
	}
	for _, example := range []struct {
		name          string
		drainsEnabled bool
		drained       []string
	}{
		{name: "not-followed"},
		{name: "none-drained", drainsEnabled: true},
		{name: "one-drained", drainsEnabled: true, drained: []string{"zone-03"}},
		{name: "four-drained", drainsEnabled: true, drained: []string{"zone-03", "zone-07", "zone-11", "zone-16"}},
	} {
		state := directory.NewState(time.Now, nil)
		state.ReplaceZoneDrains(example.drained, 1)
		checker := eligibility.Checker{DrainsEnabled: example.drainsEnabled, Drains: state.View().Drains}
		b.Run(example.name+"/filter", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				checker.Filter(records, eligibility.Request{})
			}
		})
		b.Run(example.name+"/whole", func(b *testing.B) {
			balancer := balance.New(time.Now, "zone-01")
			b.ReportAllocs()
			for b.Loop() {
				eligible, _ := checker.Filter(records, eligibility.Request{})
				chosen, _ := balancer.Choose(eligible, balance.Request{Service: "s"})
				balancer.Done(chosen.ID, balance.Served)
			}
		})
	}
}
