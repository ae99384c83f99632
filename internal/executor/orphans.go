package executor

import (
	"context"
	"encoding/json"

	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Orphans returns those programs, of the ones that an incarnation of an engine
// holds memory for, which the journal has no hold of. A hold is recorded before
// the engine can cache anything, so these hold memory for nobody. Programs
// whose shard gives no answer are left out: nothing is known of them.
func (e *Executor) Orphans(ctx context.Context, id structs.EngineID, incarnation structs.Incarnation, holders []structs.ProgramID) []structs.ProgramID {
	byShard := map[structs.ShardID][]structs.ProgramID{}
	var orphans []structs.ProgramID
	for _, holder := range holders {
		shard, err := holder.Shard()
		if err != nil {
			orphans = append(orphans, holder)
			continue
		}
		byShard[shard] = append(byShard[shard], holder)
	}
	for _, programs := range byShard {
		orphans = append(orphans, e.orphansOfShard(ctx, id, incarnation, programs)...)
	}
	return orphans
}

func (e *Executor) orphansOfShard(ctx context.Context, id structs.EngineID, incarnation structs.Incarnation, programs []structs.ProgramID) []structs.ProgramID {
	body := encodeBody(orphansBody{Engine: id, Incarnation: incarnation, Programs: programs})
	answer := orphansAnswer{}
	sink := replySink{body: func(encoded []byte) error { return json.Unmarshal(encoded, &answer) }}
	op := operation{name: operationOrphans, program: programs[0], body: body}
	if err := e.run(ctx, op, sink); err != nil {
		return nil
	}
	return answer.Orphans
}

// serveOrphans answers for this shard. The quorum round trip makes sure that
// no later leader has recorded a hold that is missing here.
func (s *shard) serveOrphans(ctx context.Context, op operation, sink replySink) error {
	body := orphansBody{}
	if err := decodeBody(op.body, &body); err != nil {
		return err
	}
	if err := s.executor.options.Replicator.ConfirmLeadership(ctx, s.id); err != nil {
		return err
	}
	answer := orphansAnswer{}
	err := s.inspect(func(machine *program.Machine) error {
		for _, id := range body.Programs {
			if !heldBy(machine.ProgramHolds(id), body) {
				answer.Orphans = append(answer.Orphans, id)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, id := range answer.Orphans {
		eventOrphan.Log("program", id, "engine", body.Engine)
	}
	return sink.body(encodeBody(answer))
}

func heldBy(holds []program.CacheHold, body orphansBody) bool {
	for _, hold := range holds {
		if hold.Engine == body.Engine && hold.Incarnation == body.Incarnation {
			return true
		}
	}
	return false
}
