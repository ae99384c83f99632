package hollow

import (
	"encoding/json"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/barleyshelf/barleyshelf/internal/membership"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// epoch is the simulated time 0.
var epoch = time.Unix(1_000_000_000, 0)

const (
	// killGap is the time between the deaths that detection is measured by.
	killGap = 4 * time.Second
	// seedCount is the number of daemons that others join through.
	seedCount = 5
	// programsPerShard gives the number of shards whose leaders are told.
	programsPerShard = 333
	// restartGap is how long a restarting daemon is away.
	restartGap = 2 * time.Second
	// replaceAfter is when a dead daemon's machine was replaced.
	replaceAfter = 30 * time.Second
	// gcPercent is the garbage collector's target while a run goes on.
	gcPercent = 200
	// platformDelay is the lag of the platform's watches.
	platformDelay = 100 * time.Millisecond
)

// run is a simulation under way.
type run struct {
	options Options
	random  *rand.Rand
	queue   queue
	network *network
	daemons []*daemon
	byPeer  map[string]*daemon
	// latest is the configuration at the platform, and its size there.
	latest     *structs.Configuration
	latestSize int
	parseTime  time.Duration
	shared     map[uint64]*structs.Configuration
	observed   observations
	err        error
}

// Run simulates and reports. The error is a *Failed.
func Run(options Options) (*Report, error) {
	begin := time.Now()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	// Most of the heap lives as long as the run: collect it seldom.
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	options = options.Scaled()
	r := &run{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		network: newNetwork(options.Seed, options.Loss),
		byPeer:  map[string]*daemon{},
		shared:  map[uint64]*structs.Configuration{},
	}
	r.latest = newConfiguration(options)
	r.latestSize = encodedSize(r.latest)
	r.measureParse()
	for index := range options.Daemons {
		d := newDaemon(r, index)
		r.daemons = append(r.daemons, d)
		r.byPeer[d.node.PeerAddress] = d
	}
	r.warmUp()
	r.measure()
	if r.err != nil {
		return nil, &Failed{Cause: r.err}
	}
	report := r.report()
	report.WallSeconds = time.Since(begin).Seconds()
	return report, nil
}

func (r *run) now() time.Time { return epoch.Add(r.queue.now) }

func (r *run) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// share keeps one copy of equal configurations for all daemons, which decide
// and compute as if each had its own.
func (r *run) share(c *structs.Configuration) *structs.Configuration {
	if held, known := r.shared[c.Version]; known {
		return held
	}
	r.shared[c.Version] = c
	const keptVersions = 64
	delete(r.shared, c.Version-keptVersions)
	return c
}

// measureParse times what a reader spends on decoding the platform's form.
func (r *run) measureParse() {
	encoded, err := json.Marshal(r.latest)
	if err != nil {
		r.fail(err)
		return
	}
	begin := threadTime()
	var decoded structs.Configuration
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		r.fail(err)
	}
	r.parseTime = threadTime() - begin
}

// seeds are the peer addresses that daemons join through.
func (r *run) seeds() []string {
	var seeds []string
	for _, d := range r.daemons[:min(seedCount, len(r.daemons))] {
		seeds = append(seeds, d.node.PeerAddress)
	}
	return seeds
}

// warmUp gives all daemons what they would hold after a while, lets them run
// and resets the meters.
func (r *run) warmUp() {
	r.preload()
	for _, d := range r.daemons {
		d.schedule()
	}
	r.queue.runUntil(r.options.WarmUp)
	for _, d := range r.daemons {
		d.meter = meter{}
	}
	r.observed.begin(r)
}

// preload works on all processors: the daemons are still apart.
func (r *run) preload() {
	facts := r.firstFacts()
	r.share(r.latest)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for _, d := range r.daemons {
		group.Go(func() error {
			told := facts
			if d.sampled() {
				told = copyFacts(facts)
			}
			d.preload(told)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		r.fail(err)
	}
}

// measure runs the measured time and then the deaths that detection is
// measured by, which would weigh too much in the meters.
func (r *run) measure() {
	r.plan()
	end := r.options.WarmUp + r.options.Duration
	r.queue.runUntil(end)
	for _, d := range r.daemons {
		d.measured = d.meter
	}
	r.planKills()
	r.queue.runUntil(end + killGap*time.Duration(r.options.Kills) + settle)
}

// announceConfiguration lets each zone's readers see the platform's latest version.
func (r *run) announceConfiguration() {
	latest, size := r.latest, r.latestSize
	for _, d := range r.daemons {
		jitter := time.Duration(r.random.Int64N(int64(platformDelay)))
		r.queue.after(platformDelay/2+jitter, func() { d.read(latest, size) })
	}
}

// transmit passes an encoded message through the network.
func (r *run) transmit(from *daemon, to string, kind Kind, encoded []byte) {
	receiver, known := r.byPeer[to]
	if !known {
		return
	}
	delay, arrives := r.network.deliver(r.queue.now, from.node, receiver.node)
	if arrives {
		r.queue.after(delay, func() { receiver.receive(kind, encoded) })
	}
}

// observe takes note of what a daemon reports.
func (r *run) observe(d *daemon, event membership.Event) {
	switch event.Kind {
	case membership.NodeChanged:
		r.observed.node(r, d, event.Node)
		if event.Node.State == structs.NodeDead {
			r.replaceLeader(d, event.Node.ID)
		}
	case membership.DocumentInForce:
		r.observed.inForce(r, d, event.Version)
	case membership.SelfRemoved:
		r.observed.selfRemoved++
		r.queue.after(0, d.rejoin)
	}
}

// aliveDaemons returns the daemons that run.
func (r *run) aliveDaemons() []*daemon {
	return slices.DeleteFunc(slices.Clone(r.daemons), func(d *daemon) bool { return !d.alive })
}
