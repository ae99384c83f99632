package estimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMinimumIsZeroUntilOneWindowIsFull(t *testing.T) {
	minimum := &Minimum{}
	for i := range minimumWindow - 1 {
		minimum.Observe(time.Duration(100+i) * time.Millisecond)
		require.Zero(t, minimum.Value())
	}
	minimum.Observe(time.Second)
	require.Equal(t, 100*time.Millisecond, minimum.Value())
	minimum.Observe(30 * time.Millisecond)
	require.Equal(t, 30*time.Millisecond, minimum.Value())
}

func TestMinimumForgetsOldSamples(t *testing.T) {
	minimum := &Minimum{}
	minimum.Observe(time.Millisecond)
	for range 2*minimumWindow + 1 {
		minimum.Observe(50 * time.Millisecond)
	}
	require.Equal(t, 50*time.Millisecond, minimum.Value())
}
