package executor

import (
	"context"
	"encoding/json"

	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Orphans returns those of holders, the programs for which an incarnation of an engine
// holds memory, that have no hold in the journal. A hold is recorded before the engine
// can cache anything, so nobody uses this memory. Programs of shards that do not
// answer are omitted, because their state is unknown.
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
	sink := replySink{onBody: func(encoded []byte) error { return json.Unmarshal(encoded, &answer) }}
	op := operation{name: operationOrphans, program: programs[0], body: body}
	if err := e.execute(ctx, op, sink); err != nil {
		return nil
	}
	return answer.Orphans
}

// serveOrphans answers for the programs of this shard. It confirms the leadership with
// a quorum first, so that no later leader can have recorded a hold that is missing
// here.
func (s *shard) serveOrphans(ctx context.Context, op operation, sink replySink) error {
	body := orphansBody{}
	if err := decodeBody(op.body, &body); err != nil {
		return err
	}
	if err := s.executor.options.Replicator.ConfirmLeadership(ctx, s.id); err != nil {
		return err
	}
	answer := orphansAnswer{}
	err := s.readState(func(machine *program.Machine) error {
		for _, id := range body.Programs {
			if !containsHold(machine.ProgramHolds(id), body) {
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
	return sink.onBody(encodeBody(answer))
}

func containsHold(holds []program.CacheHold, body orphansBody) bool {
	for _, hold := range holds {
		if hold.Engine == body.Engine && hold.Incarnation == body.Incarnation {
			return true
		}
	}
	return false
}
