package daemon

import (
	"github.com/barleyshelf/barleyshelf/internal/executor"
	"github.com/barleyshelf/barleyshelf/internal/fleet"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// engineView gives the executor the fleet's view in the scheduler's form.
type engineView struct{ fleet *fleet.Fleet }

var _ executor.Engines = engineView{}

// Snapshot returns the current view; it is immutable.
func (v engineView) Snapshot() *schedule.Snapshot {
	view := v.fleet.View()
	snapshot := &schedule.Snapshot{Engines: make([]schedule.Engine, 0, len(view.Engines))}
	for _, engine := range view.Engines {
		snapshot.Engines = append(snapshot.Engines, schedule.Engine{
			EngineStatus:      engine.EngineStatus,
			DispatchedStreams: engine.OwnRunning,
			DispatchedTokens:  engine.OwnQueuedTokens,
		})
	}
	return snapshot
}

// StreamStarted corrects the view by a stream that was sent now.
func (v engineView) StreamStarted(id structs.EngineID, tokens int64) func() {
	return v.fleet.Dispatched(id, tokens)
}

// ReportFailure leaves the engine out for a while.
func (v engineView) ReportFailure(id structs.EngineID) { v.fleet.MarkLeaving(id) }

// RequestEngines has engines followed that serve the model in the zones.
func (v engineView) RequestEngines(zones []structs.ZoneName, model structs.ModelName) {
	v.fleet.Want(zones, model)
}
