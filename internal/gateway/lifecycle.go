package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.options.HeaderCodec.ReadinessPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Ready reports whether new clients are welcome.
func (g *Gateway) Ready() bool { return g.readiness().Ready }

func (g *Gateway) readiness() telemetry.Readiness {
	switch {
	case g.stopping.Load():
		return telemetry.Readiness{Reason: "stopping"}
	case g.directory.View().Table == nil:
		return telemetry.Readiness{Reason: "no configuration is known yet"}
	case !g.drainsKnown():
		return telemetry.Readiness{Reason: "it is not known yet which zones are drained"}
	case g.state.isolated():
		return telemetry.Readiness{Reason: "no replica answers"}
	}
	if _, cutOff := g.cutOffComeBack(); cutOff {
		return telemetry.Readiness{Reason: "no other zone answers"}
	}
	return telemetry.Readiness{Ready: true}
}

const (
	// unreadyFor is how long new connections may still come after readiness
	// ended: it is asked for once a second and believed after two misses.
	unreadyFor = 3 * time.Second
	// lingerFor is how long kept connections may bring a last request, which
	// is answered with the wish to close.
	lingerFor = 1500 * time.Millisecond
	// stopMargin is kept of the grace for what follows the last request: settlements, which
	// take a round to a majority, and the end of the process, for which exitMargin stays.
	stopMargin = 400 * time.Millisecond
	exitMargin = 100 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// stop ends the gateway so that no request is cut off: readiness first, then
// the kept connections, then the listener.
func (g *Gateway) stop(server *http.Server, ingress net.Listener) {
	began := time.Now()
	g.stopping.Store(true)
	eventStopping.Log("node", g.options.Node, "under_way", g.inFlight.Load())
	time.Sleep(unreadyFor)
	ingress.Close()
	time.Sleep(lingerFor)
	end := began.Add(time.Duration(g.grace.Load()) - stopMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		server.Close()
	}
	for g.inFlight.Load() > 0 && time.Now().Before(end) {
		time.Sleep(stopPoll)
	}
	settling, stopSettling := context.WithDeadline(context.Background(), end.Add(stopMargin-exitMargin))
	defer stopSettling()
	g.quorum.WriteDeferred(settling)
}
