package daemon

import (
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

var (
	metricMembers = telemetry.Define(telemetry.Definition{
		Name: "cluster_members", Kind: telemetry.KindGauge, Unit: "daemons",
		Help: "Daemons of this daemon's view that were not removed.",
	})
	metricReplicas = telemetry.Define(telemetry.Definition{
		Name: "journal_replicas", Kind: telemetry.KindGauge, Unit: "replicas",
		Help: "Replicas of shards on this daemon.",
	})
	metricLed = telemetry.Define(telemetry.Definition{
		Name: "journal_shards_led", Kind: telemetry.KindGauge, Unit: "shards",
		Help: "Shards that this daemon leads and serves.",
	})
	metricVersion = telemetry.Define(telemetry.Definition{
		Name: "config_version", Kind: telemetry.KindGauge, Unit: "version",
		Help: "Version of the configuration in force; 0 is none.",
	})
	metricEngines = telemetry.Define(telemetry.Definition{
		Name: "fleet_engines_followed", Kind: telemetry.KindGauge, Unit: "engines",
		Help: "Engines whose load reports this daemon follows.",
	})
)

// defineMetrics makes the gauges that are read at each scrape.
func (d *Daemon) defineMetrics() {
	d.platform.RegisterMetrics(d.registry)
	d.engines.RegisterMetrics(d.registry)
	d.tools.RegisterMetrics(d.registry)
	d.peers.RegisterMetrics(d.registry)
	d.registry.GaugeFunc(metricMembers, func() float64 { return float64(len(d.cluster.View().Members())) })
	d.registry.GaugeFunc(metricReplicas, func() float64 { held, _ := d.countReplicas(); return held })
	d.registry.GaugeFunc(metricLed, func() float64 { _, led := d.countReplicas(); return led })
	d.registry.GaugeFunc(metricVersion, func() float64 { return float64(d.store.Version()) })
	d.registry.GaugeFunc(metricEngines, func() float64 { return float64(len(d.fleet.View().Engines)) })
}

func (d *Daemon) countReplicas() (held, led float64) {
	running := d.core.Load()
	if running == nil {
		return 0, 0
	}
	for _, status := range running.host.Statuses() {
		held++
		if status.Serving {
			led++
		}
	}
	return held, led
}
