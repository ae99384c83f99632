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
	// livenessSchedules is the number of schedules that the search runs. livenessRounds is the
	// number of fault-free rounds in which a group must recover. Each round consists of one
	// announcement by every node and one complete attempt of every copy.
	livenessSchedules = 1500
	livenessRounds    = 8
	// attemptSteps is the number of chunks that one attempt copies; the sources are chosen at
	// random.
	attemptSteps = 60
)

// livenessFailure runs fault-free rounds after a schedule and returns what still does not work, or
// "".
func (c *simCluster) livenessFailure(rounds int) string {
	for range rounds {
		for _, partition := range c.partitions {
			partition.faultFreeRound()
		}
		c.completeRetirement()
	}
	for _, partition := range c.partitions {
		if node := partition.unrecoveredMember(); node != nil {
			return "member " + node.name + " is not recovered"
		}
		if !partition.canAcknowledge() {
			return "no majority of recovered members counts together"
		}
	}
	return ""
}

// faultFreeRound runs one announcement by every member and one complete attempt of every copy.
func (p *simPartition) faultFreeRound() {
	p.distributeGroup()
	if p.mutation != noAnnouncements {
		p.announceAll()
	}
	for _, member := range p.group.Members {
		p.runCopyAttempt(p.nodes[member.Node])
	}
	p.propose()
}

// distributeGroup sends the current group to every node.
func (p *simPartition) distributeGroup() {
	for _, name := range p.nodeNames {
		if node := p.nodes[name]; !node.down {
			p.must(node.state().write(groupRecord(p.group)))
		}
	}
}

// announceAll makes every member announce its group and incarnation to every other one, as replicas
// do at each announceInterval.
func (p *simPartition) announceAll() {
	for _, from := range announcingMembers(p.group) {
		node := p.nodes[from.Node]
		if node.down {
			continue
		}
		message := newAnnouncement(node.state(), p.group, node.name)
		for _, member := range announcingMembers(p.group) {
			if other := p.nodes[member.Node]; other != node && !other.down {
				_, err := other.service.Announce(context.Background(), connect.NewRequest(message))
				p.must(err)
			}
		}
	}
}

// runCopyAttempt runs all steps of one attempt to fill a member's seat. An incomplete copy
// continues in the next attempt.
func (p *simPartition) runCopyAttempt(node *simNode) {
	for range attemptSteps {
		if !p.isUnrecovered(node) {
			return
		}
		p.recoveryStepOf(node)
	}
}

// canAcknowledge reports whether a record counts as written after it was sent to every member.
func (p *simPartition) canAcknowledge() bool {
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

// runLivenessSimulation runs one schedule and returns why a group does not recover, or "".
func runLivenessSimulation(cluster *simCluster) string {
	defer cluster.close()
	for range simSteps {
		cluster.step()
	}
	require.Empty(cluster.t, cluster.violation)
	return cluster.livenessFailure(livenessRounds)
}

// Searches for schedules after whose last fault the group does not work again.
func TestGroupRecoversAfterLastFault(t *testing.T) {
	for seed := range uint64(livenessSchedules) {
		require.Empty(t, runLivenessSimulation(newSimPartition(t, seed, noMutation).enableAnnouncements(seed)), fmt.Sprintf("seed %d", seed))
	}
}

// As TestGroupRecoversAfterLastFault, with nodes that have seats in several partitions.
func TestAllPartitionsRecoverAfterLastFault(t *testing.T) {
	for seed := range uint64(livenessSchedules / simPartitionCount) {
		cluster := newSimCluster(t, seed, noMutation, simPartitionNodeCount, simPartitionCount)
		require.Empty(t, runLivenessSimulation(cluster.enableAnnouncements(seed)), fmt.Sprintf("seed %d", seed))
	}
}

// Runs the search of TestGroupRecoversAfterLastFault with one mutation at a time.
func TestSimulationDetectsLostLiveness(t *testing.T) {
	requireDetected(t, livenessSchedules, func(t require.TestingT, seed uint64, m mutation) string {
		return runLivenessSimulation(newSimPartition(t, seed, m).simCluster)
	}, cacheSourceStanding, noAnnouncements)
}
