package journal

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

// historiesPerProfile is the number of histories that TestSeededSchedules runs
// for each profile.
var historiesPerProfile = flag.Int("journal.histories", 250, "number of seeded histories for each profile")

// TestMain sets a fixed rapid seed so that every run gives the same result.
// The flags -rapid.seed and -rapid.checks override it, for example for longer
// runs.
func TestMain(m *testing.M) {
	fuzzseed.Main(m, fuzzseed.Defaults{"rapid.seed": "20260101", "rapid.checks": "60", "rapid.nofailfile": "true"})
}

// Sizes of the simulations.
const (
	nodeCount                 = 5
	initialMemberCount        = 3
	maxHistoriesUntilDetected = 4000
	stepsPerHistory           = 1500
	maxHealRounds             = 400
)

// coverageCounts counts what the simulations covered.
type coverageCounts struct {
	histories, steps, reads, leaders int
	committed                        uint64
}

func (c *coverageCounts) add(s *simulation) {
	c.histories, c.steps, c.reads = c.histories+1, c.steps+s.stepCount, c.reads+s.readCount
	c.leaders, c.committed = c.leaders+len(s.oracle.leaders), c.committed+s.oracle.highestCommitted
}

// TestHostileSchedules lets rapid choose every step and shrink failing
// schedules.
func TestHostileSchedules(t *testing.T) {
	var counts coverageCounts
	rapid.Check(t, func(rt *rapid.T) { counts.add(runRapidHistory(rt)) })
	t.Logf("%+v", counts)
}

// FuzzHostileSchedules lets the fuzzer choose every step.
func FuzzHostileSchedules(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(func(rt *rapid.T) { runRapidHistory(rt) }))
}

func runRapidHistory(rt *rapid.T) *simulation {
	weights := profiles[uniformBelow(len(profiles)).Draw(rt, "profile")]
	choose := func(n int) int { return uniformBelow(n).Draw(rt, "choice") }
	s := newSimulation(choose, simulationFaults{}, weights, nodeCount, initialMemberCount)
	if violation := s.run(stepsPerHistory); violation != "" {
		rt.Fatal(violation)
	}
	if problem := s.heal(maxHealRounds); problem != "" {
		rt.Fatal(problem)
	}
	return s
}

// uniformBelow draws a number below n without rapid's preference for small
// numbers.
func uniformBelow(n int) *rapid.Generator[int] {
	for len(numbers) < n {
		numbers = append(numbers, len(numbers))
	}
	return rapid.SampledFrom(numbers[:n])
}

var numbers []int

// TestSeededSchedules runs many histories from fixed seeds.
func TestSeededSchedules(t *testing.T) {
	for number, weights := range profiles {
		var counts coverageCounts
		for seed := range uint64(*historiesPerProfile) {
			s := newSimulation(seededChooser(seed), simulationFaults{}, weights, nodeCount, initialMemberCount)
			require.Empty(t, s.run(stepsPerHistory), "profile %d seed %d", number, seed)
			require.Empty(t, s.heal(maxHealRounds), "profile %d seed %d", number, seed)
			counts.add(s)
		}
		t.Logf("profile %d: %+v", number, counts)
	}
}

// TestInjectedFaultsAreDetected checks that the oracle detects the violation
// when a protocol rule is disabled.
func TestInjectedFaultsAreDetected(t *testing.T) {
	cases := []struct {
		name    string
		faults  simulationFaults
		weights profile
	}{
		{"commit without a majority", simulationFaults{protocol: injectedFaults{commitWithoutMajority: true}}, profiles[0]},
		{"member without memory votes under its old identity", simulationFaults{reuseIncarnation: true}, profiles[0]},
		{"commit entries of older terms by counting replicas", simulationFaults{protocol: injectedFaults{commitOlderTerms: true}}, profiles[4]},
		{"allow concurrent membership changes", simulationFaults{protocol: injectedFaults{allowConcurrentChanges: true}}, profiles[3]},
		{"forget the vote", simulationFaults{protocol: injectedFaults{forgetVote: true}}, profiles[0]},
		{"skip log matching", simulationFaults{protocol: injectedFaults{skipLogMatching: true}}, profiles[0]},
		{"skip the up-to-date check of candidates", simulationFaults{protocol: injectedFaults{skipUpToDateCheck: true}}, profiles[0]},
		{"serve before the first entry of the term is committed", simulationFaults{protocol: injectedFaults{serveBeforeFirstEntry: true}}, profiles[0]},
		{"confirm without a majority", simulationFaults{protocol: injectedFaults{confirmWithoutMajority: true}}, profiles[3]},
		{"acknowledge entries before they are stored", simulationFaults{protocol: injectedFaults{acknowledgeBeforeStore: true}}, profiles[0]},
		{"admit again under the old identity", simulationFaults{protocol: injectedFaults{reuseAdmission: true}}, profiles[1]},
		{"count learners in majorities", simulationFaults{protocol: injectedFaults{countLearners: true}}, profiles[1]},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxHistoriesUntilDetected) {
				s := newSimulation(seededChooser(seed), test.faults, test.weights, nodeCount, initialMemberCount)
				if violation := s.run(stepsPerHistory); violation != "" {
					t.Logf("detected in history %d at step %d: %s", seed+1, s.stepCount, violation)
					return
				}
			}
			t.Fatalf("not detected in %d histories", maxHistoriesUntilDetected)
		})
	}
}

// TestUnstoredVoteDoesNotCount runs the one schedule in which a candidate's
// own vote alone makes it leader: a leader whose membership change to itself
// alone is not stored steps down, is elected again and crashes. The oracle
// must detect it if the rule is disabled. Random schedules reach this case too
// rarely.
func TestUnstoredVoteDoesNotCount(t *testing.T) {
	require.Empty(t, electAloneAndCrash(simulationFaults{}))
	violation := electAloneAndCrash(simulationFaults{protocol: injectedFaults{countVoteBeforeStore: true}})
	require.Contains(t, violation, "are both leaders of term 2")
}

func electAloneAndCrash(faults simulationFaults) string {
	s := newSimulation(seededChooser(1), faults, nil, 2, 2)
	first, second := s.nodes["a"], s.nodes["b"]
	first.replica.EnsureLeader()
	first.processReady()
	s.deliverAndStoreAll()
	_ = first.replica.ProposeMembership(first.replica.currentMembership().withoutMember(second.id))
	for range 2 * s.config(first.id).QuorumTicks {
		first.replica.Tick()
		first.processReady()
		second.replica.Tick()
	}
	first.replica.EnsureLeader()
	first.processReady()
	s.inTransit = nil
	first.crash()
	second.replica.SetSuspected(first.id, true)
	second.replica.EnsureLeader()
	second.processReady()
	s.deliverAndStoreAll()
	return s.oracle.violation
}
