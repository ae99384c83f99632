// Package fleet is the daemon's view of the model engines, and keeps the
// engines as the operators declared them.
//
// Fleet follows a bounded subset of the engines: their load reports, which are
// late, corrected by what this daemon dispatched since, and every sign that an
// engine leaves. Sweeper releases memory that engines keep for nobody.
// Reconciler orders engines to load models and to take roles.
package fleet

import (
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// View is the engines as this daemon sees them at one moment. It is immutable.
type View struct {
	// Engines are ordered by their ids.
	Engines []EngineView
}

// EngineView is one engine.
type EngineView struct {
	// EngineStatus is the last report. Leaving is set by any sign that the
	// engine leaves, not by the engine's own word alone.
	structs.EngineStatus
	// OwnRunning counts the streams that this daemon dispatched since the
	// report was made and that have not ended; OwnQueuedTokens are their prompt
	// tokens. The report has neither.
	OwnRunning      int
	OwnQueuedTokens int64
}

// Engine returns the engine with the id.
func (v *View) Engine(id structs.EngineID) (EngineView, bool) {
	for _, found := range v.Engines {
		if found.ID == id {
			return found, true
		}
	}
	return EngineView{}, false
}
