package proof

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
)

const hostileSteps = 12_000

// TestMain fixes the seed, so that each run gives the same verdict. The flags
// override it: -rapid.checks for long runs, -rapid.seed for other ones.
func TestMain(m *testing.M) {
	fuzzseed.Main(m, fuzzseed.Defaults{"rapid.seed": "20260102", "rapid.checks": "150", "rapid.nofailfile": "true"})
}

func (r *Report) add(other Report) {
	r.Steps += other.Steps
	r.Faults += other.Faults
	r.Answers += other.Answers
	r.Executions += other.Executions
	r.Disturbed += other.Disturbed
	r.Histories += other.Histories
}

func TestClusterKeepsItsPromises(t *testing.T) {
	total := Report{}
	rapid.Check(t, func(t *rapid.T) {
		report := Run(Options{Seed: rapid.Uint64().Draw(t, "seed"), Steps: hostileSteps})
		require.Empty(t, report.Violation)
		total.add(report)
	})
	t.Logf("checked: %+v", total)
	require.Positive(t, total.Disturbed)
	require.Positive(t, total.Histories)
}

func TestRunIsRepeatable(t *testing.T) {
	options := Options{Seed: 4, Steps: hostileSteps}
	require.Equal(t, Run(options), Run(options))
}

// TestBreakagesAreNoticed shows that the checks can fail.
func TestBreakagesAreNoticed(t *testing.T) {
	const seeds = 1000
	breakages := []Breakage{
		SendBeforeRecord, SendAgain, TrustProposal, KeepHolds, KeepOrphans,
		MixHistories, RefuseStarted, RefuseTakenOver, ReuseIncarnation, LeaveDomain, CutAnswers,
	}
	for _, broken := range breakages {
		t.Run(string(broken), func(t *testing.T) {
			for seed := range uint64(seeds) {
				if report := Run(Options{Seed: seed, Steps: hostileSteps, Breakage: broken}); report.Violation != "" {
					t.Logf("seed %d: %s", seed, report.Violation)
					return
				}
			}
			t.Fatalf("not noticed with %d seeds", seeds)
		})
	}
}
