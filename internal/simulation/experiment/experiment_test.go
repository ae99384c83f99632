package experiment

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/simulation"
)

func small() Options {
	return Options{
		Deployments: []string{"voltkai"}, Policies: []string{"affinity", "program-aware"}, Loads: []float64{0.2, 0.4},
		Faults: []simulation.Fault{simulation.FaultNone}, Seeds: 2, FirstSeed: 1, Duration: time.Minute, Workers: 2,
		Parameters: simulation.DefaultParameters(),
	}
}

func TestPoliciesMeetTheSamePrograms(t *testing.T) {
	rows, err := Run(context.Background(), small())
	require.NoError(t, err)
	require.Len(t, rows, 8)
	calls := map[float64]map[uint64]int64{0.2: {}, 0.4: {}}
	for _, row := range rows {
		if earlier, seen := calls[row.Load][row.Seed]; seen {
			require.Equal(t, earlier, row.Calls, "the same programs make the same calls")
		}
		calls[row.Load][row.Seed] = row.Calls
	}
	again, err := Run(context.Background(), small())
	require.NoError(t, err)
	require.Equal(t, rows, again)
}

func TestReportHoldsTheAgreedRows(t *testing.T) {
	rows, err := Run(context.Background(), small())
	require.NoError(t, err)
	directory := t.TempDir()
	report := Report{Rows: rows, Summaries: Summarize(rows)}
	require.NoError(t, report.WriteDirectory(directory))
	content, err := os.ReadFile(filepath.Join(directory, "report.json"))
	require.NoError(t, err)
	var decoded struct{ Rows []map[string]any }
	require.NoError(t, json.Unmarshal(content, &decoded))
	require.Len(t, decoded.Rows, len(rows))
	for _, field := range []string{"deployment", "policy", "load", "seed", "wasted_tokens", "prompt_tokens", "programs_completed"} {
		require.Contains(t, decoded.Rows[0], field)
	}
	latency := decoded.Rows[0]["program_latency_ms"].(map[string]any)
	require.Greater(t, latency["p99"], latency["p50"])
	for _, file := range []string{"index.html", "rows.csv", "latency-voltkai-none.png", "wasted-voltkai-none.png", "distribution-voltkai-0.40-none.png"} {
		require.FileExists(t, filepath.Join(directory, file))
	}
	var lines bytes.Buffer
	require.NoError(t, report.WriteCSV(&lines))
	records, err := csv.NewReader(&lines).ReadAll()
	require.NoError(t, err)
	require.Len(t, records, len(rows)+1)
}

// made builds rows of one setting from a policy's p95 and wasted tokens by seed.
func made(policy string, figures ...float64) []Row {
	var rows []Row
	for index, figure := range figures {
		rows = append(rows, Row{
			Deployment: "voltkai", Policy: policy, Load: 0.8, Fault: simulation.FaultNone, Seed: uint64(index),
			ProgramLatency: Percentiles{P95: figure}, WastedTokens: int64(10 * figure), PromptTokens: 1_000,
		})
	}
	return rows
}

func TestRatiosArePairedWithTheBestBaseline(t *testing.T) {
	rows := append(made("affinity", 10, 20, 40), made("least-loaded", 100, 100, 100)...)
	rows = append(rows, made(schedule.DefaultPolicy, 5, 10, 20)...)
	summaries := Summarize(rows)
	own, found := find(summaries, Setting{"voltkai", 0.8, simulation.FaultNone})
	require.True(t, found)
	require.Equal(t, "affinity", own.P95Baseline)
	require.Equal(t, Interval{Median: 0.5, Low: 0.5, High: 0.5}, own.P95Ratio)
	require.Equal(t, 0.1, own.Wasted.Median)
	require.Equal(t, []string{schedule.DefaultPolicy, "affinity", "least-loaded"}, ranking(summaries, own.Setting, p95))
}

func TestBootstrapCoversTheMedian(t *testing.T) {
	require.Equal(t, Interval{3, 3, 3}, bootstrap([]float64{3, 3, 3}))
	spread := bootstrap([]float64{1, 2, 3, 4, 5, 6, 7, 8, 9})
	require.Equal(t, 5.0, spread.Median)
	require.Less(t, spread.Low, 5.0)
	require.Greater(t, spread.High, 5.0)
	require.Equal(t, 2.5, median([]float64{4, 1, 2, 3}))
}

func TestVaryTellsWhatTheResultHangsOn(t *testing.T) {
	base := Sensitivity{Ranking: []string{"a", "b"}, WastedRanking: []string{"a", "b"}, P95Ratio: 0.7, WastedRatio: 0.5}
	require.False(t, hangs(base, base))
	overtaken, shifted := base, base
	overtaken.Ranking = []string{"b", "a"}
	shifted.WastedRatio = 0.65
	require.True(t, hangs(base, overtaken))
	require.True(t, hangs(base, shifted))
	options := small()
	options.Loads, options.Seeds, options.Duration = []float64{0.2}, 1, 20*time.Second
	varied, err := Vary(context.Background(), options, []float64{0.5})
	require.NoError(t, err)
	require.Len(t, varied, 1+len(simulation.Variations(options.Parameters, 0.5)))
}

func TestFailuresOfARunEndTheExperiment(t *testing.T) {
	options := small()
	options.Policies = []string{"oracle"}
	_, err := Run(context.Background(), options)
	var unknown *schedule.UnknownPolicy
	require.ErrorAs(t, err, &unknown)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = Run(ctx, small())
	require.ErrorIs(t, err, context.Canceled)
}
