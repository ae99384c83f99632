package reload

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/settings"
)

const whole = `node: front-1
zone: wien-a
ingress: 10.1.0.1:80
readiness: 10.1.0.1:81
store: 10.1.0.9:83
seeds: ["10.1.0.2:82"]
`

func watcher(t *testing.T) (*Watcher, *[]settings.Role) {
	path := filepath.Join(t.TempDir(), "role.yaml")
	require.NoError(t, os.WriteFile(path, []byte(whole), 0o600))
	loaded, err := settings.LoadRole(path)
	require.NoError(t, err)
	var applied []settings.Role
	return &Watcher{
		Path: path, Loaded: loaded, Validate: settings.Role.ValidateGateway,
		Apply: func(role settings.Role) { applied = append(applied, role) },
	}, &applied
}

func TestABadFileChangesNothing(t *testing.T) {
	w, applied := watcher(t)
	for _, bad := range []string{"node: [", whole + "surprise: 1\n", whole + "graceMilliseconds: -4\n", ""} {
		require.NoError(t, os.WriteFile(w.Path, []byte(bad), 0o600))
		w.Reload()
	}
	require.NoError(t, os.Remove(w.Path))
	w.Reload()
	require.Empty(t, *applied)
	require.Equal(t, []string{"10.1.0.2:82"}, w.Loaded.Seeds)
}

func TestWhatNeedsARestartWaitsForOne(t *testing.T) {
	w, applied := watcher(t)
	changed := `node: front-2
zone: wien-a
ingress: 10.1.0.1:8080
readiness: 10.1.0.1:81
store: 10.1.0.9:83
seeds: ["10.1.0.7:82"]
graceMilliseconds: 3000
`
	require.NoError(t, os.WriteFile(w.Path, []byte(changed), 0o600))
	next, err := settings.LoadRole(w.Path)
	require.NoError(t, err)
	now, later := w.Loaded.Changes(next)
	require.Equal(t, []string{"seeds", "graceMilliseconds"}, now)
	require.Equal(t, []string{"node", "ingress"}, later)
	w.Reload()
	require.Len(t, *applied, 1)
	require.Equal(t, "front-1", (*applied)[0].Node)
	require.Equal(t, "10.1.0.1:80", (*applied)[0].Ingress)
	require.Equal(t, []string{"10.1.0.7:82"}, (*applied)[0].Seeds)
	require.Equal(t, 3*time.Second, (*applied)[0].Grace())
}

// TestAFileThatChangesWithoutASignalIsReadAgain, and a signal reads it at once.
func TestAFileThatChangesWithoutASignalIsReadAgain(t *testing.T) {
	w, _ := watcher(t)
	applied := make(chan settings.Role, 2)
	w.Apply = func(role settings.Role) { applied <- role }
	signals := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx, signals)
	require.NoError(t, os.WriteFile(w.Path, []byte(whole+"memoryMegabytes: 64\n"), 0o600))
	signals <- os.Interrupt
	require.Equal(t, int64(64), (<-applied).MemoryMegabytes)
	require.NoError(t, os.WriteFile(w.Path, []byte(whole+"memoryMegabytes: 96000\n"), 0o600))
	require.Equal(t, int64(96000), (<-applied).MemoryMegabytes)
}
