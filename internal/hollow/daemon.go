package hollow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/cluster"
	"github.com/barleyshelf/barleyshelf/internal/config"
	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/membership"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// daemon is one hollow daemon: the real control state, without a process.
type daemon struct {
	run   *run
	index int
	node  structs.Node
	// alive daemons take part; life rises with each start.
	alive    bool
	started  time.Duration
	state    *membership.State
	store    *config.Store
	document *config.Document
	view     *cluster.View
	wake     time.Duration
	meter    meter
	// measured is the meter at the end of the measured time.
	measured meter
	// inForce is the version last seen in force, of this life.
	inForce uint64
	led     map[int]bool
}

func newDaemon(r *run, index int) *daemon {
	zone, region := place(index, r.options.Zones)
	return &daemon{
		run:   r,
		index: index,
		led:   map[int]bool{},
		node: structs.Node{
			ID:            structs.NodeID(fmt.Sprintf("daemon-%04d", index)),
			Zone:          zone,
			Region:        region,
			PeerAddress:   address(index),
			CallerAddress: address(index + 1<<18),
		},
	}
}

// start begins a new life with no memory of the earlier one.
func (d *daemon) start() {
	d.begin()
	d.step(func(now time.Time) { d.state.Tick(now) })
}

// sampled reports whether the daemon's heap is measured: it shares nothing.
func (d *daemon) sampled() bool {
	step := max(len(d.run.daemons)/heapSamples, 1)
	return d.index%step == step/2
}

// begin makes the state of a new life.
func (d *daemon) begin() {
	d.node.Incarnation++
	d.node.State = structs.NodeAlive
	d.alive = true
	d.started = d.run.queue.now
	d.inForce = 0
	store, err := config.NewStore("")
	if err != nil {
		d.run.fail(err)
		return
	}
	if !d.sampled() {
		store.Share(d.run.share)
	}
	d.store, d.document = store, store.Document()
	d.state = membership.New(membership.Options{
		Self:         d.node,
		Seeds:        d.run.seeds(),
		Document:     d.document,
		Random:       rand.New(rand.NewPCG(d.run.options.Seed, uint64(d.index)<<20|uint64(d.node.Incarnation))),
		NewEstimator: d.run.options.Estimator,
		Timing:       d.run.options.Timing,
	})
	d.wake = -1
	d.view = cluster.NewView(d.state.Nodes())
}

// preload gives the daemon what a seed and the platform would tell it, without
// simulating that all daemons join at once.
func (d *daemon) preload(facts []*gossipv1.Fact) {
	d.begin()
	latest := d.run.latest
	if d.sampled() {
		latest = copyConfiguration(latest)
	}
	d.store.Offer(latest)
	now := d.run.now()
	d.state.Tick(now)
	d.state.Receive(now, &gossipv1.Message{
		From:        "preload",
		Incarnation: 1,
		Facts:       facts,
		Sync:        &gossipv1.Sync{Total: uint32(len(facts) - 1)},
	})
	_, events := d.state.Drain()
	d.view = d.view.After(events)
}

// step runs one decision, measures it and sends what it gave.
func (d *daemon) step(decide func(now time.Time)) {
	begin := threadTime()
	decide(d.run.now())
	outgoing, events := d.state.Drain()
	d.view = d.view.After(events)
	encoded := make([][]byte, len(outgoing))
	for i, message := range outgoing {
		// Marshal fails only on text that is not UTF-8; there is none here.
		encoded[i], _ = proto.Marshal(message.Message)
	}
	d.meter.busy += threadTime() - begin
	for i, message := range outgoing {
		kind := kindOf(message.Message)
		d.meter.sent[kind].add(len(encoded[i]))
		d.run.transmit(d, message.To.PeerAddress, kind, encoded[i])
	}
	for _, event := range events {
		d.run.observe(d, event)
	}
	d.schedule()
}

// receive decodes and handles a message.
func (d *daemon) receive(kind Kind, encoded []byte) {
	if !d.alive {
		return
	}
	d.meter.received[kind].add(len(encoded))
	d.step(func(now time.Time) {
		var m gossipv1.Message
		if err := proto.Unmarshal(encoded, &m); err != nil {
			d.run.fail(err)
			return
		}
		d.state.Receive(now, &m)
	})
}

// schedule keeps one timer at the state's next wake.
func (d *daemon) schedule() {
	at := d.state.NextWake().Sub(epoch)
	if d.wake >= 0 && d.wake <= at {
		return
	}
	d.wake = at
	life := d.node.Incarnation
	d.run.queue.after(at-d.run.queue.now, func() { d.timer(life, at) })
}

func (d *daemon) timer(life structs.Incarnation, at time.Duration) {
	if !d.alive || d.node.Incarnation != life || d.wake != at {
		return
	}
	d.wake = -1
	if due := d.state.NextWake().Sub(epoch); due > d.run.queue.now {
		d.schedule()
		return
	}
	d.step(func(now time.Time) { d.state.Tick(now) })
}

// rejoin follows a removal by the others.
func (d *daemon) rejoin() {
	d.node.Incarnation++
	life := d.node.Incarnation
	d.wake = -1
	d.step(func(now time.Time) { d.state.Rejoin(now, life) })
}

// stop leaves as a planned stop does.
func (d *daemon) stop() {
	d.step(func(now time.Time) { d.state.Leave(now) })
	d.alive = false
	d.step(func(now time.Time) { d.state.Left(now) })
}

// read takes what the platform's watch gave, if the daemon is a reader of its
// zone. A zone that is cut off does not reach the platform either.
func (d *daemon) read(c *structs.Configuration, size int) {
	if !d.alive || d.run.network.cut[d.node.Zone] {
		return
	}
	if !config.IsReader(d.node.ID, d.view.Members(), config.DefaultReadersPerZone) {
		return
	}
	d.meter.platformBytes += int64(size)
	d.step(func(now time.Time) {
		if before, newer := d.store.Offer(c); newer {
			d.state.DocumentChanged(now, before)
		}
	})
}
