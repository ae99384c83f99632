package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

func TestRejectedCallsAreReportedWithTheCallsAnsweredMeanwhile(t *testing.T) {
	counts, before := newCallCounts(), make(map[string]procedureTotals)
	appends, pulls := counts.of(replicav1connect.ReplicaServiceAppendProcedure), counts.of(replicav1connect.ReplicaServicePullProcedure)
	appends.inFlight.Add(2)
	appends.finish(time.Now().Add(-40 * time.Millisecond))
	report, rejected := counts.changesSince(before)
	require.Zero(t, rejected)
	require.Len(t, report, 1)
	appends.rejected.Add(3)
	pulls.rejected.Add(1)
	report, rejected = counts.changesSince(before)
	require.Equal(t, int64(4), rejected)
	require.Equal(t, []string{
		"append answered=0 rejected=3 in_flight=1 mean_ms=0",
		"pull answered=0 rejected=1 in_flight=0 mean_ms=0",
	}, report)
	report, rejected = counts.changesSince(before)
	require.Empty(t, report)
	require.Zero(t, rejected)
}
