package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// standbyRounds is the number of rounds that a standby has been running when a departure is
	// ordered. The users rely on the standby by then.
	standbyRounds = 12
	// The final fault occurs within plannedRounds rounds after the order.
	plannedRounds = 14
	// plannedSchedules is the number of schedules in which a mutation of planned retirements is
	// searched for.
	plannedSchedules = 3000
)

// runPlannedDeparture orders the first member to leave while a standby is running. The final fault
// occurs at a phase of a round: that member never returns, one of the others loses its disk, and
// all nodes lose power. It returns what does not work afterwards.
func (d *departureSimulation) runPlannedDeparture(order string, round, phase, lostIndex int) string {
	d.addNode("spare")
	d.runRounds(standbyRounds)
	leavingNode := d.nodes["n0"]
	d.startDeparture(order, leavingNode.name)
	d.runRounds(round)
	for _, runPhase := range d.phases()[:phase] {
		runPhase()
	}
	d.stopFor(leavingNode, forever)
	survivors := d.presentNodes()
	d.loseDisk(survivors[lostIndex%len(survivors)])
	d.powerOff()
	d.runRounds(2 * livenessRounds)
	return d.failure()
}

// completeDeparture lets one member leave as planned while a standby is running, and waits until it
// is down.
func (d *departureSimulation) completeDeparture(order, name, standby string) {
	d.addNode(standby)
	d.runRounds(standbyRounds)
	d.startDeparture(order, name)
	leavingNode := d.nodes[name]
	for range plannedRounds {
		d.runRounds(1)
		if order == "stop" && !leavingNode.down && d.canStop(leavingNode) {
			d.stopFor(leavingNode, forever)
		}
	}
	require.True(d.t, leavingNode.down, "%s of %s", order, name)
}

// canStop reports whether a group has the desired number of members in sync without a node.
func (d *departureSimulation) canStop(node *simNode) bool {
	status := d.statusSeenBy(node)
	return hasEnoughMembersWithout(status, node.name, status.isInSync)
}

func (d *departureSimulation) runRounds(count int) {
	for range count {
		d.runRound()
		d.round++
	}
}

// startDeparture orders a member to leave.
func (d *departureSimulation) startDeparture(order, name string) {
	if order == "retire" {
		d.retirements[name] = true
		return
	}
	d.stopping[name] = true
}

// requireToleratedAtEachStep checks that the final fault is tolerated at each step of a departure,
// after prepare has run.
func requireToleratedAtEachStep(t *testing.T, members int, order string, prepare func(*departureSimulation)) {
	phases := len((&departureSimulation{}).phases())
	for round := range plannedRounds {
		for phase := range phases {
			for lostIndex := range members {
				d := newDepartureSimulation(t, members)
				prepare(d)
				problem := d.runPlannedDeparture(order, round, phase, lostIndex)
				d.close()
				require.Empty(t, problem, fmt.Sprint("round ", round, ", phase ", phase, ", disk loss of member ", lostIndex))
			}
		}
	}
}

// A member that left as planned gave up its vote before its replacement could vote, and a final
// fault in between was not tolerated.
func TestFinalFaultIsToleratedDuringPlannedDeparture(t *testing.T) {
	for members := simReplicas; members <= maxSeats; members++ {
		for _, order := range []string{"stop", "retire"} {
			t.Run(fmt.Sprintf("%d members, %s", members, order), func(t *testing.T) {
				t.Parallel()
				requireToleratedAtEachStep(t, members, order, func(*departureSimulation) {})
			})
		}
	}
}

func TestFinalFaultIsToleratedDuringSecondPlannedDeparture(t *testing.T) {
	for _, first := range []string{"stop", "retire"} {
		for _, second := range []string{"stop", "retire"} {
			t.Run(first+", then "+second, func(t *testing.T) {
				t.Parallel()
				requireToleratedAtEachStep(t, simReplicas, second, func(d *departureSimulation) { d.completeDeparture(first, "n1", "first spare") })
			})
		}
	}
}

// A retirement is canceled while another member joins because of it.
func TestFinalFaultIsToleratedAfterCanceledRetirement(t *testing.T) {
	for _, rounds := range []int{1, 2, 4, 7} {
		t.Run(fmt.Sprintf("after %d rounds", rounds), func(t *testing.T) {
			t.Parallel()
			requireToleratedAtEachStep(t, simReplicas, "stop", func(d *departureSimulation) {
				d.addNode("first spare")
				d.retirements["n2"] = true
				d.runRounds(rounds)
				delete(d.retirements, "n2")
			})
		})
	}
}
