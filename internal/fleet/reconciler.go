package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/failure"
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
	for pause(ctx, jittered(f.options.ReconcileInterval)) {
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

// elect starts reconcilers of the groups that this daemon is the first for in
// rendezvous order among its zone's daemons, and returns these groups. Two that
// both believe to be first do no harm: the fence lets one of them act.
func (f *Fleet) elect(ctx context.Context, configuration *structs.Configuration, running map[group]*reconciler) map[group]bool {
	self, daemons := f.options.Self, f.options.Nodes()
	inZone := func(daemon structs.Node) bool { return daemon.Zone == self.Zone }
	mine := map[group]bool{}
	for _, zone := range configuration.Declarations.Zones {
		if zone.Name != self.Zone || zone.Draining {
			continue
		}
		for g, engines := range groupsOf(zone) {
			if rank(fenceKey(g), self, daemons, inZone) != 0 {
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

// observe returns the group's situation. It is complete once every engine has
// given a report later than the last order to it, or, where none is known of the
// engine, has had the time of a restart to give one.
func (r *reconciler) observe(ctx context.Context, now time.Time, configuration *structs.Configuration) (*situation, bool) {
	s := &situation{
		now:          now,
		token:        r.token,
		models:       r.wanted(configuration),
		drainTimeout: r.fleet.options.DrainTimeout,
	}
	complete := true
	patient := now.Sub(r.started) < replaceAfter
	leaving := r.fleet.leaving.Load()
	for _, one := range r.followers {
		m := r.member(ctx, one, now)
		m.status.Leaving = m.status.Leaving || leaving.engines[m.status.ID]
		complete = complete && r.current(one, patient)
		s.members = append(s.members, m)
	}
	sortMembers(s.members)
	return s, complete
}

// current reports whether what is known of an engine may be acted on. An engine
// that is lost counts as current: it is not counted on.
func (r *reconciler) current(one *follower, patient bool) bool {
	report := one.report.Load()
	if report == nil {
		return !patient
	}
	return report.ReportedAt.After(r.settledAt(one.endpoint.ID)) || one.lost(report, r.fleet.now())
}

// settledAt is when reports show the last order to an engine.
func (r *reconciler) settledAt(id structs.EngineID) time.Time {
	return r.orderedAt[id].Add(r.fleet.options.ReportLag)
}

// renew asks an engine for its status when its last report is older than the
// last order to it.
func (r *reconciler) renew(ctx context.Context, one *follower, now time.Time) {
	report := one.report.Load()
	settled := r.settledAt(one.endpoint.ID)
	if report == nil || report.ReportedAt.After(settled) || !now.After(settled) {
		return
	}
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, err := r.fleet.options.Engines.Status(requestContext, one.endpoint.Address)
	if err == nil {
		one.accept(status)
	}
}

// member describes one engine. One that is drained is asked for its load.
func (r *reconciler) member(ctx context.Context, one *follower, now time.Time) *member {
	r.renew(ctx, one, now)
	id := one.endpoint.ID
	m := &member{drainingSince: r.draining[id], heldBack: now.Before(r.heldBack[id])}
	report := one.report.Load()
	if report == nil {
		m.status = structs.EngineStatus{ID: id, Address: one.endpoint.Address}
		return m
	}
	m.status = *report
	m.reachable = one.failures.Load() == 0 && !one.lost(report, now)
	if !m.reachable && m.draining() && now.Sub(m.drainingSince) > r.fleet.options.DrainTimeout {
		// A lost engine does not hold the others' draining up for ever.
		delete(r.draining, id)
		m.drainingSince = time.Time{}
	}
	if m.reachable && m.draining() {
		m.quiet = r.quiet(ctx, one, m.drainingSince)
	}
	return m
}

// quiet reports whether an engine has no streams, by a report of a time when
// all daemons knew that it is drained.
func (r *reconciler) quiet(ctx context.Context, one *follower, since time.Time) bool {
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, err := r.fleet.options.Engines.Status(requestContext, one.endpoint.Address)
	if err != nil {
		return false
	}
	known := since.Add(r.fleet.options.SettleTime + r.fleet.options.ReportLag)
	return !status.ReportedAt.Before(known) && status.Running == 0 && status.Waiting == 0
}

// wanted returns the declared models with the group's part of their replicas.
func (r *reconciler) wanted(configuration *structs.Configuration) []wantedModel {
	sizes := make([]int, r.group.count)
	for _, zone := range configuration.Declarations.Zones {
		if zone.Name != r.group.zone {
			continue
		}
		for g, engines := range groupsOf(zone) {
			sizes[g.index] = len(engines)
		}
	}
	var models []wantedModel
	for _, model := range configuration.Declarations.Models {
		replicas := replicasOf(model.ReplicasPerZone[r.group.zone], sizes)
		models = append(models, wantedModel{Model: model, replicas: replicas[r.group.index]})
	}
	return models
}

func (r *reconciler) storeBusy(ctx context.Context) bool {
	if r.fleet.options.Weights == nil {
		return false
	}
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	load, err := r.fleet.options.Weights.Load(requestContext)
	// A store without an answer sends no weights either.
	return err != nil || float64(load.QueuedBytes) > storeBacklog.Seconds()*float64(load.BytesPerSecond)
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

func (r *reconciler) execute(ctx context.Context, actions []action) {
	for _, next := range actions {
		switch next.kind {
		case actionDrain:
			eventDrain.Log("engine", next.engine)
			r.draining[next.engine] = r.fleet.now()
			r.publish()
		case actionReturn:
			r.endDraining(next.engine)
		default:
			if !r.send(ctx, next) {
				return
			}
		}
	}
}

func (r *reconciler) endDraining(id structs.EngineID) {
	now := r.fleet.now()
	if now.Sub(r.draining[id]) > r.fleet.options.DrainTimeout {
		eventDrainedOut.Log("engine", id)
		r.heldBack[id] = now.Add(drainBackoff)
	}
	delete(r.draining, id)
	r.publish()
}

// send sends an order; it reports false when the fence is lost.
func (r *reconciler) send(ctx context.Context, next action) bool {
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	err := r.fleet.options.Engines.Order(requestContext, r.address(next.engine), next.order)
	r.orderedAt[next.engine] = r.fleet.now()
	switch {
	case failure.IsType(err, "fence_rejected"):
		r.lose()
		return false
	case failure.IsType(err, "order_unknown"):
		// The order may yet take effect. Under a later token it cannot once the
		// engine has seen that one.
		eventOrderFailed.Log("engine", next.engine, "order", next.order.Kind, "model", next.order.Model, "cause", err)
		r.token = 0
		return false
	case err != nil:
		if !r.failing[next.engine] {
			eventOrderFailed.Log("engine", next.engine, "order", next.order.Kind, "model", next.order.Model, "cause", err)
		}
		r.failing[next.engine] = true
	default:
		delete(r.failing, next.engine)
		r.logOrder(next)
	}
	return true
}

func (r *reconciler) logOrder(next action) {
	if next.kind == actionRaise {
		return
	}
	order := next.order
	eventOrder.Log("engine", next.engine, "order", order.Kind, "model", order.Model, "version", order.Version,
		"adapter", order.Adapter, "role", order.Role, "token", order.Fence)
}

func (r *reconciler) address(id structs.EngineID) string {
	for _, one := range r.followers {
		if one.endpoint.ID == id {
			return one.endpoint.Address
		}
	}
	return ""
}

// publish tells the daemons which engines are drained under the token.
func (r *reconciler) publish() {
	r.sequence++
	r.publishedAt = r.fleet.now()
	engines := make([]structs.EngineID, 0, len(r.draining))
	for id := range r.draining {
		engines = append(engines, id)
	}
	r.fleet.publishDraining(r.group, r.token<<sequenceBits|r.sequence, engines)
}

// repeatDraining keeps the daemons' knowledge of a draining from running out.
func (r *reconciler) repeatDraining() {
	if len(r.draining) > 0 && r.fleet.now().Sub(r.publishedAt) >= drainingRepeat {
		r.publish()
	}
}
