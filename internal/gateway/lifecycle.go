package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

const (
	// freshNews is how old the word of a replica that the store answers may be
	// before the workers and the group are read from the store itself.
	freshNews = 800 * time.Millisecond
	// directFor is how long the store is followed at least.
	directFor = 3 * time.Second
	// listAfter is how long replicas have to pass the workers on after the start
	// before they are listed once at the store: after a loss of power on all machines
	// replicas take longer to come back. firstNews is how long they have before the
	// store is followed.
	listAfter   = 40 * time.Millisecond
	firstNews   = 600 * time.Millisecond
	newsChecked = 100 * time.Millisecond
)

// followStore follows the workers and the group in the platform's store while no
// replica passes them on. Each call to the store has its price, and the store
// bears only so many readers.
func (g *Gateway) followStore(ctx context.Context) {
	pause.For(ctx, listAfter)
	if g.directory.WorkersRevision() == 0 {
		g.feed.ListRest(ctx)
	}
	pause.For(ctx, firstNews-listAfter)
	for ctx.Err() == nil {
		if g.relay.FreshWithin(freshNews) {
			pause.For(ctx, newsChecked)
			continue
		}
		eventDirect.Log()
		following, stop := context.WithCancel(ctx)
		go g.feed.RunRest(following)
		pause.For(ctx, directFor)
		for !g.relay.FreshWithin(freshNews) && pause.For(ctx, newsChecked) {
		}
		stop()
	}
}

func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.options.Dialect.ReadinessPath(), func(w http.ResponseWriter, _ *http.Request) {
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
	case g.state.isolated():
		return telemetry.Readiness{Reason: "no replica answers"}
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
	// stopMargin is kept of the grace for the end of the process.
	stopMargin = 400 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// stop ends the gateway so that no request is cut off: readiness first, then
// the kept connections, then the listener.
func (g *Gateway) stop(server *http.Server, ingress net.Listener) {
	began := time.Now()
	g.stopping.Store(true)
	eventStopping.Log("node", g.options.Node, "under_way", g.underWay.Load())
	time.Sleep(unreadyFor)
	ingress.Close()
	time.Sleep(lingerFor)
	end := began.Add(time.Duration(g.grace.Load()) - stopMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		server.Close()
	}
	for g.underWay.Load() > 0 && time.Now().Before(end) {
		time.Sleep(stopPoll)
	}
	g.quorum.WriteDeferred()
}
