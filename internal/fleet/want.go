package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// wantLasts is how long engines are followed beyond the subset after they
	// were last asked for.
	wantLasts = 10 * time.Minute
	// wantEngines is how many engines of a zone are looked at together, and
	// wantPatience how long they have to show the model before the next ones are.
	wantEngines  = 8
	wantPatience = 3 * time.Second
	// maxWants bounds the pairs of zone and model.
	maxWants = 8
)

var eventWantsFull = event.Define(1306, event.Warning, "no more engines can be followed beyond the subset",
	"Programs that this daemon leads may be refused for want of an engine that it knows. Spread the models more evenly over the engines.")

// wants are the zones in which this daemon looks for a model that no engine it
// follows there holds.
type wants struct {
	mutex  sync.Mutex
	byPair map[wantedPair]*want
}

type wantedPair struct {
	zone  structs.ZoneName
	model structs.ModelName
}

// want looks at wantEngines engines of a zone at a time.
type want struct {
	until time.Time
	// round counts the changes of engines; since is when the last one was.
	round int
	since time.Time
}

// Want follows engines beyond the subset, in each of the zones, until one shows
// the model. It is for a program that may not run, or not rest, where the
// engines of the subset stand. They appear in the view with their reports.
func (f *Fleet) Want(zones []structs.ZoneName, model structs.ModelName) {
	now := f.now()
	f.wants.mutex.Lock()
	defer f.wants.mutex.Unlock()
	for _, zone := range zones {
		pair := wantedPair{zone, model}
		if known, ok := f.wants.byPair[pair]; ok {
			known.until = now.Add(wantLasts)
			continue
		}
		if len(f.wants.byPair) >= maxWants {
			eventWantsFull.Log("zone", zone, "model", model)
			return
		}
		f.wants.byPair[pair] = &want{until: now.Add(wantLasts), since: now}
	}
}

// wanted returns the engines to follow beyond the subset. Where those of a zone
// have not shown the model in time, it goes on to the next ones.
func (f *Fleet) wanted(endpoints []Endpoint) []Endpoint {
	now := f.now()
	f.wants.mutex.Lock()
	defer f.wants.mutex.Unlock()
	var found []Endpoint
	for pair, w := range f.wants.byPair {
		if now.After(w.until) {
			delete(f.wants.byPair, pair)
			continue
		}
		if now.Sub(w.since) >= wantPatience && !f.shows(pair) {
			w.round++
			w.since = now
		}
		found = append(found, f.window(pair.zone, w.round, endpoints)...)
	}
	return sortedByID(found)
}

// shows reports whether a followed engine of the zone holds the model.
func (f *Fleet) shows(pair wantedPair) bool {
	return slices.ContainsFunc(f.View().Engines, func(e EngineView) bool {
		return e.Zone == pair.zone && !e.Leaving && slices.ContainsFunc(e.Loaded, func(l structs.LoadedModel) bool {
			return l.Model == pair.model
		})
	})
}

// window returns the zone's engines of a round, in this daemon's rendezvous
// order, so that daemons do not all look at the same ones.
func (f *Fleet) window(zone structs.ZoneName, round int, endpoints []Endpoint) []Endpoint {
	var engines []scored
	self := hashText(string(f.options.Self.ID))
	for _, e := range endpoints {
		if e.Zone == zone {
			engines = append(engines, scored{endpoint: e, score: mix(hashText(string(e.ID)), self)})
		}
	}
	sortByScore(engines)
	var window []Endpoint
	for i := range min(wantEngines, len(engines)) {
		window = append(window, engines[(round*wantEngines+i)%len(engines)].endpoint)
	}
	return window
}
