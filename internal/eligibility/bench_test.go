package eligibility_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/eligibility"
)

// BenchmarkChoice chooses a worker of a large service as a gateway does, with and without
// drained zones; "filter" is the part that asks which workers may get the request.
func BenchmarkChoice(b *testing.B) {
	const workers, zones = 11000, 17
	listed := make([]*directory.WorkerRecord, workers)
	for i := range listed {
		listed[i] = &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprintf("worker-%05d", i), Zone: fmt.Sprintf("zone-%02d", i%zones)}}
	}
	for _, example := range []struct {
		name     string
		followed bool
		drained  []string
	}{
		{name: "not-followed"},
		{name: "none-drained", followed: true},
		{name: "one-drained", followed: true, drained: []string{"zone-03"}},
		{name: "four-drained", followed: true, drained: []string{"zone-03", "zone-07", "zone-11", "zone-16"}},
	} {
		state := directory.NewState(time.Now, nil)
		state.ReplaceZoneDrains(example.drained, 1)
		beliefs := eligibility.Checker{DrainsEnabled: example.followed, Drains: state.View().Drains}
		b.Run(example.name+"/filter", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				beliefs.Filter(listed, eligibility.Request{})
			}
		})
		b.Run(example.name+"/whole", func(b *testing.B) {
			balancer := balance.New(time.Now, "zone-01")
			b.ReportAllocs()
			for b.Loop() {
				eligible, _ := beliefs.Filter(listed, eligibility.Request{})
				chosen, _ := balancer.Choose(eligible, balance.Request{Service: "s"})
				balancer.Done(chosen.ID, balance.Served)
			}
		})
	}
}
