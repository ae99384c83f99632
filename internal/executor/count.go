package executor

import (
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// ProgramKey is what programs are counted by.
type ProgramKey struct {
	Shard   structs.ShardID
	Program structs.ProgramName
	Tenant  structs.TenantID
}

// CountOpenPrograms counts the programs under way in the shards led here. It looks at
// all of them and is for operators' plans, not for the path of a request.
func (e *Executor) CountOpenPrograms() map[ProgramKey]int {
	counts := map[ProgramKey]int{}
	for _, held := range e.heldShards() {
		// A shard that is not led here is counted by its leader.
		_ = held.inspect(func(machine *program.Machine) error {
			machine.ForEachOpenProgram(func(status program.Status) {
				counts[ProgramKey{held.id, status.ProgramName, status.Tenant}]++
			})
			return nil
		})
	}
	return counts
}
