package fleet

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	modelA = structs.ModelName("swap-agent")
	modelB = structs.ModelName("nomination")
	// factDelay is how late daemons learn of a draining; less than the settle time.
	factDelay = 2 * time.Second
)

// world is a group of model engines, the declarations, and what the daemons
// that send work know of drainings.
type world struct {
	now       time.Time
	engines   []*orderedEngine
	models    []structs.Model
	platform  *fakePlatform
	scheduler *Fleet
	facts     []sentFact
	// owners has the reconciler that each accepted token came from.
	owners     map[uint64]string
	violations []string
	// cut has the engines that a reconciler does not reach.
	cut map[cutLink]bool

	reconcilers []*pausedReconciler
}

type cutLink struct{ reconciler, address string }

type sentFact struct {
	at      time.Time
	key     string
	version uint64
	value   []byte
}

// orderedEngine is an engine that takes fenced orders.
type orderedEngine struct {
	status  structs.EngineStatus
	streams int
}

// pausedReconciler is one that may be paused between planning and acting. While
// it has actions pending it does nothing else.
type pausedReconciler struct {
	*reconciler
	pending []action
}

// reconcilerEngines is the engines as one reconciler reaches them.
type reconcilerEngines struct {
	// Engines is nil: a reconciler needs no more than is defined here.
	Engines
	*world
	name string
}

func (w *world) find(address string) *orderedEngine {
	for _, e := range w.engines {
		if e.status.Address == address {
			return e
		}
	}
	return nil
}

func (e reconcilerEngines) Status(_ context.Context, address string) (structs.EngineStatus, error) {
	if e.cut[cutLink{e.name, address}] {
		return structs.EngineStatus{}, &failure.EngineUnavailable{}
	}
	return e.world.find(address).report(e.now), nil
}

func (e *orderedEngine) report(now time.Time) structs.EngineStatus {
	status := e.status
	status.Running = e.streams
	status.ReportedAt = now
	return status
}

// Order takes an order as the engine's API says.
func (e reconcilerEngines) Order(_ context.Context, address string, order engine.Order) error {
	if e.cut[cutLink{e.name, address}] {
		return &failure.EngineUnavailable{}
	}
	target := e.world.find(address)
	if order.Incarnation != target.status.Incarnation {
		return &failure.EngineGone{}
	}
	if order.Fence < target.status.Fence {
		return &failure.FenceRejected{Token: order.Fence, Seen: target.status.Fence}
	}
	if owner, known := e.owners[order.Fence]; known && owner != e.name {
		e.violations = append(e.violations, "two reconcilers share a token")
	}
	e.owners[order.Fence] = e.name
	target.status.Fence = order.Fence
	ends := order.Kind == engine.OrderUnload || order.Kind == engine.OrderRole && order.Role != target.status.Role
	if ends && target.streams > 0 {
		if order.IfIdle {
			return &failure.EngineUnavailable{}
		}
		e.violations = append(e.violations, "an order ended streams")
	}
	target.apply(order)
	return nil
}

func (e *orderedEngine) apply(order engine.Order) {
	entry := structs.LoadedModel{Model: order.Model, Version: order.Version}
	other := func(held structs.LoadedModel) bool {
		return held.Model == entry.Model && held.Version == entry.Version
	}
	switch order.Kind {
	case engine.OrderRole:
		e.status.Role = order.Role
	case engine.OrderUnload:
		e.status.Loaded = slices.DeleteFunc(slices.Clone(e.status.Loaded), other)
		e.status.Loading = slices.DeleteFunc(slices.Clone(e.status.Loading), other)
	case engine.OrderLoad:
		if !slices.ContainsFunc(append(slices.Clone(e.status.Loaded), e.status.Loading...), other) {
			e.status.Loading = append(slices.Clone(e.status.Loading), entry)
		}
	}
}

