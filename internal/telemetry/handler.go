package telemetry

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// The paths that Mount serves.
const (
	PathLive    = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// Readiness tells whether the daemon takes work, and where not, why.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason is what the daemon waits for, or why it takes no work; empty when
	// it is ready.
	Reason string `json:"reason,omitempty"`
}

// Mount serves liveness, readiness and metrics on mux. Liveness says only that
// the process answers; a daemon that waits for its configuration is alive and
// must not be restarted for that. Readiness answers 503 with the reason.
func Mount(mux *http.ServeMux, registry *Registry, ready func() Readiness) {
	mux.HandleFunc("GET "+PathLive, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET "+PathReady, func(w http.ResponseWriter, _ *http.Request) {
		writeReadiness(w, ready())
	})
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(registry.inner, promhttp.HandlerOpts{}))
}

func writeReadiness(w http.ResponseWriter, readiness Readiness) {
	w.Header().Set("Content-Type", "application/json")
	if !readiness.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// A failed write means that the reader has gone.
	_ = json.NewEncoder(w).Encode(readiness)
}
