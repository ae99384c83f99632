package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// fenceBackoff is how long one that lost the fence leaves it to the other. It
	// doubles with each loss, up to maxFenceDoublings, so that two that do not see
	// each other do not take it from each other before one has done its work.
	fenceBackoff      = 5 * time.Second
	maxFenceDoublings = 6
	// drainBackoff is the pause after a draining that ran out of time.
	drainBackoff = time.Minute
	// watchInterval is asked of engines whose orders are kept here: changes come
	// at once, and the load is of no interest.
	watchInterval = 15 * time.Second
	// storeBacklog is the queue at the weight store, in its own time, beyond
	// which loads that can wait do.
	storeBacklog = time.Minute
)

var (
	eventFenceTaken = event.Define(1310, event.Info, "took the fence of a group of engines", "")
	eventFenceLost  = event.Define(1311, event.Info, "another daemon has the fence of a group of engines", "")
	eventNoFence    = event.Define(1312, event.Warning, "the platform gave no fence token; engines are left as they are",
		"Check the platform. Engines go on serving what they hold.")
	eventOrder       = event.Define(1313, event.Info, "ordered an engine", "")
	eventOrderFailed = event.Define(1314, event.Warning, "an engine did not take an order",
		"It is sent again. Check the engine, its memory and the weight store.")
	eventDrain      = event.Define(1315, event.Info, "drains an engine before an order", "")
	eventDrainedOut = event.Define(1316, event.Warning, "an engine's streams did not end in time; its order waits",
		"Look for streams that last longer than the drain timeout. The draining is tried again.")
)

// reconciler orders the engines of one group.
type reconciler struct {
	fleet   *Fleet
	group   group
	started time.Time
	// engines are the group's, as declared; followers watch them until stop.
	engines   []structs.EngineEndpoint
	followers []*follower
	stop      context.CancelFunc

	token        uint64
	sequence     uint64
	publishedAt  time.Time
	backoffUntil time.Time
	losses       int
	unfenced     bool
	draining     map[structs.EngineID]time.Time
	heldBack     map[structs.EngineID]time.Time
	// orderedAt is when the last order to an engine was answered. Only a later
	// report tells what the engine is.
	orderedAt map[structs.EngineID]time.Time
	failing   map[structs.EngineID]bool
}

// reconcile runs a reconciler for each group that falls to this daemon, until
// the context ends.
func (f *Fleet) reconcile(ctx context.Context) {
	running := map[group]*reconciler{}
	for pause.For(ctx, jittered(f.options.ReconcileInterval)) {
		configuration := f.options.Configuration()
		if configuration == nil {
			continue
		}
		mine := f.elect(ctx, configuration, running)
		for g, r := range running {
			if !mine[g] {
				r.stop()
				delete(running, g)
				continue
			}
			r.step(ctx, configuration)
		}
	}
	for _, r := range running {
		r.stop()
	}
}

// elect starts reconcilers of the groups that fall to this daemon, and returns
// these groups. Two daemons that both believe it do no harm: the fence lets one
// of them act.
func (f *Fleet) elect(ctx context.Context, configuration *structs.Configuration, running map[group]*reconciler) map[group]bool {
	division := dutiesOf(f.options.Self, f.options.Nodes())
	mine := map[group]bool{}
	for _, zone := range configuration.Declarations.Zones {
		if zone.Draining || (zone.Name != f.options.Self.Zone && division.populated[zone.Name]) {
			continue
		}
		for g, engines := range groupsOf(zone) {
			if !division.first(fenceKey(g), zone.Name) {
				continue
			}
			mine[g] = true
			if running[g] == nil {
				running[g] = f.newReconciler(g)
			}
			running[g].follow(ctx, zone, engines)
		}
	}
	return mine
}

func (f *Fleet) newReconciler(g group) *reconciler {
	return &reconciler{
		fleet:    f,
		group:    g,
		started:  f.now(),
		stop:     func() {},
		draining: map[structs.EngineID]time.Time{},
		heldBack: map[structs.EngineID]time.Time{},
		failing:  map[structs.EngineID]bool{},

		orderedAt: map[structs.EngineID]time.Time{},
	}
}

// follow watches the group's engines, anew when they are declared otherwise.
func (r *reconciler) follow(ctx context.Context, zone structs.Zone, engines []structs.EngineEndpoint) {
	if slices.Equal(engines, r.engines) {
		return
	}
	r.stop()
	r.engines = engines
	r.followers = nil
	followContext, cancel := context.WithCancel(ctx)
	r.stop = cancel
	for _, e := range engines {
		one := &follower{endpoint: Endpoint{EngineEndpoint: e, Zone: zone.Name, Region: zone.Region}, interval: watchInterval}
		r.followers = append(r.followers, one)
		r.fleet.runs.Go(func() { one.run(followContext, r.fleet.options.Engines) })
	}
}

// step looks at the group and does what is next. An engine's answer is seen by
// its reports, never assumed.
func (r *reconciler) step(ctx context.Context, configuration *structs.Configuration) {
	r.execute(ctx, r.prepare(ctx, configuration))
	r.repeatDraining()
}

// prepare returns the next actions, under a fence that this daemon holds.
func (r *reconciler) prepare(ctx context.Context, configuration *structs.Configuration) []action {
	now := r.fleet.now()
	if now.Before(r.backoffUntil) {
		return nil
	}
	s, complete := r.observe(ctx, now, configuration)
	if !complete {
		return nil
	}
	if !s.differs() {
		r.losses = 0
		return nil
	}
	if !r.fence(ctx, s) {
		return nil
	}
	s.token = r.token
	s.loadsHeldBack = r.storeBusy(ctx)
	return s.plan()
}

// fence makes sure that this daemon holds the group's fence. While the platform
// gives no answer the last token is good: engines refuse it once they have seen
// a later one.
func (r *reconciler) fence(ctx context.Context, s *situation) bool {
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if r.token != 0 && s.superseded() {
		r.lose()
		return false
	}
	if r.token != 0 {
		// An engine that has not seen the token may have lost a later one with its
		// memory: then only the platform knows.
		if !s.unfenced() || checkFence(requestContext, r.fleet.options.Platform, r.group, r.token) != fenceLost {
			return true
		}
		r.lose()
		return false
	}
	token, err := takeFence(requestContext, r.fleet.options.Platform, r.group, r.fleet.options.Self.ID)
	if failure.IsType(err, "version_conflict") {
		r.lose()
		return false
	}
	if err != nil {
		if !r.unfenced {
			eventNoFence.Log("group", fenceKey(r.group), "cause", err)
		}
		r.unfenced = true
		return false
	}
	r.take(token)
	return true
}

// unfenced reports whether a reachable engine has not seen the token.
func (s *situation) unfenced() bool {
	for _, m := range s.members {
		if m.reachable && m.status.Fence < s.token {
			return true
		}
	}
	return false
}

// take begins to act under a token. No engine is drained under it yet.
func (r *reconciler) take(token uint64) {
	r.token, r.sequence, r.unfenced = token, 0, false
	r.draining = map[structs.EngineID]time.Time{}
	eventFenceTaken.Log("group", fenceKey(r.group), "token", token)
	r.publish()
}

// lose leaves the group to the one that has a higher token.
func (r *reconciler) lose() {
	eventFenceLost.Log("group", fenceKey(r.group), "token", r.token)
	r.token = 0
	r.draining = map[structs.EngineID]time.Time{}
	r.backoffUntil = r.fleet.now().Add(jittered(fenceBackoff << min(r.losses, maxFenceDoublings)))
	r.losses++
}
