// Package hollow runs many daemons' control decisions in one process: the real
// code of membership and of the configuration's spread, over an in-memory
// network with simulated time. A run can be repeated from its seed; only the
// measured processor time differs.
package hollow

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/membership"
)

// Sizes of the target that rates and counts are scaled from.
const (
	targetDaemons        = 1500
	targetTenants        = 7700
	targetFailuresPerDay = 91
	targetRestartsPerDay = 4500
	day                  = 24 * time.Hour
)

// Options describe a run.
type Options struct {
	Daemons int
	// Workers is the number of model engines that the configuration lists.
	Workers int
	Zones   int
	// Programs is the number of programs under way. They cost control nothing
	// but the directory of their shards' leaders.
	Programs int
	Tenants  int
	Seed     uint64
	// Duration is the simulated time that is measured, after the warm-up.
	Duration time.Duration
	WarmUp   time.Duration
	// Loss is the share of messages lost, besides those of the links' bursts.
	Loss float64
	// ChangesPerDay is the number of configuration changes in a day.
	ChangesPerDay float64
	// RestartsPerDay and FailuresPerDay are over all daemons.
	RestartsPerDay float64
	FailuresPerDay float64
	// Kills is the number of daemons that die in the run beside the failures,
	// so that detection is measured often enough.
	Kills    int
	Scenario Scenario
	// Estimator makes the timeout of watched peers; nil means the default.
	Estimator func() membership.Estimator
	// Timing overrides the periods of membership; the zero value means the defaults.
	Timing membership.Timing
}

// Scenario is a fault that a run goes through.
type Scenario string

// The scenarios.
const (
	// ScenarioNone: failures and restarts alone.
	ScenarioNone Scenario = "none"
	// ScenarioPartition cuts one zone off for a quarter of the run.
	ScenarioPartition Scenario = "partition"
	// ScenarioRestartStorm restarts a whole zone at once.
	ScenarioRestartStorm Scenario = "restart-storm"
)

// Scaled fills the members left zero in proportion to the target's sizes.
func (o Options) Scaled() Options {
	share := float64(o.Daemons) / targetDaemons
	if o.Tenants == 0 {
		o.Tenants = max(int(targetTenants*share), 1)
	}
	if o.RestartsPerDay == 0 {
		o.RestartsPerDay = targetRestartsPerDay * share
	}
	if o.FailuresPerDay == 0 {
		o.FailuresPerDay = targetFailuresPerDay * share
	}
	if o.WarmUp == 0 {
		o.WarmUp = 60 * time.Second
	}
	if o.Scenario == "" {
		o.Scenario = ScenarioNone
	}
	return o
}
