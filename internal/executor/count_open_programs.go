package executor

import (
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// ProgramKey groups programs for counting.
type ProgramKey struct {
	Shard   structs.ShardID
	Program structs.ProgramName
	Tenant  structs.TenantID
}

// CountOpenPrograms counts the open programs in the shards that this daemon leads. It
// visits every program, so it is meant for operators and not for the request path.
func (e *Executor) CountOpenPrograms() map[ProgramKey]int {
	counts := map[ProgramKey]int{}
	for _, replica := range e.localShards() {
		// readState returns an error for a shard that this daemon does not lead. Its
		// leader counts its programs.
		_ = replica.readState(func(machine *program.Machine) error {
			machine.ForEachOpenProgram(func(status program.Status) {
				counts[ProgramKey{replica.id, status.ProgramName, status.Tenant}]++
			})
			return nil
		})
	}
	return counts
}
