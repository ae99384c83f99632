package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// standbyRounds is for how many rounds a node has been there when a change is ordered: the
	// users count on it by then.
	standbyRounds = 12
	// plannedRounds is within how many rounds of the order the closing fault strikes.
	plannedRounds = 14
	// plannedSchedules is how many schedules a breakage of planned changes is looked for in.
	plannedSchedules = 3000
)

// playPlanned orders the first member to leave, beside a node that has stood by, and strikes with the
// closing fault at a phase of a round: that member never comes back, and one of the others loses its
// disk. It returns what is broken then.
func (d *departures) playPlanned(order string, round, phase, lost int) string {
	d.addNode("spare")
	d.rounds(standbyRounds)
	leaving := d.nodes["n0"]
	d.orderToLeave(order, leaving.name)
	d.rounds(round)
	for _, each := range d.phases()[:phase] {
		each()
	}
	d.leave(leaving, forGood)
	present := d.present()
	d.lose(present[lost%len(present)])
	d.powerOff()
	d.rounds(2 * livenessRounds)
	return d.fault()
}

// change lets one member leave as planned, beside a node that has stood by, and waits until it is gone.
func (d *departures) change(order, name, standby string) {
	d.addNode(standby)
	d.rounds(standbyRounds)
	d.orderToLeave(order, name)
	leaving := d.nodes[name]
	for range plannedRounds {
		d.rounds(1)
		if order == "stop" && !leaving.gone && d.mayStop(leaving) {
			d.leave(leaving, forGood)
		}
	}
	require.True(d.t, leaving.gone, "%s of %s", order, name)
}

// mayStop reports whether a group holds as much as is wanted without a node.
func (d *departures) mayStop(node *proofNode) bool {
	seen := d.seenBy(node)
	return enoughWithout(seen, node.name, seen.settled)
}

// rounds lets so many rounds pass.
func (d *departures) rounds(count int) {
	for range count {
		d.oneRound()
		d.round++
	}
}

// orderToLeave orders a member to leave.
func (d *departures) orderToLeave(order, name string) {
	if order == "retire" {
		d.retirements[name] = true
		return
	}
	d.stopping[name] = true
}

// borneAtEachStep holds that the closing fault is borne at each step of an order, after what has been before.
func borneAtEachStep(t *testing.T, members int, order string, before func(*departures)) {
	phases := len((&departures{}).phases())
	for round := range plannedRounds {
		for phase := range phases {
			for lost := range members {
				d := newDepartures(t, members)
				before(d)
				found := d.playPlanned(order, round, phase, lost)
				d.close()
				require.Empty(t, found, fmt.Sprint("round ", round, ", phase ", phase, ", lost ", lost))
			}
		}
	}
}

// A member that left as planned gave its vote up before another one had it, and a closing fault in between was not borne.
func TestFinalFaultIsToleratedDuringPlannedDeparture(t *testing.T) {
	for members := proofReplicas; members <= maxSeats; members++ {
		for _, order := range []string{"stop", "retire"} {
			t.Run(fmt.Sprintf("%d members, %s", members, order), func(t *testing.T) {
				t.Parallel()
				borneAtEachStep(t, members, order, func(*departures) {})
			})
		}
	}
}

func TestFinalFaultIsToleratedDuringSecondPlannedDeparture(t *testing.T) {
	for _, first := range []string{"stop", "retire"} {
		for _, second := range []string{"stop", "retire"} {
			t.Run(first+", then "+second, func(t *testing.T) {
				t.Parallel()
				borneAtEachStep(t, proofReplicas, second, func(d *departures) { d.change(first, "n1", "first spare") })
			})
		}
	}
}

// A retirement was ordered and withdrawn while another member joined for it.
func TestFinalFaultIsToleratedAfterCanceledRetirement(t *testing.T) {
	for _, withdrawn := range []int{1, 2, 4, 7} {
		t.Run(fmt.Sprintf("after %d rounds", withdrawn), func(t *testing.T) {
			t.Parallel()
			borneAtEachStep(t, proofReplicas, "stop", func(d *departures) {
				d.addNode("first spare")
				d.retirements["n2"] = true
				d.rounds(withdrawn)
				delete(d.retirements, "n2")
			})
		})
	}
}
