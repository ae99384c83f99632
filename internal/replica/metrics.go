package replica

import "github.com/barleyshelf/barleyshelf/internal/telemetry"

var (
	metricRecords = telemetry.Define(telemetry.Definition{
		Name: "replica_records", Kind: telemetry.KindGauge, Unit: "records",
		Help: "Kept turns, reservations and settlements on this replica.",
	})
	metricEpoch = telemetry.Define(telemetry.Definition{
		Name: "replica_group_epoch", Kind: telemetry.KindGauge, Unit: "epoch",
		Help: "Epoch of the group that this replica knows; 0 is none.",
	})
	metricRecovered = telemetry.Define(telemetry.Definition{
		Name: "replica_recovered", Kind: telemetry.KindGauge, Unit: "boolean",
		Help: "1 while this replica holds a seat and everything that its seat held.",
	})
	metricCallsRefused = telemetry.Define(telemetry.Definition{
		Name: "replica_calls_refused", Kind: telemetry.KindGauge, Unit: "calls",
		Help: "Calls beyond the bound that were refused since the start.",
	})
)

func (r *Replica) defineGauges(registry *telemetry.Registry, bound *admission) {
	registry.GaugeFunc(metricCallsRefused, func() float64 { return float64(bound.refused.Load()) })
	registry.GaugeFunc(metricRecords, func() float64 {
		r.state.mutex.Lock()
		defer r.state.mutex.Unlock()
		return float64(r.state.store.Len())
	})
	registry.GaugeFunc(metricEpoch, func() float64 { return float64(r.state.standing(0).Epoch) })
	registry.GaugeFunc(metricRecovered, func() float64 {
		if r.readiness().Ready {
			return 1
		}
		return 0
	})
}

func (r *Replica) readiness() telemetry.Readiness {
	standing := r.state.standing(0)
	switch {
	case !standing.Member:
		return telemetry.Readiness{Reason: "holds no seat"}
	case !standing.Recovered:
		return telemetry.Readiness{Reason: "recovering"}
	}
	return telemetry.Readiness{Ready: true}
}
