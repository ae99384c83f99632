package replica

import (
	"context"
	"fmt"
	"path"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// rejectionLogInterval is the minimum time between two log lines about rejected calls.
const rejectionLogInterval = time.Second

// limitedProcedures are the paths of the calls that the in-flight limit holds for.
var limitedProcedures = []string{
	replicav1connect.ReplicaServiceAppendProcedure, replicav1connect.ReplicaServiceReadChainProcedure, replicav1connect.ReplicaServiceReadStreamProcedure,
	replicav1connect.ReplicaServicePullProcedure, replicav1connect.ReplicaServiceAnnounceProcedure, replicav1connect.ReplicaServiceAgreeProcedure,
	replicav1connect.ReplicaServiceGrantProcedure, replicav1connect.ReplicaServiceLoanProcedure, replicav1connect.ReplicaServiceQuarantineProcedure,
}

// procedureCounts counts the calls of one procedure. It is safe for concurrent use.
type procedureCounts struct {
	name                         string
	inFlight, answered, rejected atomic.Int64
	// nanoseconds is the time that the answered calls took together.
	nanoseconds atomic.Int64
}

// finish counts an answered call that began at startedAt.
func (p *procedureCounts) finish(startedAt time.Time) {
	p.inFlight.Add(-1)
	p.answered.Add(1)
	p.nanoseconds.Add(int64(time.Since(startedAt)))
}

// callCounts counts the calls that a replica takes, by procedure.
type callCounts struct {
	byPath map[string]*procedureCounts
	// other counts calls of paths that are not known.
	other *procedureCounts
}

func newCallCounts() *callCounts {
	counts := &callCounts{byPath: make(map[string]*procedureCounts), other: &procedureCounts{name: "other"}}
	for _, procedure := range limitedProcedures {
		counts.byPath[procedure] = &procedureCounts{name: strings.ToLower(path.Base(procedure))}
	}
	return counts
}

// of returns the counts of the procedure with a path.
func (c *callCounts) of(path string) *procedureCounts {
	if found := c.byPath[path]; found != nil {
		return found
	}
	return c.other
}

// register registers the counts as metrics.
func (c *callCounts) register(registry *telemetry.Registry) {
	for _, procedure := range limitedProcedures {
		counts := c.of(procedure)
		registry.CounterFunc(metricCalls, prometheus.Labels{"procedure": counts.name, "outcome": "answered"}, func() float64 { return float64(counts.answered.Load()) })
		registry.CounterFunc(metricCalls, prometheus.Labels{"procedure": counts.name, "outcome": "rejected"}, func() float64 { return float64(counts.rejected.Load()) })
		registry.CounterFunc(metricCallSeconds, prometheus.Labels{"procedure": counts.name}, func() float64 { return time.Duration(counts.nanoseconds.Load()).Seconds() })
	}
}

// procedureTotals are the totals of one procedure's counts at one time.
type procedureTotals struct {
	answered, rejected, nanoseconds int64
}

func (p *procedureCounts) totals() procedureTotals {
	return procedureTotals{answered: p.answered.Load(), rejected: p.rejected.Load(), nanoseconds: p.nanoseconds.Load()}
}

// logRejections logs, at most once per rejectionLogInterval, which calls were rejected and what the
// replica did instead. It ends with ctx.
func (c *callCounts) logRejections(ctx context.Context) {
	before := make(map[string]procedureTotals)
	for pause.For(ctx, rejectionLogInterval) {
		if report, rejected := c.changesSince(before); rejected > 0 {
			eventCallsRejected.Log("rejected", rejected, "calls", report)
		}
	}
}

// changesSince describes the calls of each procedure since the totals in before, which it replaces by
// the present ones. rejected is the number of rejected calls.
func (c *callCounts) changesSince(before map[string]procedureTotals) (report []string, rejected int64) {
	for _, procedure := range limitedProcedures {
		counts := c.of(procedure)
		now, earlier := counts.totals(), before[procedure]
		before[procedure] = now
		answered := now.answered - earlier.answered
		rejectedCalls := now.rejected - earlier.rejected
		if answered+rejectedCalls == 0 {
			continue
		}
		mean := time.Duration((now.nanoseconds - earlier.nanoseconds) / max(1, answered))
		rejected += rejectedCalls
		report = append(report, fmt.Sprintf("%s answered=%d rejected=%d in_flight=%d mean_ms=%d", counts.name, answered, rejectedCalls, counts.inFlight.Load(), mean.Milliseconds()))
	}
	return report, rejected
}
