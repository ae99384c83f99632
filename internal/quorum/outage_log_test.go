package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLongOutageIsLoggedPeriodically(t *testing.T) {
	current, startedAt := &outage{}, time.Unix(1000, 0)
	current.logMembers(startedAt, 0, Shortfall{})
	require.Equal(t, startedAt, current.loggedAt)
	current.logMembers(startedAt.Add(outageLogInterval-1), 0, Shortfall{})
	require.Equal(t, startedAt, current.loggedAt, "the members' answers have not changed")
	current.logMembers(startedAt.Add(outageLogInterval), 0, Shortfall{})
	require.Equal(t, startedAt.Add(outageLogInterval), current.loggedAt)
}
