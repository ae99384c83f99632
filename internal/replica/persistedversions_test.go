package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

// Guards against streams that are refused after a loss of all power, as no replica knows how old a version is.
func TestAgeOfAVersionOutlastsARestart(t *testing.T) {
	var stored persistedVersions
	write := func(known time.Duration) (written int) {
		for _, record := range stored.changes([]directory.VersionAge{{Service: "model", Version: "v1", KnownFor: known}}) {
			require.True(t, stored.apply(record.GetKnownVersion()))
			written++
		}
		return written
	}
	require.Equal(t, 1, write(0))
	require.Equal(t, 1, write(6*time.Second))
	require.Zero(t, write(9*time.Second), "few records are written")
	require.Equal(t, 1, write(15*time.Second))
	require.Equal(t, 1, write(time.Hour))
	require.Zero(t, write(2*time.Hour))
	require.Equal(t, uint64((10 * time.Minute).Milliseconds()), stored.records()[0].GetKnownVersion().KnownMs)
	require.Equal(t, 1, write(0), "the version is new again")
	require.Zero(t, stored.records()[0].GetKnownVersion().KnownMs)
}
