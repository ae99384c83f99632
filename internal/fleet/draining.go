package fleet

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// drainingPrefix begins the keys of facts that list the engines which a
	// group's reconciler drains.
	drainingPrefix = "fleet/draining/"
	// drainingLasts is how long such a fact counts, so that the draining ends
	// also where the reconciler died and none came after it; drainingRepeat is
	// how often it is repeated. Each repeat goes to all daemons.
	drainingLasts  = 2 * time.Minute
	drainingRepeat = 40 * time.Second
	// sequenceBits of a fact's version number the facts of one token.
	sequenceBits = 20
)

// drainingFacts are the engines under draining, by key. It is immutable.
type drainingFacts struct {
	byKey map[string]drainingFact
}

type drainingFact struct {
	version uint64
	until   time.Time
	engines map[structs.EngineID]bool
}

// drained reports whether any fact still in force lists the engine.
func (d *drainingFacts) drained(id structs.EngineID, now time.Time) bool {
	for _, fact := range d.byKey {
		if fact.engines[id] && now.Before(fact.until) {
			return true
		}
	}
	return false
}

// drainingKey returns the key of a group's fact.
func drainingKey(g group) string {
	return drainingPrefix + strings.TrimPrefix(fenceKey(g), "fence/")
}

// setDraining puts a fact of a higher version in place of the one held.
func (f *Fleet) setDraining(key string, version uint64, engines []structs.EngineID) {
	fact := drainingFact{version: version, until: f.now().Add(drainingLasts), engines: map[structs.EngineID]bool{}}
	for _, id := range engines {
		fact.engines[id] = true
	}
	for {
		held := f.drained.Load()
		if version <= held.byKey[key].version {
			return
		}
		next := &drainingFacts{byKey: map[string]drainingFact{}}
		for other, kept := range held.byKey {
			next.byKey[other] = kept
		}
		next.byKey[key] = fact
		if f.drained.CompareAndSwap(held, next) {
			return
		}
	}
}

// publishDraining tells all daemons which engines of a group are drained.
func (f *Fleet) publishDraining(g group, version uint64, engines []structs.EngineID) {
	f.setDraining(drainingKey(g), version, engines)
	if f.options.Publish == nil {
		return
	}
	// A list of names always has a JSON form.
	value, _ := json.Marshal(leavingValue{Engines: sortedIDs(engines)})
	f.options.Publish(drainingKey(g), version, value)
}
