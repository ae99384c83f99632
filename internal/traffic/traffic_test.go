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

// scrapeMetrics returns the metrics of a registry in text format.
func scrapeMetrics(registry *telemetry.Registry) string {
	mux := http.NewServeMux()
	telemetry.Mount(mux, registry, func() telemetry.Readiness { return telemetry.Readiness{} })
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}

func TestBytesAreCountedByDistanceAndCause(t *testing.T) {
	registry := telemetry.NewRegistry()
	counters := New(registry)
	counters.Add(distance.OtherRegion, Prompts, 100)
	counters.Add(distance.OwnZone, Prompts, 7)
	counters.Add(distance.OwnZone, Directory, -1)
	read, err := io.ReadAll(NewCountingReader(counters, strings.NewReader("an answer"), distance.OwnRegion, Answers))
	require.NoError(t, err)
	require.Equal(t, "an answer", string(read))
	metrics := scrapeMetrics(registry)
	for _, line := range []string{
		`barleyshelf_link_bytes_total{cause="prompts",distance="other_regions"} 100`,
		`barleyshelf_link_bytes_total{cause="prompts",distance="zone"} 7`,
		`barleyshelf_link_bytes_total{cause="answers",distance="region"} 9`,
		`barleyshelf_link_bytes_total{cause="news",distance="zone"} 0`,
	} {
		require.Contains(t, metrics, line+"\n")
	}
	require.Equal(t, len(distance.Classes)*int(causeCount), strings.Count(metrics, "barleyshelf_link_bytes_total{"), "every class and cause has one series")
}

func TestNilCountersCountNothing(t *testing.T) {
	var counters *Counters
	counters.Add(distance.OwnZone, Records, 5)
	read, err := io.ReadAll(NewCountingReader(counters, strings.NewReader("x"), distance.OwnZone, Records))
	require.NoError(t, err)
	require.Equal(t, "x", string(read))
}
