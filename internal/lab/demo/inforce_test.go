package demo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
)

func TestInForceCountsFromTheAcceptanceToTheFirstSight(t *testing.T) {
	at := func(milliseconds int) time.Time { return time.UnixMilli(int64(1000 + milliseconds)) }
	evidence := &promise.Evidence{
		Accepted: []promise.Accepted{{Version: 5, At: at(100)}},
		Samples: []promise.Sample{
			{Daemon: "quick", At: at(0), Version: 4}, {Daemon: "quick", At: at(150), Version: 5}, {Daemon: "quick", At: at(400), Version: 5},
			{Daemon: "slow", At: at(900), Version: 6}, {Daemon: "slow", At: at(50), Version: 4},
			{Daemon: "late", At: at(200), Version: 5},
			{Daemon: "paused", At: at(9000), Version: 5},
			{Daemon: "behind", At: at(9000), Version: 4},
		},
		Impaired: []promise.Impairment{{Daemon: "paused", From: at(50), To: at(8000)}},
	}
	percentiles := inForce(evidence)
	require.EqualValues(t, 2, percentiles.Count, "a paused daemon, one not sampled before and one that never showed the version give no time")
	require.InDelta(t, 50, percentiles.P50, 0.1)
	require.InDelta(t, 800, percentiles.P99, 1)
}
