package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLongOutageIsLoggedPeriodically(t *testing.T) {
	noted, began := &outage{}, time.Unix(1000, 0)
	noted.note(began, 0, Shortfall{})
	require.Equal(t, began, noted.logged)
	noted.note(began.Add(awayLogInterval-1), 0, Shortfall{})
	require.Equal(t, began, noted.logged, "the members say the same")
	noted.note(began.Add(awayLogInterval), 0, Shortfall{})
	require.Equal(t, began.Add(awayLogInterval), noted.logged)
}
