package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Regression test for a schedule found by the fuzzer (seed 12170634744110596169): three
// of four daemons crash one after another while their zones are partitioned, and start
// again without their memory. The remaining daemon must be contacted again.
func TestDaemonForgottenByAllOthersIsContactedAgain(t *testing.T) {
	s := newSimulation(0, 4, 2)
	checkRemovals(t, s)
	s.run(6 * time.Second)
	s.peers[0].running = false
	s.cutZones[s.peers[0].node.Zone] = true
	// Each run rounds its duration up to whole steps separately.
	s.run(0)
	for _, wait := range []time.Duration{3441, 2421, 861} {
		s.run(wait * time.Millisecond)
	}
	s.peers[2].running = false
	s.run(397 * time.Millisecond)
	s.run(4875 * time.Millisecond)
	s.cutZones[s.peers[1].node.Zone] = true
	s.run(11 * time.Millisecond)
	s.peers[1].running = false
	s.run(657 * time.Millisecond)
	s.heal()
	require.Empty(t, s.faults)
	require.Empty(t, s.disagreement())
}