func newWorld(replicasA, replicasB, spare int) *world {
	w := &world{
		now:      time.Unix(1_000_000, 0),
		platform: &fakePlatform{},
		owners:   map[uint64]string{},
		cut:      map[cutLink]bool{},
	}
	w.scheduler = New(Options{})
	w.scheduler.now = func() time.Time { return w.now }
	for i := range replicasA + replicasB + spare {
		made := &orderedEngine{status: structs.EngineStatus{
			ID: endpoint(i).ID, Address: endpoint(i).Address, Zone: testSelf.Zone, Incarnation: 1, Role: structs.RoleMixed,
		}}
		switch {
		case i < replicasA:
			made.status.Loaded = []structs.LoadedModel{{Model: modelA, Version: "1"}}
		case i < replicasA+replicasB:
			made.status.Loaded = []structs.LoadedModel{{Model: modelB, Version: "1"}}
		}
		w.engines = append(w.engines, made)
	}
	declare := func(name structs.ModelName, replicas int) structs.Model {
		return structs.Model{Name: name, Version: "1", ReplicasPerZone: map[structs.ZoneName]int{testSelf.Zone: replicas}}
	}
	w.models = []structs.Model{declare(modelA, replicasA), declare(modelB, replicasB)}
	w.reconcilers = []*pausedReconciler{w.reconciler("one"), w.reconciler("two")}
	return w
}

// restart forgets the engine's memory, the fence with it. It takes up the models
// that it had: a replica that a fault takes away is not a roll-out's doing, and
// the test is about what roll-outs take away.
func (e *orderedEngine) restart() {
	e.status.Incarnation++
	e.status.Fence = 0
	e.status.Role = structs.RoleMixed
	e.status.Loading = nil
	e.streams = 0
}

func (w *world) reconciler(name string) *pausedReconciler {
	f := New(Options{
		Self:     structs.Node{ID: structs.NodeID(name), Zone: testSelf.Zone},
		Engines:  reconcilerEngines{nil, w, name},
		Platform: w.platform,
		Publish: func(key string, version uint64, value []byte) {
			w.facts = append(w.facts, sentFact{w.now, key, version, value})
		},
	})
	f.now = func() time.Time { return w.now }
	r := f.newReconciler(group{testSelf.Zone, 0, 1})
	for _, e := range w.engines {
		one := Endpoint{EngineEndpoint: structs.EngineEndpoint{ID: e.status.ID, Address: e.status.Address}, Zone: testSelf.Zone}
		r.followers = append(r.followers, &follower{endpoint: one, interval: watchInterval})
	}
	return &pausedReconciler{reconciler: r}
}

func (w *world) configuration() *structs.Configuration {
	zone := structs.Zone{Name: testSelf.Zone}
	for _, e := range w.engines {
		zone.Engines = append(zone.Engines, structs.EngineEndpoint{ID: e.status.ID, Address: e.status.Address})
	}
	return &structs.Configuration{Declarations: structs.Declarations{Zones: []structs.Zone{zone}, Models: w.models}}
}

// observe gives a reconciler the reports, of this moment, of the engines that it
// reaches.
func (w *world) observe(r *pausedReconciler) {
	for i, e := range w.engines {
		if !w.cut[cutLink{string(r.fleet.options.Self.ID), e.status.Address}] {
			r.followers[i].accept(e.report(w.now))
		}
	}
}

func (w *world) advance(span time.Duration) {
	w.now = w.now.Add(span)
	var late []sentFact
	for _, fact := range w.facts {
		if w.now.Sub(fact.at) < factDelay {
			late = append(late, fact)
			continue
		}
		w.scheduler.Observe(fact.key, fact.version, fact.value)
	}
	w.facts = late
}

// takesWork reports whether daemons send streams of a model to an engine.
func (w *world) takesWork(e *orderedEngine, model structs.ModelName) bool {
	holds := slices.ContainsFunc(e.status.Loaded, func(held structs.LoadedModel) bool { return held.Model == model })
	return holds && !w.scheduler.drained.Load().drained(e.status.ID, w.now)
}

func (w *world) serving(model structs.ModelName) int {
	count := 0
	for _, e := range w.engines {
		if w.takesWork(e, model) {
			count++
		}
	}
	return count
}

// settled reports whether every declared replica is there, and nothing else.
func (w *world) settled() bool {
	for _, model := range w.models {
		count := 0
		for _, e := range w.engines {
			if slices.ContainsFunc(e.status.Loaded, func(held structs.LoadedModel) bool {
				return held.Model == model.Name && held.Version == model.Version
			}) && e.status.Role == (wantedModel{Model: model}).role() && len(e.status.Loaded) == 1 {
				count++
			}
		}
		if count != model.ReplicasPerZone[testSelf.Zone] {
			return false
		}
	}
	return true
}

