package fleet

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/event"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// LeavingKey is the key of the fact that lists the engines which the
	// platform's machine list has as leaving.
	LeavingKey = "fleet/leaving"
	// machineReaders is how many daemons of a region read the machine list.
	machineReaders = 2
	// returnDelay is how long an engine must be off the list of leaving ones
	// before a reader says so: another reader may only have read later.
	returnDelay = 5 * time.Second
)

var eventMachineList = event.Define(1303, event.Warning, "the platform gave no machine list",
	"Check the platform. Engines that leave are still noticed by their own reports.")

// leavingFacts are the engines that the machine list has as leaving.
type leavingFacts struct {
	version uint64
	engines map[structs.EngineID]bool
}

// leavingValue is the published form.
type leavingValue struct {
	Engines []structs.EngineID `json:"engines"`
}

// Observe takes a fact that another daemon published, of any key that begins
// with "fleet/". Facts of versions no higher than the one held are passed over.
func (f *Fleet) Observe(key string, version uint64, value []byte) {
	var read leavingValue
	if json.Unmarshal(value, &read) != nil {
		return
	}
	switch {
	case key == LeavingKey:
		f.setLeaving(version, read.Engines)
	case strings.HasPrefix(key, drainingPrefix):
		f.setDraining(key, version, read.Engines)
	}
}

// setLeaving puts a higher version in place of the one held.
func (f *Fleet) setLeaving(version uint64, engines []structs.EngineID) {
	next := &leavingFacts{version: version, engines: map[structs.EngineID]bool{}}
	for _, id := range engines {
		next.engines[id] = true
	}
	for {
		held := f.leaving.Load()
		if version <= held.version || f.leaving.CompareAndSwap(held, next) {
			return
		}
	}
}

// readMachines reads the list of leaving machines while this daemon is one of
// its region's readers, and publishes changes.
func (f *Fleet) readMachines(ctx context.Context) {
	missing := map[structs.EngineID]time.Time{}
	failing := false
	for pause.For(ctx, jittered(machineInterval)) {
		if !f.readsMachines() {
			continue
		}
		requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
		machines, err := f.options.Platform.LeavingMachines(requestContext)
		cancel()
		if err != nil {
			if !failing && ctx.Err() == nil {
				eventMachineList.Log("cause", err)
			}
			failing = true
			continue
		}
		failing = false
		listed := map[structs.EngineID]bool{}
		for _, machine := range machines {
			if machine.Engine != "" {
				listed[machine.Engine] = true
			}
		}
		f.publishLeaving(listed, missing)
	}
}

// readsMachines reports whether this daemon is one of its region's readers.
func (f *Fleet) readsMachines() bool {
	self := f.options.Self
	place := rank(LeavingKey, self, f.options.Nodes(), func(daemon structs.Node) bool { return daemon.Region == self.Region })
	return place >= 0 && place < machineReaders
}

// publishLeaving adds engines that are on the list at once, and takes those off
// it away when they have been missing for returnDelay.
func (f *Fleet) publishLeaving(listed map[structs.EngineID]bool, missing map[structs.EngineID]time.Time) {
	now := f.now()
	held := f.leaving.Load()
	changed := false
	var next []structs.EngineID
	for id := range held.engines {
		if listed[id] {
			delete(missing, id)
		} else if _, noted := missing[id]; !noted {
			missing[id] = now
		}
		if listed[id] || now.Sub(missing[id]) < returnDelay {
			next = append(next, id)
			continue
		}
		delete(missing, id)
		changed = true
	}
	for id := range listed {
		if !held.engines[id] {
			next = append(next, id)
			changed = true
		}
	}
	if !changed {
		return
	}
	version := max(uint64(now.UnixMilli()), held.version+1)
	next = sortedIDs(next)
	f.setLeaving(version, next)
	if f.options.Publish == nil {
		return
	}
	// A list of names always has a JSON form.
	value, _ := json.Marshal(leavingValue{Engines: next})
	f.options.Publish(LeavingKey, version, value)
}

func hashText(text string) uint64 { return xxhash.Sum64String(text) }
