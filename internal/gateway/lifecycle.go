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

// Ready reports whether the gateway accepts new clients.
func (g *Gateway) Ready() bool { return g.readiness().Ready }

func (g *Gateway) readiness() telemetry.Readiness {
	switch {
	case g.stopping.Load():
		return telemetry.Readiness{Reason: "stopping"}
	case g.directory.View().Table == nil:
		return telemetry.Readiness{Reason: "no configuration is known yet"}
	case !g.drainsKnown():
		return telemetry.Readiness{Reason: "it is not known yet which zones are drained"}
	case g.replicaHealth.isolated():
		return telemetry.Readiness{Reason: "no replica answers"}
	}
	if _, isCutOff := g.cutOffRetryAfter(); isCutOff {
		return telemetry.Readiness{Reason: "no other zone answers"}
	}
	return telemetry.Readiness{Ready: true}
}

const (
	// unreadyBeforeClose is how long new connections may still arrive after the gateway becomes
	// unready. The load balancer checks readiness once a second and acts on two failures.
	unreadyBeforeClose = 3 * time.Second
	// keepAliveLinger is how long keep-alive connections may send a last request, which is
	// answered with "Connection: close".
	keepAliveLinger = 1500 * time.Millisecond
	// settlementMargin is reserved at the end of the grace period for what follows the last
	// request: settlements, which take one round trip to a majority, and the end of the
	// process, for which exitMargin remains.
	settlementMargin = 400 * time.Millisecond
	exitMargin       = 100 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// stop shuts the gateway down without cutting requests off: first it becomes unready, then it closes the listener, then it
// drains keep-alive connections. Requests that are still in flight close to the end get a final answer.
func (g *Gateway) stop(server *http.Server, ingress net.Listener) {
	period := newGracePeriod(time.Now(), time.Duration(g.graceNanoseconds.Load()))
	g.gracePeriod.Store(period)
	g.stopping.Store(true)
	eventStopping.Log("node", g.options.Node, "under_way", g.inFlight.Load())
	ctx, cancel := context.WithDeadline(context.Background(), period.end)
	defer cancel()
	go g.endRequestsAt(ctx, period.lastAnswer)
	time.Sleep(unreadyBeforeClose)
	ingress.Close()
	time.Sleep(keepAliveLinger)
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		server.Close()
	}
	for g.inFlight.Load() > 0 && time.Now().Before(period.end) {
		time.Sleep(stopPollInterval)
	}
	settleContext, stopSettling := context.WithDeadline(context.Background(), period.end.Add(settlementMargin-exitMargin))
	defer stopSettling()
	g.quorum.WriteDeferred(settleContext)
}
