package telemetry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func get(mux *http.ServeMux, method, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
	return recorder
}

func TestLivenessReadinessAndMetrics(t *testing.T) {
	readiness := Readiness{Reason: "waiting for a vouched configuration"}
	registry, mux := NewRegistry(), http.NewServeMux()
	definition := Definition{Name: "barleyshelf_test_total", Kind: KindCounter, Help: "Tests.", Labels: []string{"kind"}}
	registry.Counter(definition).WithLabelValues("unit").Add(3)
	Mount(mux, registry, func() Readiness { return readiness })

	require.Equal(t, http.StatusOK, get(mux, "GET", PathLive).Code, "alive, though not ready")
	refused := get(mux, "GET", PathReady)
	require.Equal(t, http.StatusServiceUnavailable, refused.Code)
	require.JSONEq(t, `{"ready":false,"reason":"waiting for a vouched configuration"}`, refused.Body.String())
	readiness = Readiness{Ready: true}
	require.Equal(t, http.StatusOK, get(mux, "GET", PathReady).Code)
	require.Contains(t, get(mux, "GET", PathMetrics).Body.String(), `barleyshelf_test_total{kind="unit"} 3`)
	require.Equal(t, http.StatusMethodNotAllowed, get(mux, "POST", PathReady).Code)
	require.Panics(t, func() { registry.Gauge(definition) }, "another kind than defined")
}

func TestMetricNamesAreUsedOnce(t *testing.T) {
	definition := Define(Definition{Name: "test_once", Kind: KindGauge})
	defer delete(catalogue, definition.Name)
	require.Contains(t, All(), definition)
	require.Panics(t, func() { Define(Definition{Name: "test_once", Kind: KindGauge}) })
}
