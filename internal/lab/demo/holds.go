package demo

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/lab/report"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// holdPeriod is how often the engines' memory is looked at. It is the
// resolution of what is reported on releases.
const holdPeriod = 100 * time.Millisecond

// watchHolds notes when each program was last seen to hold engine memory.
func (b *bench) watchHolds(ctx context.Context) {
	for pause.For(ctx, holdPeriod) {
		b.noteHolds()
	}
}

func (b *bench) noteHolds() {
	seen := map[structs.ProgramID]time.Time{}
	for _, engine := range b.outside.Engines {
		for _, holder := range engine.Ledger().Holds {
			seen[holder] = time.Now()
		}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.evidence.LastHeld == nil {
		b.evidence.LastHeld = map[structs.ProgramID]time.Time{}
	}
	for holder, at := range seen {
		b.evidence.LastHeld[holder] = at
	}
}

// releases returns how long after its confirmed end a program was last seen to
// hold engine memory; 0 for one that was not seen to hold any after it.
func (b *bench) releases() report.Percentiles {
	late := report.NewDistribution()
	for _, program := range b.evidence.Programs {
		if last, held := b.evidence.LastHeld[program.ID]; held && !program.Ended.IsZero() {
			late.Record(last.Sub(program.Ended))
		}
	}
	return late.Percentiles()
}
