// Package demo runs a whole deployment in one process under the users'
// workload, brings faults about, and reports what the ledgers and the callers'
// records say of every promise.
package demo

import (
	"io"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Options set up a run.
type Options struct {
	// Declarations and Delays describe the deployment.
	Declarations structs.Declarations
	Delays       topology.Delays
	// Programs is the number of programs; sub-agents come on top.
	Programs int
	Seed     uint64
	// Duration is the span over which programs arrive; 0 fits it to the faults.
	Duration time.Duration
	// Faults are names of Faults.
	Faults []string
	// Policy overrides the declared scheduling policy, if set.
	Policy string
	// DaemonsPerZone counts the daemons of each zone.
	DaemonsPerZone int
	// DataFolder is an empty folder for the daemons' disks.
	DataFolder string
	Factory    topology.Factory
	// Progress gets a line a second.
	Progress io.Writer
}

// Times of the run's phases and of the callers.
const (
	readyTimeout = 30 * time.Second
	// joinSpan is left for what daemons tell each other when they have joined.
	joinSpan        = 2 * time.Second
	idleSpan        = 2 * time.Second
	callerPatience  = 30 * time.Second
	callerStall     = 6 * time.Second
	finishTimeout   = 45 * time.Second
	progressPeriod  = time.Second
	probePeriod     = 250 * time.Millisecond
	changePeriod    = 4 * time.Second
	machineListLag  = 500 * time.Millisecond
	toolWork        = 30 * time.Millisecond
	releasePoll     = 100 * time.Millisecond
	pauseScale      = 0.04
	engineTimeScale = 0.2
)
