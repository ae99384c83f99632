package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

const (
	// incidentSchedules is how many schedules are played of the sequence of faults in
	// docs/incidents/tintero-mvd-inc1.md.
	incidentSchedules = 600
	// incidentSteps is how many steps lie between two of its faults, at most.
	incidentSteps = 40
	// lateWordSteps is for how many steps, at most, members believe what a node said
	// before it lost its disk, as they do for suspectAfter in the product.
	lateWordSteps = 60
)

// incident plays the sequence of faults of one incident: a member goes for good and an
// empty node comes, a member is emptied and goes, a node is added, a process is killed, a
// disk is lost, all power is lost. What lies between the faults differs by seed.
type incident struct {
	*proof
	// added is the node that came beside the tolerated losses: it is not missed until
	// it holds what its seat is to hold.
	added *proofNode
}

// play returns what does not work after the sequence.
func (i *incident) play() string {
	defer i.close()
	i.work()
	i.replaceMember()
	i.workUntil(func() bool { return i.unrecovered() == nil })
	i.retiring = i.anyMember(i.group).name
	i.workUntil(func() bool { return i.retiring == "" || i.random.IntN(incidentSteps) == 0 })
	i.added = i.addNode(fmt.Sprintf("n%d", len(i.order)))
	i.work()
	i.restart(i.anyMember(i.group), false)
	i.workUntil(i.bearsALostDisk)
	i.loseDisk()
	i.work()
	i.powerOff()
	require.Empty(i.t, i.violation)
	return i.stuckAfter(livenessRounds)
}

// work takes some steps without a fault.
func (i *incident) work() {
	for range i.random.IntN(incidentSteps) {
		i.workStep()
	}
}

// workUntil takes steps until something holds.
func (i *incident) workUntil(holds func() bool) {
	for range proofSteps * proofReplicas {
		if holds() {
			return
		}
		i.workStep()
	}
	i.t.Errorf("the group did not settle within %d steps", proofSteps*proofReplicas)
	i.t.FailNow()
}

func (i *incident) workStep() {
	i.steps++
	switch chance := i.random.IntN(100); {
	case chance < 10:
		i.beginWrite()
	case chance < 45:
		i.deliver()
	case chance < 60:
		i.ask()
	case chance < 80:
		i.recoverStep()
	case chance < 90:
		i.propose()
		i.completeRetirement()
	default:
		i.spreadToAll()
		i.announceToAny()
	}
}

// replaceMember lets a member go for good, and an empty node come that takes its seat.
func (i *incident) replaceMember() {
	gone := i.anyMember(i.group)
	gone.gone = true
	i.addNode(fmt.Sprintf("n%d", len(i.order)))
	i.spreadToAll()
	i.propose()
}

// bearsALostDisk reports whether nothing is missing but what the added node is to get.
func (i *incident) bearsALostDisk() bool {
	return i.unrecoveredBut(i.added) == nil
}

// loseDisk takes the disk of a member other than the added node.
func (i *incident) loseDisk() {
	node := i.anyMember(i.group)
	for node == i.added {
		node = i.anyMember(i.group)
	}
	if !i.lacks(node) {
		until := i.steps + i.random.Int64N(lateWordSteps)
		i.lateWords = map[string]lateWord{node.name: {epoch: i.group.Epoch, until: until}}
	}
	node.state().log.Close()
	node.disk = recordlogtest.NewDisk()
	i.open(node)
}

func newIncident(t require.TestingT, seed uint64, broken breakage) *incident {
	p := newProof(t, seed, broken)
	p.announcing, p.announcements = true, rand.New(rand.NewPCG(seed, 13))
	return &incident{proof: p}
}

// TestGroupRecoversFromIncidentSequence plays the sequence of the incident that
// is written up in docs/incidents/tintero-mvd-inc1.md.
func TestGroupRecoversFromIncidentSequence(t *testing.T) {
	for seed := range uint64(incidentSchedules) {
		require.Empty(t, newIncident(t, seed, noBreakage).play(), fmt.Sprintf("seed %d", seed))
	}
}

// TestIncidentSequenceDetectsItsLikelyCauses runs the same sequence with each fault
// that the landing had on which the incident was seen.
func TestIncidentSequenceDetectsItsLikelyCauses(t *testing.T) {
	requireSeen(t, incidentSchedules, func(t require.TestingT, seed uint64, broken breakage) string {
		return newIncident(t, seed, broken).play()
	}, countJoining, keepOwnSeat)
}