func TestRacingReconcilersKeepReplicasServingAndSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicasA := rapid.IntRange(1, 4).Draw(t, "replicas A")
		replicasB := rapid.IntRange(0, 2).Draw(t, "replicas B")
		w := newWorld(replicasA, replicasB, rapid.IntRange(0, 2).Draw(t, "spare"))
		pick := func(t *rapid.T) *pausedReconciler { return rapid.SampledFrom(w.reconcilers).Draw(t, "reconciler") }
		pickEngine := func(t *rapid.T) *orderedEngine { return rapid.SampledFrom(w.engines).Draw(t, "engine") }
		plan := func(t *rapid.T) {
			r := pick(t)
			if r.pending != nil {
				return
			}
			if rapid.Bool().Draw(t, "fresh") {
				w.observe(r)
			}
			r.pending = r.prepare(context.Background(), w.configuration())
		}
		act := func(t *rapid.T) {
			r := pick(t)
			r.execute(context.Background(), r.pending)
			r.pending = nil
		}
		both := func(t *rapid.T) {
			r := pick(t)
			if r.pending != nil {
				return
			}
			w.observe(r)
			r.step(context.Background(), w.configuration())
		}
		t.Repeat(map[string]func(*rapid.T){
			"plan":  plan,
			"plan2": plan,
			"act":   act,
			"act2":  act,
			"step":  both,
			"step2": both,
			"time":  func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms")) * time.Millisecond) },
			"pause": func(*rapid.T) { w.advance(drainingLasts + time.Second) },
			"loaded": func(t *rapid.T) {
				e := pickEngine(t)
				e.status.Loaded = append(slices.Clone(e.status.Loaded), e.status.Loading...)
				e.status.Loading = nil
			},
			"stream": func(t *rapid.T) {
				if e := pickEngine(t); w.takesWork(e, modelA) || w.takesWork(e, modelB) {
					e.streams++
				}
			},
			"streams end": func(t *rapid.T) { pickEngine(t).streams = 0 },
			"cut": func(t *rapid.T) {
				link := cutLink{string(pick(t).fleet.options.Self.ID), pickEngine(t).status.Address}
				w.cut[link] = !w.cut[link]
			},
			"restart":  func(t *rapid.T) { pickEngine(t).restart() },
			"platform": func(t *rapid.T) { w.platform.down = rapid.Bool().Draw(t, "down") },
			"version": func(t *rapid.T) {
				w.models = slices.Clone(w.models)
				w.models[rapid.IntRange(0, 1).Draw(t, "model")].Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
			},
			"role": func(t *rapid.T) {
				w.models = slices.Clone(w.models)
				w.models[0].Role = rapid.SampledFrom([]structs.EngineRole{structs.RoleMixed, structs.RoleDecode}).Draw(t, "role")
			},
			"": func(t *rapid.T) {
				require.Empty(t, w.violations)
				for _, model := range w.models {
					require.GreaterOrEqual(t, w.serving(model.Name), model.ReplicasPerZone[testSelf.Zone]-1, "serving %s", model.Name)
				}
			},
		})
		w.settle(t)
	})
}

// settle lets both reconcilers run without faults until all is as declared.
func (w *world) settle(t *rapid.T) {
	w.platform.down = false
	clear(w.cut)
	const rounds = 600
	for range rounds {
		for _, e := range w.engines {
			e.streams = 0
			e.status.Loaded = append(slices.Clone(e.status.Loaded), e.status.Loading...)
			e.status.Loading = nil
		}
		for _, r := range w.reconcilers {
			w.observe(r)
			r.step(context.Background(), w.configuration())
		}
		w.advance(time.Second)
		if w.settled() {
			return
		}
	}
	t.Fatalf("not as declared after %d rounds", rounds)
}

// TestReportOlderThanOrderIsNotPlannedFrom has an engine emptied whose last
// report still shows the model, and another engine that needs draining.
func TestReportOlderThanOrderIsNotPlannedFrom(t *testing.T) {
	w := newWorld(2, 0, 0)
	spare := structs.LoadedModel{Model: "undeclared", Version: "1"}
	w.engines[1].status.Loaded = append(w.engines[1].status.Loaded, spare)
	r := w.reconcilers[0]
	declare := func(version string) {
		w.models = slices.Clone(w.models)
		w.models[0].Version = version
	}
	declare("2")
	for len(w.engines[0].status.Loaded) > 0 {
		w.observe(r)
		r.step(t.Context(), w.configuration())
		w.advance(time.Second)
	}
	declare("1")
	for range 5 {
		for _, next := range r.prepare(t.Context(), w.configuration()) {
			require.NotEqual(t, actionDrain, next.kind, "%s", next.engine)
			r.execute(t.Context(), []action{next})
		}
	}
}
