package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

var (
	eventSubset = event.Define(1301, event.Info, "the engines that this daemon follows have changed", "")
	eventMarked = event.Define(1302, event.Info, "an engine counts as leaving", "")
)

// Fleet follows a subset of the engines. Its methods are safe for concurrent
// use; those on the request path take no lock.
type Fleet struct {
	options Options
	now     func() time.Time

	followed atomic.Pointer[followedEngines]
	leaving  atomic.Pointer[leavingFacts]
	drained  atomic.Pointer[drainingFacts]

	wants wants

	// runs counts the followers' goroutines.
	runs sync.WaitGroup
}

// followedEngines is replaced as a whole when the subset changes.
type followedEngines struct {
	// list is ordered by ids.
	list []*follower
	byID map[structs.EngineID]*follower
	// configuration, its endpoints and nodes are what the subset was made from;
	// extra are engines wanted beyond it.
	configuration *structs.Configuration
	endpoints     []Endpoint
	nodes         uint64
	subset        []Endpoint
	extra         []Endpoint
	// draining are the zones that the declarations drain.
	draining map[structs.ZoneName]bool
}

// New returns a fleet that follows no engine until Run.
func New(options Options) *Fleet {
	f := &Fleet{options: options.withDefaults(), now: time.Now}
	f.wants.byPair = map[wantedPair]*want{}
	f.followed.Store(&followedEngines{byID: map[structs.EngineID]*follower{}})
	f.leaving.Store(&leavingFacts{})
	f.drained.Store(&drainingFacts{})
	return f
}

// View returns the engines as they are known now. An engine appears with its
// first report.
func (f *Fleet) View() *View {
	now := f.now()
	followed := f.followed.Load()
	leaving := f.leaving.Load()
	drained := f.drained.Load()
	view := &View{Engines: make([]EngineView, 0, len(followed.list))}
	for _, engine := range followed.list {
		report := engine.report.Load()
		if report == nil {
			continue
		}
		entry := EngineView{EngineStatus: *report}
		entry.Leaving = report.Leaving ||
			engine.lost(report, now) ||
			engine.markedUntil.Load() > now.UnixNano() ||
			leaving.engines[report.ID] ||
			drained.drained(report.ID, now) ||
			followed.draining[report.Zone]
		entry.OwnRunning, entry.OwnQueuedTokens = engine.sent.since(report.ReportedAt.Add(-f.options.ReportLag))
		view.Engines = append(view.Engines, entry)
	}
	return view
}

// Dispatched counts a stream of so many prompt tokens towards an engine until
// the returned function is called.
func (f *Fleet) Dispatched(id structs.EngineID, tokens int64) (ended func()) {
	engine, known := f.followed.Load().byID[id]
	if !known {
		return func() {}
	}
	return engine.sent.add(f.now(), tokens)
}

// MarkLeaving leaves an engine out of new work at once, after a failure that a
// report may not show yet. A report from more than markSettle later that does
// not confirm it takes the mark back; without one it lasts for markDuration.
func (f *Fleet) MarkLeaving(id structs.EngineID) {
	if engine, known := f.followed.Load().byID[id]; known {
		engine.markedUntil.Store(f.now().Add(markDuration).UnixNano())
		eventMarked.Log("engine", id)
	}
}

// Run follows the engines until the context ends, and then waits for all that
// it started. It runs the parts that the options turn on.
func (f *Fleet) Run(ctx context.Context) {
	defer f.runs.Wait()
	f.start(ctx, f.options.Platform != nil, f.readMachines)
	f.start(ctx, f.options.Orphans != nil, f.sweep)
	f.start(ctx, f.options.CacheEvent != nil, f.readCacheEvents)
	f.start(ctx, f.options.Platform != nil, f.reconcile)
	for {
		f.refresh(ctx)
		if !pause.For(ctx, tickInterval) {
			return
		}
	}
}

