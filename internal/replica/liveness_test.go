package replica

import (
	"context"
	"fmt"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	// livenessSchedules is how many schedules the search plays, livenessRounds how
	// many rounds without a fault a group has to come back in. Each round is one
	// announcement by every node and one whole attempt of every copy.
	livenessSchedules = 1500
	livenessRounds    = 8
	// attemptSteps is how many parts one attempt copies; the sources come at random.
	attemptSteps = 60
)

// stuckAfter lets rounds without a fault follow on a schedule and returns what still
// does not work after them.
func (f *proofFleet) stuckAfter(rounds int) string {
	for range rounds {
		for _, partition := range f.partitions {
			partition.round()
		}
		f.completeRetirement()
	}
	for _, partition := range f.partitions {
		if node := partition.unrecovered(); node != nil {
			return "member " + node.name + " is not recovered"
		}
		if !partition.acknowledges() {
			return "no majority of recovered members counts together"
		}
	}
	return ""
}

// round is one announcement by every member and one whole attempt of every copy.
func (p *proof) round() {
	p.spreadToAll()
	if p.broken != noAnnouncements {
		p.announceAll()
	}
	for _, member := range p.group.Members {
		p.copyWhole(p.nodes[member.Node])
	}
	p.propose()
}

// spreadToAll lets every node learn the group in force.
func (p *proof) spreadToAll() {
	for _, name := range p.order {
		if node := p.nodes[name]; !node.gone {
			p.must(node.state().write(groupRecord(p.group)))
		}
	}
}

// announceAll makes every member tell every other one its group and incarnation, as the
// product does each announceEvery.
func (p *proof) announceAll() {
	for _, from := range speaking(p.group) {
		node := p.nodes[from.Node]
		if node.gone {
			continue
		}
		message := announcementOf(node.state(), p.group, node.name)
		for _, member := range speaking(p.group) {
			if other := p.nodes[member.Node]; other != node && !other.gone {
				_, err := other.service.Announce(context.Background(), connect.NewRequest(message))
				p.must(err)
			}
		}
	}
}

// copyWhole takes all steps of one attempt to fill a member's seat. What did not end
// in it goes on in the next one.
func (p *proof) copyWhole(node *proofNode) {
	for range attemptSteps {
		if !p.lacks(node) {
			return
		}
		p.recoverStepOf(node)
	}
}

// acknowledges reports whether a record that every member gets counts as written.
func (p *proof) acknowledges() bool {
	var standings []*replicav1.Standing
	for _, member := range p.group.Members {
		request := &replicav1.AppendRequest{Epoch: p.group.Epoch, Partition: p.group.Partition, Records: []*replicav1.Record{
			{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: "after the last fault"}}},
		}}
		response, err := p.nodes[member.Node].service.Append(context.Background(), connect.NewRequest(request))
		p.must(err)
		standings = append(standings, response.Msg.Standing)
	}
	return quorum.ChooseConsistent(p.group.Epoch, standings, quorum.WriteQuorum(quorum.VoterCount(p.group))) != nil
}

// runLiveness plays one schedule and returns why a group does not come back.
func runLiveness(fleet *proofFleet) string {
	defer fleet.close()
	for range proofSteps {
		fleet.step()
	}
	require.Empty(fleet.t, fleet.violation)
	return fleet.stuckAfter(livenessRounds)
}

// TestGroupRecoversAfterLastFault searches for schedules after whose last fault the
// group does not work again.
func TestGroupRecoversAfterLastFault(t *testing.T) {
	for seed := range uint64(livenessSchedules) {
		require.Empty(t, runLiveness(newProof(t, seed, noBreakage).announce(seed)), fmt.Sprintf("seed %d", seed))
	}
}

// TestAllPartitionsRecoverAfterLastFault is the same search where nodes hold seats
// of several partitions.
func TestAllPartitionsRecoverAfterLastFault(t *testing.T) {
	for seed := range uint64(livenessSchedules / partitionsPlayed) {
		fleet := newProofFleet(t, seed, noBreakage, partitionsNodes, partitionsPlayed)
		require.Empty(t, runLiveness(fleet.announce(seed)), fmt.Sprintf("seed %d", seed))
	}
}

// TestSimulationDetectsLostLiveness runs the same search with one deliberate fault.
func TestSimulationDetectsLostLiveness(t *testing.T) {
	requireSeen(t, livenessSchedules, func(t require.TestingT, seed uint64, broken breakage) string {
		return runLiveness(newProof(t, seed, broken).proofFleet)
	}, askOnce, noAnnouncements)
}
