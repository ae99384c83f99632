package daemon

import (
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/executor"
	"github.com/barleyshelf/barleyshelf/internal/fleet"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// engineView gives the scheduler the fleet's view. The view changes far less
// often than it is read, so its form for the scheduler is kept with it.
type engineView struct {
	fleet *fleet.Fleet
	last  atomic.Pointer[convertedView]
}

// convertedView is one view in the scheduler's form. It is immutable.
type convertedView struct {
	view     *fleet.View
	snapshot *schedule.Snapshot
}

var _ executor.Engines = (*engineView)(nil)

func newEngineView(source *fleet.Fleet) *engineView { return &engineView{fleet: source} }

// Snapshot returns the current view; it is immutable.
func (v *engineView) Snapshot() *schedule.Snapshot {
	view := v.fleet.View()
	if last := v.last.Load(); last != nil && last.view == view {
		return last.snapshot
	}
	converted := &convertedView{view: view, snapshot: convertView(view)}
	v.last.Store(converted)
	return converted.snapshot
}

func convertView(view *fleet.View) *schedule.Snapshot {
	snapshot := &schedule.Snapshot{Engines: make([]schedule.Engine, 0, len(view.Engines))}
	for _, engine := range view.Engines {
		snapshot.Engines = append(snapshot.Engines, schedule.Engine{
			EngineStatus:    engine.EngineStatus,
			OwnRunning:      engine.OwnRunning,
			OwnQueuedTokens: engine.OwnQueuedTokens,
		})
	}
	return snapshot
}

// Dispatched corrects the view by a stream that was sent now.
func (v *engineView) Dispatched(id structs.EngineID, tokens int64) func() {
	return v.fleet.Dispatched(id, tokens)
}

// Failed leaves the engine out for a while.
func (v *engineView) Failed(id structs.EngineID) { v.fleet.MarkLeaving(id) }
