package replica

import (
	"slices"
	"strconv"

	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

var (
	metricSeats = telemetry.Define(telemetry.Definition{
		Name: "replica_seats", Kind: telemetry.KindGauge, Unit: "seats",
		Help: "Seats of partitions' groups that this replica holds.",
	})
	metricStraySeats = telemetry.Define(telemetry.Definition{
		Name: "replica_stray_seats", Kind: telemetry.KindGauge, Unit: "seats",
		Help: "Seats of groups that are confined to another region than this replica's; they are not taken.",
	})
	metricRecords = telemetry.Define(telemetry.Definition{
		Name: "replica_records", Kind: telemetry.KindGauge, Unit: "records",
		Help: "Kept turns, reservations and settlements on this replica.",
	})
	metricEpoch = telemetry.Define(telemetry.Definition{
		Name: "replica_group_epoch", Kind: telemetry.KindGauge, Unit: "epoch",
		Help: "Highest epoch of the groups that this replica knows; 0 is none.",
	})
	metricRecovered = telemetry.Define(telemetry.Definition{
		Name: "replica_recovered", Kind: telemetry.KindGauge, Unit: "boolean",
		Help: "1 while this replica holds seats and everything that they held.",
	})
	metricGroupsUnderReplicated = telemetry.Define(telemetry.Definition{
		Name: "replica_groups_lacking", Kind: telemetry.KindGauge, Unit: "groups",
		Help: "Groups of which a member, as this one hears, has not held its seat for 3 s: they bear one loss less.",
	})
	metricLossesTolerated = telemetry.Define(telemetry.Definition{
		Name: "replica_losses_borne", Kind: telemetry.KindGauge, Unit: "disks",
		Help: "Lost disks that the weakest group of this replica's seats bears, as this one hears; below 0 service waits for members.",
	})
	metricDrainsRevision = telemetry.Define(telemetry.Definition{
		Name: "replica_zone_drains_revision", Kind: telemetry.KindGauge, Unit: "revision",
		Help: "Revision of the platform's store as of which this replica knows the drained zones; 0 is not at all.",
	})
	metricOpenLoans = telemetry.Define(telemetry.Definition{
		Name: "replica_loans_open", Kind: telemetry.KindGauge, Unit: "loans",
		Help: "Loans of programs' budgets that this replica holds and has not closed.",
	})
	metricCallsRefused = telemetry.Define(telemetry.Definition{
		Name: "replica_calls_refused", Kind: telemetry.KindGauge, Unit: "calls",
		Help: "Calls beyond the bound that were refused since the start.",
	})
	metricCalls = telemetry.Define(telemetry.Definition{
		Name: "replica_calls_total", Kind: telemetry.KindCounter, Unit: "calls", Labels: []string{"procedure", "outcome"},
		Help: "Calls of gateways and other replicas that were answered, or rejected at the limit of calls in flight.",
	})
	metricCallSeconds = telemetry.Define(telemetry.Definition{
		Name: "replica_call_seconds_total", Kind: telemetry.KindCounter, Unit: "seconds", Labels: []string{"procedure"},
		Help: "Time that the answered calls took together, from their heads to their answers.",
	})
)

func (r *Replica) registerGauges(registry *telemetry.Registry, limiter *inFlightLimiter) {
	r.watcher.RegisterMetrics(registry)
	r.quorum.RegisterMetrics(registry)
	limiter.counts.register(registry)
	registry.GaugeFunc(metricCallsRefused, func() float64 { return float64(limiter.refused()) })
	registry.GaugeFunc(metricDrainsRevision, func() float64 { return float64(r.directory.View().Drains.Revision) })
	registry.GaugeFunc(metricOpenLoans, func() float64 { return float64(r.state.openLoanCount()) })
	registry.GaugeFunc(metricGroupsUnderReplicated, func() float64 { return float64(r.underReplicated.count()) })
	registry.GaugeFunc(metricLossesTolerated, func() float64 { return float64(r.underReplicated.minToleratedLosses()) })
	registry.GaugeFunc(metricSeats, func() float64 { return float64(len(r.ownGroups())) })
	registry.GaugeFunc(metricStraySeats, func() float64 { return float64(r.straySeatCount()) })
	registry.GaugeFunc(metricRecords, func() float64 {
		return float64(r.state.recordCount())
	})
	registry.GaugeFunc(metricEpoch, func() float64 { return float64(slices.Max(append(r.directory.View().Epochs(), 0))) })
	registry.GaugeFunc(metricRecovered, func() float64 {
		if r.readiness().Ready {
			return 1
		}
		return 0
	})
}

func (r *Replica) readiness() telemetry.Readiness {
	ownGroups := r.ownGroups()
	if len(ownGroups) == 0 {
		return telemetry.Readiness{Reason: "holds no seat"}
	}
	for _, group := range ownGroups {
		if standing := r.state.standing(group.Partition, group.Epoch); !standing.Member || !standing.Recovered {
			return telemetry.Readiness{Reason: "recovering partition " + strconv.Itoa(int(group.Partition))}
		}
	}
	return telemetry.Readiness{Ready: true}
}
