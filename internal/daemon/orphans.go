package daemon

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// orphans asks the journal which holders of an engine's memory it has no hold
// of.
func (d *Daemon) orphans(ctx context.Context, id structs.EngineID, incarnation structs.Incarnation, holders []structs.ProgramID) []structs.ProgramID {
	running := d.core.Load()
	if running == nil {
		return nil
	}
	return running.executor.Orphans(ctx, id, incarnation, holders)
}
