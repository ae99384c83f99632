package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

const (
	// incidentSchedules is the number of schedules with the sequence of faults in
	// docs/incidents/tintero-mvd-inc1.md.
	incidentSchedules = 600
	// incidentSteps is the maximum number of steps between two of the faults.
	incidentSteps = 40
	// maxStaleStandingSteps is the maximum number of steps for which members believe the last
	// report of a node that has lost its disk. Replicas believe it for suspectAfter.
	maxStaleStandingSteps = 60
)

// incidentSimulation simulates the faults of one incident: a member fails permanently and an empty
// node joins, a member retires, a node is added, a process is killed, a disk is lost, and all nodes
// lose power. The steps between the faults depend on the seed.
type incidentSimulation struct {
	*simPartition
	// added is the node added beyond the tolerated losses. It is not counted as unrecovered while
	// it still lacks the records of its seat.
	added *simNode
}

// run runs the sequence and returns what does not work afterwards, or "".
func (s *incidentSimulation) run() string {
	defer s.close()
	s.runNormalSteps()
	s.replaceMember()
	s.runNormalStepsUntil(func() bool { return s.unrecoveredMember() == nil })
	s.retiringNode = s.randomMember(s.group).name
	s.runNormalStepsUntil(func() bool { return s.retiringNode == "" || s.random.IntN(incidentSteps) == 0 })
	s.added = s.addNode(fmt.Sprintf("n%d", len(s.nodeNames)))
	s.runNormalSteps()
	s.restart(s.randomMember(s.group), false)
	s.runNormalStepsUntil(s.toleratesDiskLoss)
	s.loseDisk()
	s.runNormalSteps()
	s.powerOff()
	require.Empty(s.t, s.violation)
	return s.livenessFailure(livenessRounds)
}

// runNormalSteps runs a random number of steps without a fault.
func (s *incidentSimulation) runNormalSteps() {
	for range s.random.IntN(incidentSteps) {
		s.normalStep()
	}
}

// runNormalStepsUntil runs steps without a fault until a condition holds.
func (s *incidentSimulation) runNormalStepsUntil(holds func() bool) {
	for range simSteps * simReplicas {
		if holds() {
			return
		}
		s.normalStep()
	}
	s.t.Errorf("the group did not recover within %d steps", simSteps*simReplicas)
	s.t.FailNow()
}

func (s *incidentSimulation) normalStep() {
	s.steps++
	switch chance := s.random.IntN(100); {
	case chance < 10:
		s.startRandomWrite()
	case chance < 45:
		s.deliver()
	case chance < 60:
		s.deliverRead()
	case chance < 80:
		s.recoveryStep()
	case chance < 90:
		s.propose()
		s.completeRetirement()
	default:
		s.distributeGroup()
		s.announceToRandomNode()
	}
}

// replaceMember takes a member down permanently and adds an empty node that takes its seat.
func (s *incidentSimulation) replaceMember() {
	failed := s.randomMember(s.group)
	failed.down = true
	s.addNode(fmt.Sprintf("n%d", len(s.nodeNames)))
	s.distributeGroup()
	s.propose()
}

// toleratesDiskLoss reports whether all members except the added node are recovered.
func (s *incidentSimulation) toleratesDiskLoss() bool {
	return s.unrecoveredMemberExcept(s.added) == nil
}

// loseDisk replaces the disk of a member other than the added node.
func (s *incidentSimulation) loseDisk() {
	node := s.randomMember(s.group)
	for node == s.added {
		node = s.randomMember(s.group)
	}
	if !s.isUnrecovered(node) {
		until := s.steps + s.random.Int64N(maxStaleStandingSteps)
		s.staleStandings = map[string]staleStanding{node.name: {epoch: s.group.Epoch, untilStep: until}}
	}
	node.state().log.Close()
	node.disk = recordlogtest.NewDisk()
	s.startNode(node)
}

func newIncidentSimulation(t require.TestingT, seed uint64, m mutation) *incidentSimulation {
	p := newSimPartition(t, seed, m)
	p.withAnnouncements, p.announcementRandom = true, rand.New(rand.NewPCG(seed, 13))
	return &incidentSimulation{simPartition: p}
}

// The incident is described in docs/incidents/tintero-mvd-inc1.md.
func TestGroupRecoversFromIncidentSequence(t *testing.T) {
	for seed := range uint64(incidentSchedules) {
		require.Empty(t, newIncidentSimulation(t, seed, noMutation).run(), fmt.Sprintf("seed %d", seed))
	}
}

// Runs the same sequence with each bug of the release on which the incident occurred.
func TestIncidentSequenceDetectsItsLikelyCauses(t *testing.T) {
	requireDetected(t, incidentSchedules, func(t require.TestingT, seed uint64, m mutation) string {
		return newIncidentSimulation(t, seed, m).run()
	}, countJoining, keepPreviousHolder)
}
