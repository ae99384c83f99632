package hollow_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/hollow"
)

func runSmall(t *testing.T, options hollow.Options) *hollow.Report {
	options.Daemons, options.Zones, options.Workers, options.Tenants = 40, 4, 100, 100
	options.Programs, options.Duration, options.Loss, options.ChangesPerDay = 10000, 60*time.Second, 0.01, 14000
	report, err := hollow.Run(options)
	require.NoError(t, err)
	return report
}

// repeatable drops what depends on the machine.
func repeatable(r *hollow.Report) hollow.Report {
	copied := *r
	copied.Control.CPUFraction, copied.Control.DecisionCPUFraction = hollow.Spread{}, hollow.Spread{}
	copied.Control.HeapBytes, copied.WallSeconds, copied.Readers.CPUFraction = hollow.Spread{}, 0, 0
	return copied
}

func TestRunRepeatsFromItsSeed(t *testing.T) {
	options := hollow.Options{Seed: 3, Kills: 2, RestartsPerDay: 4000}
	first, second := runSmall(t, options), runSmall(t, options)
	require.Equal(t, repeatable(first), repeatable(second))
	other := runSmall(t, hollow.Options{Seed: 4, Kills: 2, RestartsPerDay: 4000})
	require.NotEqual(t, repeatable(first).ByKind, repeatable(other).ByKind)
}

func TestDeathsAreDetectedAndNobodyElseIsRemoved(t *testing.T) {
	report := runSmall(t, hollow.Options{Seed: 1, Kills: 6})
	require.Equal(t, 6, report.Detection.Count)
	require.Less(t, report.Detection.P99, 5000.0)
	require.Zero(t, report.Undetected)
	require.Zero(t, report.FalseRemovals)
	require.Zero(t, report.Unfinished)
	require.Positive(t, report.Changes)
	require.Less(t, report.ConfigInForce.P99, 8000.0)
}

func TestPartitionHealsWhileTheConfigurationChanges(t *testing.T) {
	report := runSmall(t, hollow.Options{Seed: 1, Scenario: hollow.ScenarioPartition})
	require.Zero(t, report.FalseRemovals)
	require.Zero(t, report.Backwards)
	require.Positive(t, report.MergeMillis)
	require.Less(t, report.MergeMillis, 8000.0)
}

func TestZoneRestartsAtOnce(t *testing.T) {
	report := runSmall(t, hollow.Options{Seed: 1, Scenario: hollow.ScenarioRestartStorm})
	require.Zero(t, report.FalseRemovals)
	require.Equal(t, 10, report.Join.Count)
}

func TestReportIsWritten(t *testing.T) {
	folder := t.TempDir()
	report := &hollow.Report{Daemons: 50, Control: hollow.Control{BytesPerSecond: hollow.Spread{Median: 1234}}}
	require.NoError(t, hollow.Write(folder, []*hollow.Report{report}))
	table, err := os.ReadFile(filepath.Join(folder, "scale.csv"))
	require.NoError(t, err)
	require.Contains(t, string(table), "1234")
	require.FileExists(t, filepath.Join(folder, "bytes_per_second_median.png"))
}

// TestLessCooperationMakesMoreMistakes holds the comparison's main finding on a
// short run.
func TestLessCooperationMakesMoreMistakes(t *testing.T) {
	mistakes := map[string]float64{}
	for _, result := range hollow.CompareDetectors(1, 4*time.Minute) {
		mistakes[result.Period.String()+result.Detector+string(result.Cooperation)] = result.MistakesPerHour
		require.Zero(t, result.Missed)
	}
	require.Greater(t, mistakes["100msfixednone"], 10*mistakes["100msfixedindirect probe"])
	require.Greater(t, mistakes["100mschennone"], mistakes["100msstabilitynone"])
}
