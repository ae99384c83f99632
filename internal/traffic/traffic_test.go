package traffic

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// page returns what a registry shows.
func page(registry *telemetry.Registry) string {
	mux := http.NewServeMux()
	telemetry.Mount(mux, registry, func() telemetry.Readiness { return telemetry.Readiness{} })
	shown := httptest.NewRecorder()
	mux.ServeHTTP(shown, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return shown.Body.String()
}

func TestBytesAreCountedByDistanceAndCause(t *testing.T) {
	registry := telemetry.NewRegistry()
	counted := New(registry)
	counted.Add(distance.OtherRegion, Prompts, 100)
	counted.Add(distance.OwnZone, Prompts, 7)
	counted.Add(distance.OwnZone, Directory, -1)
	read, err := io.ReadAll(NewCountingReader(counted, strings.NewReader("an answer"), distance.OwnRegion, Answers))
	require.NoError(t, err)
	require.Equal(t, "an answer", string(read))
	shown := page(registry)
	for _, line := range []string{
		`barleyshelf_link_bytes_total{cause="prompts",distance="other_regions"} 100`,
		`barleyshelf_link_bytes_total{cause="prompts",distance="zone"} 7`,
		`barleyshelf_link_bytes_total{cause="answers",distance="region"} 9`,
		`barleyshelf_link_bytes_total{cause="news",distance="zone"} 0`,
	} {
		require.Contains(t, shown, line+"\n")
	}
	require.Equal(t, len(distance.Classes)*int(causes), strings.Count(shown, "barleyshelf_link_bytes_total{"), "labels are bounded")
}

func TestNilCountersCountNothing(t *testing.T) {
	var counted *Counters
	counted.Add(distance.OwnZone, Records, 5)
	read, err := io.ReadAll(NewCountingReader(counted, strings.NewReader("x"), distance.OwnZone, Records))
	require.NoError(t, err)
	require.Equal(t, "x", string(read))
}
