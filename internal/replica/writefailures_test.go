package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// A full disk filled the log with a line for each retry of each seat, every 60 ms.
func TestWriteFailuresAreLoggedRarely(t *testing.T) {
	now := time.Unix(1000, 0)
	failures := newWriteFailures(func() time.Time { return now })
	full := &failure.DiskFailed{Cause: recordlogtest.ErrNoSpace}
	lines := 0
	for range 1000 {
		if failures.log(full) {
			lines++
		}
		now = now.Add(seatPollInterval)
	}
	require.Equal(t, int(1000*seatPollInterval/failureLogInterval), lines)
	now = now.Add(failureLogInterval)
	require.True(t, failures.log(full))
	require.Zero(t, failures.unlogged)
}
