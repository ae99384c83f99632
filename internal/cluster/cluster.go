// Package cluster runs membership for a daemon: it drives a membership.State
// with a goroutine and a transport, publishes an immutable view of the members
// and passes on changes.
package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/membership"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Item is a versioned fact that daemons publish to each other.
type Item = membership.Item

// Document is the large value that daemons keep equal, such as the configuration.
type Document interface {
	membership.Document
	// Deliver tells the document's own listeners of a change. It is called
	// without the cluster's lock.
	Deliver()
}

// Transport sends messages to peers. It must not block and may lose messages.
type Transport interface {
	SendGossip(to structs.Node, m *gossipv1.Message)
}

// Options configure a Cluster.
type Options struct {
	// Self is the daemon, with an incarnation above that of any earlier life.
	Self structs.Node
	// Seeds are peer addresses through which the daemon joins.
	Seeds     []string
	Transport Transport
	// Document is shared with the peers; nil if there is none.
	Document Document
	// Seed makes the daemon's choices by chance repeatable; 0 draws one.
	Seed uint64
	// Timing overrides the periods; the zero value means the defaults.
	Timing membership.Timing
	// OnRemoved is called when the others removed this daemon. It must return
	// only after the daemon acts on no leadership of its earlier life; the
	// daemon then rejoins under the returned incarnation.
	OnRemoved func(removed structs.Incarnation) structs.Incarnation
}

// Cluster is a running member.
type Cluster struct {
	options Options
	mutex   sync.Mutex
	state   *membership.State
	view    atomic.Pointer[View]
	wake    chan struct{}
	done    chan struct{}
	stop    context.CancelFunc

	listenerMutex sync.Mutex
	onChange      []func(structs.Node)
	onItem        []func(Item)

	// deliveries keeps events in order while they are delivered without the lock.
	deliveries sync.Mutex
	queue      []membership.Event
}

// Start joins the cluster and runs until the context ends or Leave returns.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	seed := options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	memberOptions := membership.Options{
		Self:   options.Self,
		Seeds:  options.Seeds,
		Random: rand.New(rand.NewPCG(seed, uint64(options.Self.Incarnation))),
		Timing: options.Timing,
	}
	if options.Document != nil {
		memberOptions.Document = options.Document
	}
	running, stop := context.WithCancel(ctx)
	c := &Cluster{
		options: options,
		state:   membership.New(memberOptions),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		stop:    stop,
	}
	c.view.Store(NewView(c.state.Nodes()))
	go c.run(running)
	return c, nil
}

// View returns the members as this daemon sees them now.
func (c *Cluster) View() *View { return c.view.Load() }

// Self returns this daemon as it presents itself now.
func (c *Cluster) Self() structs.Node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.Self()
}

// OnChange adds a listener to members' changes of state or address. Listeners
// are called one change at a time and may call the cluster.
func (c *Cluster) OnChange(listener func(structs.Node)) {
	c.listenerMutex.Lock()
	defer c.listenerMutex.Unlock()
	c.onChange = append(c.onChange, listener)
}

// OnItem adds a listener to newer items, under the same terms as OnChange.
func (c *Cluster) OnItem(listener func(Item)) {
	c.listenerMutex.Lock()
	defer c.listenerMutex.Unlock()
	c.onItem = append(c.onItem, listener)
}

// Receive takes a message from a peer.
func (c *Cluster) Receive(m *gossipv1.Message) {
	c.do(func(now time.Time) { c.state.Receive(now, m) })
}

// Publish spreads an item; one that is not newer than the item held is dropped.
func (c *Cluster) Publish(item Item) {
	c.do(func(now time.Time) { c.state.Publish(now, item) })
}

// Item returns the newest item held under the key.
func (c *Cluster) Item(key string) (Item, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.Item(key)
}

// Items returns all items whose key has the prefix, in no order.
func (c *Cluster) Items(prefix string) []Item {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.Items(prefix)
}

// DocumentChanged tells that the document advanced by the daemon's own reading
// from the version before.
func (c *Cluster) DocumentChanged(before uint64) {
	c.do(func(now time.Time) { c.state.DocumentChanged(now, before) })
}

// Announce says that the daemon is leaving: peers give it no new work.
func (c *Cluster) Announce() {
	c.do(func(now time.Time) { c.state.Leave(now) })
}

// leaveLinger is how long a daemon that left repeats nothing but lets its last
// messages go out.
const leaveLinger = 200 * time.Millisecond

// Leave takes the daemon out of the members and stops it. The daemon should
// have handed over its work before.
func (c *Cluster) Leave(ctx context.Context) error {
	c.Announce()
	c.do(func(now time.Time) { c.state.RemoveSelf(now) })
	timer := time.NewTimer(leaveLinger)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	c.stop()
	<-c.done
	return ctx.Err()
}

// Done is closed when the cluster has stopped.
func (c *Cluster) Done() <-chan struct{} { return c.done }

// run ticks the state when it is due.
func (c *Cluster) run(ctx context.Context) {
	defer close(c.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-timer.C:
			c.do(func(now time.Time) { c.state.Tick(now) })
		}
		c.mutex.Lock()
		next := c.state.NextWake()
		c.mutex.Unlock()
		timer.Reset(max(time.Until(next), time.Millisecond))
	}
}

// do runs a step of the state, sends its messages and delivers its events.
func (c *Cluster) do(step func(now time.Time)) {
	c.mutex.Lock()
	step(time.Now())
	outgoing, events := c.state.Drain()
	if view := c.view.Load(); len(events) > 0 {
		c.view.Store(view.After(events))
	}
	c.queue = append(c.queue, events...)
	c.mutex.Unlock()
	for _, message := range outgoing {
		c.options.Transport.SendGossip(message.To, message.Message)
	}
	if len(events) > 0 {
		go c.deliver()
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// deliver passes queued events on, in order and one at a time.
func (c *Cluster) deliver() {
	c.deliveries.Lock()
	defer c.deliveries.Unlock()
	for {
		c.mutex.Lock()
		events := c.queue
		c.queue = nil
		c.mutex.Unlock()
		if len(events) == 0 {
			return
		}
		for _, event := range events {
			c.handle(event)
		}
	}
}

func (c *Cluster) handle(event membership.Event) {
	c.listenerMutex.Lock()
	onChange, onItem := slices.Clone(c.onChange), slices.Clone(c.onItem)
	c.listenerMutex.Unlock()
	switch event.Kind {
	case membership.NodeChanged:
		logNode(event.Node)
		for _, listener := range onChange {
			listener(event.Node)
		}
	case membership.ItemChanged:
		for _, listener := range onItem {
			listener(event.Item)
		}
	case membership.DocumentActivated:
		c.options.Document.Deliver()
	case membership.ZoneUnreachable:
		eventZoneUnreachable.Log("zone", event.Zone)
	case membership.ZoneReachable:
		eventZoneReachable.Log("zone", event.Zone)
	case membership.SelfRemoved:
		c.rejoin(event)
	}
}

// rejoin brings the daemon back after its owner gave up its leadership.
func (c *Cluster) rejoin(event membership.Event) {
	eventSelfRemoved.Log("incarnation", event.Node.Incarnation)
	next := event.Node.Incarnation + 1
	if c.options.OnRemoved != nil {
		next = c.options.OnRemoved(event.Node.Incarnation)
	}
	c.do(func(now time.Time) { c.state.Rejoin(now, next) })
}

// Members returns the daemons that were not removed.
func (c *Cluster) Members() []structs.Node { return c.View().Members() }
