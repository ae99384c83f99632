package daemon

import "net/http"

// operatorHandler serves the operators' address.
func (d *Daemon) operatorHandler() (http.Handler, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /readyz", d.serveReady)
	return mux, nil
}

func (d *Daemon) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if refusal := d.refusal(); refusal != nil {
		http.Error(writer, refusal.Error(), http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
