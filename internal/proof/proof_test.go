package proof

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

const faultSteps = 12_000

// TestMain sets a fixed seed, which makes every run give the same result. The flags
// override the defaults: -rapid.checks for longer runs, -rapid.seed for other seeds.
func TestMain(m *testing.M) {
	fuzzseed.Main(m, fuzzseed.Defaults{"rapid.seed": "20260102", "rapid.checks": "150", "rapid.nofailfile": "true"})
}

func (r *Report) add(other Report) {
	r.Steps += other.Steps
	r.Faults += other.Faults
	r.Answers += other.Answers
	r.Executions += other.Executions
	r.ExecutionsDuringFaults += other.ExecutionsDuringFaults
	r.CheckedPrompts += other.CheckedPrompts
}

func TestClusterInvariantsHoldUnderFaults(t *testing.T) {
	total := Report{}
	rapid.Check(t, func(t *rapid.T) {
		report := Run(Options{Seed: rapid.Uint64().Draw(t, "seed"), FaultSteps: faultSteps})
		require.Empty(t, report.Violation)
		total.add(report)
	})
	t.Logf("total of all runs: %+v", total)
	require.Positive(t, total.ExecutionsDuringFaults)
	require.Positive(t, total.CheckedPrompts)
}

func TestRunIsDeterministic(t *testing.T) {
	options := Options{Seed: 4, FaultSteps: faultSteps}
	require.Equal(t, Run(options), Run(options))
}

// TestInjectedBugsAreDetected shows that the checks can fail.
func TestInjectedBugsAreDetected(t *testing.T) {
	const seeds = 1000
	bugs := []InjectedBug{
		SendBeforeStartCommitted, ResendNonRepeatable, SkipDispatchCheck, SkipHoldRelease, SkipOrphanRelease,
		UseWrongHistory, ReportStartedAsNotRun, ResendTakenOver, ReuseIncarnation, PlaceOutsideDomain, TruncateAnswers,
	}
	for _, bug := range bugs {
		t.Run(string(bug), func(t *testing.T) {
			for seed := range uint64(seeds) {
				if report := Run(Options{Seed: seed, FaultSteps: faultSteps, InjectedBug: bug}); report.Violation != "" {
					t.Logf("seed %d: %s", seed, report.Violation)
					return
				}
			}
			t.Fatalf("bug was not detected with %d seeds", seeds)
		})
	}
}
