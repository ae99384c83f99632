package daemon

import (
	"net/http"

	"github.com/barleyshelf/barleyshelf/internal/operator"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// operatorHandler serves the operators' address: their API, liveness,
// readiness and metrics.
func (d *Daemon) operatorHandler() (http.Handler, error) {
	service := operator.NewService(operator.Options{Platform: d.platform, Backend: operatorBackend{daemon: d}})
	api, err := operator.NewHandler(operator.HandlerOptions{
		Service:      service,
		TokensSHA256: d.settings.OperatorTokensSHA256,
	})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", api)
	telemetry.Mount(mux, d.registry, d.readiness)
	return mux, nil
}

func (d *Daemon) readiness() telemetry.Readiness {
	if refusal := d.refusal(); refusal != nil {
		return telemetry.Readiness{Reason: refusal.Error()}
	}
	if d.draining.Load() {
		return telemetry.Readiness{Reason: "the daemon is stopping"}
	}
	return telemetry.Readiness{Ready: true}
}
