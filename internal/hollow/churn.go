package hollow

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/membership"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// settle is the end of a run in which nothing new happens, so that what was
// begun can be seen through.
const settle = 15 * time.Second

// plan schedules everything that happens in the measured time.
func (r *run) plan() {
	span := r.options.Duration - settle
	r.repeat(r.options.ChangesPerDay, span, r.changeConfiguration)
	r.repeat(r.options.RestartsPerDay, span, r.restartOne)
	r.repeat(r.options.FailuresPerDay, span, r.killOne)
	switch r.options.Scenario {
	case ScenarioPartition:
		r.queue.after(span/4, func() { r.setCut(true) })
		r.queue.after(span/2, func() { r.setCut(false) })
	case ScenarioRestartStorm:
		r.queue.after(span/4, r.restartZone)
	}
}

// planKills schedules the deaths that detection is measured by.
func (r *run) planKills() {
	span := killGap * time.Duration(r.options.Kills)
	r.repeat(r.options.ChangesPerDay, span, r.changeConfiguration)
	for i := range r.options.Kills {
		phase := time.Duration(r.random.Int64N(int64(time.Second)))
		r.queue.after(killGap*time.Duration(i)+phase, r.killOne)
	}
}

// repeat runs something at random times with a rate a day.
func (r *run) repeat(perDay float64, span time.Duration, what func()) {
	if perDay <= 0 {
		return
	}
	mean := float64(day) / perDay
	for at := r.random.ExpFloat64() * mean; at < float64(span); at += r.random.ExpFloat64() * mean {
		r.queue.after(time.Duration(at), what)
	}
}

func (r *run) changeConfiguration() {
	r.latest = changed(r.latest, r.random)
	r.observed.changed(r, r.latest.Version)
	r.announceConfiguration()
}

// pick returns a running daemon that is no seed and has run for a while; nil
// if there is none.
func (r *run) pick() *daemon {
	const tries = 100
	for range tries {
		d := r.daemons[r.random.IntN(len(r.daemons))]
		if d.alive && d.index >= seedCount && r.queue.now-d.started > replaceAfter {
			return d
		}
	}
	return nil
}

func (r *run) restartOne() {
	if d := r.pick(); d != nil {
		r.restart(d)
	}
}

func (r *run) restart(d *daemon) {
	r.observed.stopped(r, d)
	d.stop()
	r.queue.after(restartGap, d.start)
}

func (r *run) killOne() {
	d := r.pick()
	if d == nil {
		return
	}
	d.alive = false
	r.observed.killed(r, d)
	r.queue.after(replaceAfter, d.start)
}

// scenarioZone is the zone that scenarios hit. It holds one seed at most.
func (r *run) scenarioZone() structs.ZoneName {
	zone, _ := place(r.options.Zones-1, r.options.Zones)
	return zone
}

func (r *run) setCut(cut bool) {
	r.network.cut[r.scenarioZone()] = cut
	r.observed.cut(r, cut)
}

func (r *run) restartZone() {
	for _, d := range r.daemons {
		if d.alive && d.node.Zone == r.scenarioZone() {
			r.restart(d)
		}
	}
}

// firstFacts are the facts of a cluster that runs for a while: all daemons, and
// the leaders of all shards.
func (r *run) firstFacts() []*gossipv1.Fact {
	var facts []*gossipv1.Fact
	for _, d := range r.daemons {
		facts = append(facts, membership.FirstFact(d.node))
	}
	for shard := range r.options.Programs / programsPerShard {
		leader := r.daemons[shard%len(r.daemons)]
		leader.led[shard] = true
		facts = append(facts, membership.ItemFact(leaderItem(shard, 1, leader)))
	}
	return facts
}

func leaderItem(shard int, term uint64, leader *daemon) membership.Item {
	// The form of a shard's entry: its replicas, the leader first.
	second, third := (leader.index+1)%len(leader.run.daemons), (leader.index+2)%len(leader.run.daemons)
	value := fmt.Appendf(nil, `{"n":["daemon-%04d","daemon-%04d","daemon-%04d"]}`, leader.index, second, third)
	return membership.Item{Key: fmt.Sprintf("leader/%06d", shard), Version: term, Value: value}
}

func copyFacts(facts []*gossipv1.Fact) []*gossipv1.Fact {
	copied := make([]*gossipv1.Fact, len(facts))
	for i, f := range facts {
		copied[i] = &gossipv1.Fact{Key: strings.Clone(f.Key), Major: f.Major, Minor: f.Minor, Value: bytes.Clone(f.Value)}
	}
	return copied
}

// lead makes a daemon the leader of a shard in the next term, as a won
// election would.
func (r *run) lead(d *daemon, shard int) {
	if !d.alive {
		return
	}
	for _, other := range r.daemons {
		delete(other.led, shard)
	}
	d.led[shard] = true
	item := leaderItem(shard, 0, d)
	held, _ := d.state.Item(item.Key)
	item.Version = held.Version + 1
	d.step(func(now time.Time) { d.state.Publish(now, item) })
}

// replaceLeader moves the shards of a removed daemon to the first daemon that
// learns of the removal, spread over time as campaigns are.
func (r *run) replaceLeader(d *daemon, removed structs.NodeID) {
	for _, former := range r.daemons {
		if former.node.ID != removed || former.alive {
			continue
		}
		for _, shard := range sortedShards(former.led) {
			delete(former.led, shard)
			r.queue.after(time.Duration(r.random.Int64N(int64(time.Second))), func() { r.lead(d, shard) })
		}
	}
}
