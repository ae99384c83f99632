package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// world holds everything of one simulated run.
type world struct {
	clock       clock
	parameters  Parameters
	deployment  workload.Deployment
	engines     []*engine
	engineIndex map[structs.EngineID]int
	daemons     []*daemon
	// environment draws what no policy influences: daemons, lost events.
	environment *rand.Rand
	prefixes    map[string]uint64
	segments    uint64
	// reportsLost stops load reports while a fault lasts.
	reportsLost bool
	moves       int
	movedTokens int64
}

// Streams of randomness of one seed, kept apart so that one policy's draws do
// not shift another's.
const (
	environmentStream = 1
	policyStream      = 100
)

func newWorld(config Config, deployment workload.Deployment) (*world, error) {
	w := &world{
		parameters: config.Parameters, deployment: deployment,
		engineIndex: map[structs.EngineID]int{}, prefixes: map[string]uint64{},
		environment: rand.New(rand.NewPCG(config.Seed, environmentStream)),
	}
	w.addEngines()
	if err := w.addDaemons(config); err != nil {
		return nil, err
	}
	w.report()
	return w, nil
}

func (w *world) addEngines() {
	for index, zone := range w.deployment.Engines {
		id := structs.EngineID(fmt.Sprintf("%s-engine-%02d", zone, index))
		added := newEngine(&w.clock, w.parameters, id, zone, w.deployment.Loaded)
		added.evicted = w.evicted
		w.engineIndex[id] = len(w.engines)
		w.engines = append(w.engines, added)
	}
}

func (w *world) addDaemons(config Config) error {
	for _, zone := range w.deployment.Zones {
		for range w.parameters.DaemonsPerZone {
			policy, err := schedule.New(config.Policy)
			if err != nil {
				return err
			}
			stream := uint64(policyStream + len(w.daemons))
			added := &daemon{
				world: w, zone: zone, policy: policy, pauses: schedule.NewPauseEstimator(), growth: schedule.NewGrowthEstimator(),
				random: rand.New(rand.NewPCG(config.Seed, stream)), views: make([]engineView, len(w.engines)),
			}
			for index, e := range w.engines {
				added.views[index].status = e.status()
				added.views[index].status.ReportedAt = w.wallTime()
			}
			w.daemons = append(w.daemons, added)
		}
	}
	return nil
}

// report sends every engine's load to every daemon, and does so again after the
// interval.
func (w *world) report() {
	for index, e := range w.engines {
		if e.down || w.reportsLost {
			continue
		}
		status := e.status()
		w.clock.after(w.parameters.ReportLag, func() {
			for _, d := range w.daemons {
				d.report(index, status)
			}
		})
	}
	w.clock.after(w.parameters.ReportInterval, w.report)
}

// evicted tells a program's daemon, late or never, that its prefix got shorter.
func (w *world) evicted(e *engine, owner *run, left int64) {
	if w.environment.Float64() < w.parameters.EventLoss {
		return
	}
	happened := w.clock.now
	w.clock.after(w.parameters.EventLag, func() {
		if owner.lastDispatch[e.id] < happened {
			owner.cached[e.id] = min(owner.cached[e.id], left)
		}
	})
}

// move copies a program's KV cache between engines and returns how long it
// takes. Exports of one engine follow each other.
func (w *world) move(r *run, from, to *engine) time.Duration {
	_, there := from.cache.match(r.history)
	_, here := to.cache.match(r.history)
	if from.down || there <= here {
		return 0
	}
	tokens := there - here
	begin := max(w.clock.now, from.exportFree)
	from.exportFree = begin + time.Duration(tokens)*w.parameters.MovePerToken
	took := from.exportFree - w.clock.now + w.delay(from.zone, to.zone)
	moved := wholeSegments(r.history, there)
	w.moves++
	w.movedTokens += tokens
	w.clock.after(took, func() {
		to.importPrefix(r, moved)
		from.cache.release(r)
	})
	return took
}

// wholeSegments returns the segments that lie within the first tokens.
func wholeSegments(history []segment, tokens int64) []segment {
	for index, piece := range history {
		if piece.tokens > tokens {
			return history[:index]
		}
		tokens -= piece.tokens
	}
	return history
}

// importPrefix puts a moved prefix into the cache where there is room for it.
func (e *engine) importPrefix(holder *run, moved []segment) {
	matched, length := e.cache.match(moved)
	var total int64
	for _, piece := range moved {
		total += piece.tokens
	}
	pin(matched, 1)
	if !e.down && e.cache.makeRoom(e.clock.now, total-length) {
		e.cache.insert(e.clock.now, holder, moved, 0)
	}
	pin(matched, -1)
}

func (w *world) engineByID(id structs.EngineID) *engine { return w.engines[w.engineIndex[id]] }

// localDelay is the one-way network delay inside a zone.
const localDelay = 200 * time.Microsecond

func (w *world) delay(from, to structs.ZoneName) time.Duration {
	if from == to {
		return localDelay
	}
	return w.deployment.ZoneDelay
}

// commitDelay is the time to put a record on a majority in other zones.
func (w *world) commitDelay() time.Duration { return 2 * w.deployment.ZoneDelay }

// requestDelay is from the client to the daemon, with the record of its call.
func (w *world) requestDelay() time.Duration { return w.deployment.ClientDelay + w.commitDelay() }

// epoch is the wall time at which every simulated run starts.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func (w *world) timeAt(at time.Duration) time.Time { return epoch.Add(at) }

func (w *world) wallTime() time.Time { return w.timeAt(w.clock.now) }

func (w *world) newSegmentID() uint64 {
	w.segments++
	return w.segments
}

// prefixID is the same for equal names. An adapter changes the KV cache of the
// same text.
func (w *world) prefixID(name, adapter string) uint64 {
	name += "\x00" + adapter
	id, found := w.prefixes[name]
	if !found {
		id = w.newSegmentID()
		w.prefixes[name] = id
	}
	return id
}
