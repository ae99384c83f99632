package operator

import (
	"context"
	"fmt"
	"sort"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Status tells where a version is in force.
type Status struct {
	// Version is the version that is wanted.
	Version uint64
	// Everywhere says that every daemon that is neither dead nor leaving acts
	// on the version or a later one, and that there is at least one.
	Everywhere bool
	Nodes      []NodeStatus
}

// NodeStatus is what one daemon acts on.
type NodeStatus struct {
	Node structs.NodeID
	Zone structs.ZoneName
	// Answered is false where the daemon gave no answer; Version is 0 then.
	Answered bool
	Version  uint64
	InForce  bool
}

// Status asks every daemon for the version that it acts on and compares it with
// version; 0 means the newest accepted one. Errors: *Unavailable,
// *failure.Internal, both only for version 0.
func (s *Service) Status(ctx context.Context, version uint64) (Status, error) {
	if version == 0 {
		inForce, err := s.InForce(ctx)
		if err != nil {
			return Status{}, err
		}
		version = inForce.Version
	}
	answers := s.backend.InForceVersions(ctx)
	status := Status{Version: version}
	missing := 0
	for _, node := range s.backend.Nodes() {
		if node.State == structs.NodeDead || node.State == structs.NodeLeaving {
			continue
		}
		held, answered := answers[node.ID]
		row := NodeStatus{
			Node:     node.ID,
			Zone:     node.Zone,
			Answered: answered,
			Version:  held,
			InForce:  answered && held >= version,
		}
		if !row.InForce {
			missing++
		}
		status.Nodes = append(status.Nodes, row)
	}
	status.Everywhere = missing == 0 && len(status.Nodes) > 0
	sort.Slice(status.Nodes, func(i, j int) bool { return status.Nodes[i].Node < status.Nodes[j].Node })
	return status, nil
}

// DrainNode starts the planned stop of a daemon. Errors: *UnknownObject and
// those of the Backend.
func (s *Service) DrainNode(ctx context.Context, operator string, id structs.NodeID) error {
	for _, node := range s.backend.Nodes() {
		if node.ID == id {
			eventDrainNode.Log("node", id, "operator", operator)
			return s.backend.DrainNode(ctx, id)
		}
	}
	return &UnknownObject{Object: fmt.Sprintf("Node/%s", id)}
}
