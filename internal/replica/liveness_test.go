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
func (p *proof) stuckAfter(rounds int) string {
	for range rounds {
		p.spreadToAll()
		if p.broken != noAnnouncements {
			p.announceAll()
		}
		for _, member := range p.group.Members {
			p.copyWhole(p.nodes[member.Node])
		}
		p.propose()
		p.completeRetirement()
	}
	if node := p.unrecovered(); node != nil {
		return "member " + node.name + " is not recovered"
	}
	if !p.acknowledges() {
		return "no majority of recovered members counts together"
	}
	return ""
}

// spreadToAll lets every node learn the group in force.
func (p *proof) spreadToAll() {
	for _, name := range p.order {
		if node := p.nodes[name]; !node.gone {
			p.must(node.state().write(groupRecord(p.group)))
		}
	}
}

// announceAll makes every node tell every member its group and incarnation, as the
// product does each announceEvery.
func (p *proof) announceAll() {
	for _, name := range p.order {
		node := p.nodes[name]
		if node.gone {
			continue
		}
		message := announcementOf(node.state(), p.group, node.name)
		for _, member := range p.group.Members {
			if other := p.nodes[member.Node]; other != node && !other.gone {
				_, err := other.service.Announce(context.Background(), connect.NewRequest(message))
				p.must(err)
			}
		}
	}
}

// copyWhole takes all steps of one attempt to fill a member's seat.
func (p *proof) copyWhole(node *proofNode) {
	for range attemptSteps {
		if !p.lacks(node) {
			return
		}
		p.recoverStepOf(node)
	}
	// An attempt that did not end in this round goes on in the next one.
}

// acknowledges reports whether a record that every member gets counts as written.
func (p *proof) acknowledges() bool {
	var standings []*replicav1.Standing
	for _, member := range p.group.Members {
		request := &replicav1.AppendRequest{Epoch: p.group.Epoch, Records: []*replicav1.Record{
			{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: "after the last fault"}}},
		}}
		response, err := p.nodes[member.Node].service.Append(context.Background(), connect.NewRequest(request))
		p.must(err)
		standings = append(standings, response.Msg.Standing)
	}
	return quorum.Choose(p.group.Epoch, standings, quorum.WriteSize(len(p.group.Members))) != nil
}

// runLiveness plays one schedule and returns why its group does not come back.
func runLiveness(t require.TestingT, seed uint64, broken breakage) string {
	p := newProof(t, seed, broken)
	defer p.close()
	for range proofSteps {
		p.step()
	}
	require.Empty(t, p.violation)
	return p.stuckAfter(livenessRounds)
}

// TestTheGroupAlwaysComesBack searches for schedules after whose last fault the
// group does not work again.
func TestTheGroupAlwaysComesBack(t *testing.T) {
	for seed := range uint64(livenessSchedules) {
		require.Empty(t, runLiveness(t, seed, noBreakage), fmt.Sprintf("seed %d", seed))
	}
}

// TestAGroupThatDoesNotComeBackIsSeen runs the same search with one deliberate fault.
func TestAGroupThatDoesNotComeBackIsSeen(t *testing.T) {
	for _, broken := range []breakage{askOnce, noAnnouncements} {
		t.Run(string(broken), func(t *testing.T) {
			for seed := range uint64(livenessSchedules) {
				if runLiveness(t, seed, broken) != "" {
					return
				}
			}
			t.Fatal("not seen")
		})
	}
}