func (f *Fleet) start(ctx context.Context, wanted bool, part func(context.Context)) {
	if wanted {
		f.runs.Go(func() { part(ctx) })
	}
}

// refresh follows another subset when the configuration or the daemons changed,
// and other engines beyond it when those wanted changed.
func (f *Fleet) refresh(ctx context.Context) {
	configuration := f.options.Configuration()
	if configuration == nil {
		return
	}
	daemons := f.options.Nodes()
	former := f.followed.Load()
	next := &followedEngines{
		byID:          map[structs.EngineID]*follower{},
		configuration: configuration,
		nodes:         fingerprint(daemons),
		subset:        former.subset,
		draining:      former.draining,
	}
	if former.configuration != configuration {
		next.endpoints = Endpoints(&configuration.Declarations)
		next.draining = drainingZones(configuration)
	} else {
		next.endpoints = former.endpoints
	}
	changed := former.configuration != configuration || former.nodes != next.nodes
	if changed {
		next.subset = Subset(f.options.Self, daemons, next.endpoints, f.options.SubsetSize)
	}
	next.extra = f.wanted(next.endpoints)
	if !changed && slices.Equal(next.extra, former.extra) {
		return
	}
	for _, endpoint := range sortedByID(append(slices.Clone(next.subset), next.extra...)) {
		next.follow(ctx, f, former, endpoint)
	}
	f.followed.Store(next)
	f.unfollow(former, next)
}

// follow adds an engine, with its follower where it has one. One that is there
// already is left as it is.
func (n *followedEngines) follow(ctx context.Context, f *Fleet, former *followedEngines, endpoint Endpoint) {
	if n.byID[endpoint.ID] != nil {
		return
	}
	kept, known := former.byID[endpoint.ID]
	if !known || kept.endpoint != endpoint {
		engineContext, cancel := context.WithCancel(ctx)
		kept = &follower{endpoint: endpoint, interval: f.options.ReportInterval, cancel: cancel}
		f.runs.Go(func() { kept.run(engineContext, f.options.Engines) })
	}
	n.list = append(n.list, kept)
	n.byID[endpoint.ID] = kept
}

// unfollow stops the followers that are no more in use.
func (f *Fleet) unfollow(former, next *followedEngines) {
	changed := len(former.list) != len(next.list)
	for id, engine := range former.byID {
		if next.byID[id] != engine {
			engine.cancel()
			changed = true
		}
	}
	if changed {
		eventSubset.Log("engines", len(next.list))
	}
}

func drainingZones(configuration *structs.Configuration) map[structs.ZoneName]bool {
	draining := map[structs.ZoneName]bool{}
	for _, zone := range configuration.Declarations.Zones {
		if zone.Draining {
			draining[zone.Name] = true
		}
	}
	return draining
}

// fingerprint changes when the daemons or whether they serve change.
func fingerprint(daemons []structs.Node) uint64 {
	var sum uint64
	for _, daemon := range daemons {
		if serves(daemon) {
			// A sum does not depend on the order.
			sum += hashText(string(daemon.ID) + "\x00" + string(daemon.Zone))
		}
	}
	return sum
}

// rank returns the place of self, from 0, among the daemons that serve and
// match, in the rendezvous order of a key; -1 when self does not match.
func rank(key string, self structs.Node, daemons []structs.Node, match func(structs.Node) bool) int {
	if !match(self) {
		return -1
	}
	keyHash := hashText(key)
	own := mix(keyHash, hashText(string(self.ID)))
	place := 0
	for _, daemon := range daemons {
		if daemon.ID != self.ID && serves(daemon) && match(daemon) && mix(keyHash, hashText(string(daemon.ID))) > own {
			place++
		}
	}
	return place
}

func sortedIDs(ids []structs.EngineID) []structs.EngineID {
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, func(a, b structs.EngineID) int { return strings.Compare(string(a), string(b)) })
	return sorted
}
