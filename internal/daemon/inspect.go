package daemon

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
)

// Inspect tells what operators ask of a daemon: its replicas, and the programs
// under way in the shards that it leads.
func (d *Daemon) Inspect() *peerv1.InspectResponse {
	response := &peerv1.InspectResponse{}
	running := d.core.Load()
	if running == nil {
		return response
	}
	for _, status := range running.host.Statuses() {
		state := &peerv1.ShardState{
			Shard:   uint32(status.Shard),
			Term:    status.Term,
			Leader:  string(status.Leader),
			Serving: status.Serving,
		}
		for _, member := range status.Members {
			state.Members = append(state.Members, string(member.Node))
		}
		response.Shards = append(response.Shards, state)
	}
	for key, inFlight := range running.executor.CountOpenPrograms() {
		response.Programs = append(response.Programs, &peerv1.ProgramCount{
			Shard:    uint32(key.Shard),
			Program:  string(key.Program),
			Tenant:   string(key.Tenant),
			UnderWay: uint32(inFlight),
		})
	}
	return response
}

// BeginStop begins the planned stop on an operator's word; Done tells its end.
func (d *Daemon) BeginStop() {
	go func() { _ = d.Stop(context.Background()) }()
}

// Done is closed once the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} { return d.stopped }
