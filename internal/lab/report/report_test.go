package report_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/report"
)

func TestJSONHasTheAgreedKeys(t *testing.T) {
	written := &bytes.Buffer{}
	full := &report.Report{Promises: promise.Check(&promise.Evidence{})}
	require.NoError(t, full.WriteJSON(written))
	decoded := map[string]any{}
	require.NoError(t, json.Unmarshal(written.Bytes(), &decoded))
	for _, key := range []string{"programs_started", "programs_completed", "program_latency_ms", "first_token_ms",
		"inter_token_ms", "cache", "refused", "control", "faults_injected", "promises"} {
		require.Contains(t, decoded, key)
	}
	for _, key := range []string{"p50", "p95", "p99"} {
		require.Contains(t, decoded["inter_token_ms"], key)
	}
	for _, key := range []string{"prompt_tokens", "reused_tokens", "wasted_tokens", "wasted_ratio"} {
		require.Contains(t, decoded["cache"], key)
	}
	for _, key := range []string{"cpu_fraction", "bytes_per_second", "heap_bytes"} {
		require.Contains(t, decoded["control"], key)
	}
	promises, isList := decoded["promises"].([]any)
	require.True(t, isList)
	require.Len(t, promises, 10)
	for _, key := range []string{"name", "checked", "broken"} {
		require.Contains(t, promises[0], key)
	}
}

func TestTextMarksBrokenAndUncheckedPromises(t *testing.T) {
	written := &bytes.Buffer{}
	verdicts := []promise.Verdict{{Name: "first", Checked: 3, Broken: 1, Details: []string{"why"}}, {Name: "second"}}
	require.NoError(t, (&report.Report{Promises: verdicts}).WriteText(written))
	require.Regexp(t, `BROKEN +3 checked +1 broken +first\n +why`, written.String())
	require.Regexp(t, `NONE +0 checked +0 broken +second`, written.String())
}

func TestDistributionKeepsPercentiles(t *testing.T) {
	latencies := report.NewDistribution()
	for i := 1; i <= 100; i++ {
		latencies.Record(time.Duration(i) * time.Millisecond)
	}
	percentiles := latencies.Percentiles()
	require.InDelta(t, 50, percentiles.P50, 0.1)
	require.InDelta(t, 99, percentiles.P99, 0.1)
	require.EqualValues(t, 100, percentiles.Count)
}
