package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMinimumIsZeroUntilOneWindowIsFull(t *testing.T) {
	least := &Minimum{}
	for i := range leastWindow - 1 {
		least.Observe(time.Duration(100+i) * time.Millisecond)
		require.Zero(t, least.Value())
	}
	least.Observe(time.Second)
	require.Equal(t, 100*time.Millisecond, least.Value())
	least.Observe(30 * time.Millisecond)
	require.Equal(t, 30*time.Millisecond, least.Value())
}

func TestMinimumForgetsOldSamples(t *testing.T) {
	least := &Minimum{}
	least.Observe(time.Millisecond)
	for range 2*leastWindow + 1 {
		least.Observe(50 * time.Millisecond)
	}
	require.Equal(t, 50*time.Millisecond, least.Value())
}
