// Package topology builds a whole deployment in one process: the stand-ins of
// the outside, the daemons, and a network between them with the delays of the
// deployment, whose links can be cut.
package topology

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Place is where an endpoint stands. The empty zone is that of clients and of
// the platform, which no cut between zones touches.
type Place struct {
	Zone structs.ZoneName
	// Client is set for callers and operators.
	Client bool
	// Daemon is set for the endpoints of a daemon.
	Daemon structs.NodeID
}

// Delays are one-way network delays.
type Delays struct {
	BetweenZones time.Duration
	ToClients    time.Duration
}

// Network carries TCP connections over loopback with the delays of a
// deployment, and can cut zones off from each other. It is safe for concurrent
// use.
type Network struct {
	delays Delays

	mutex  sync.Mutex
	places map[string]Place
	cuts   map[zonePair]bool
	// changed is closed and replaced when cuts change.
	changed chan struct{}
	sent    map[structs.NodeID]*atomic.Int64
}

type zonePair struct{ low, high structs.ZoneName }

func pairOf(a, b structs.ZoneName) zonePair {
	if a > b {
		a, b = b, a
	}
	return zonePair{low: a, high: b}
}

// NewNetwork returns a network without cuts.
func NewNetwork(delays Delays) *Network {
	return &Network{
		delays:  delays,
		places:  map[string]Place{},
		cuts:    map[zonePair]bool{},
		changed: make(chan struct{}),
		sent:    map[structs.NodeID]*atomic.Int64{},
	}
}

// Register says where the endpoint at the address (IP:port) stands.
func (n *Network) Register(address string, place Place) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.places[address] = place
}

// Cut stops all traffic between two zones until Heal. Open connections stall
// and lose nothing; new ones wait.
func (n *Network) Cut(a, b structs.ZoneName) { n.setCut(a, b, true) }

// Heal undoes Cut.
func (n *Network) Heal(a, b structs.ZoneName) { n.setCut(a, b, false) }

func (n *Network) setCut(a, b structs.ZoneName, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if cut {
		n.cuts[pairOf(a, b)] = true
	} else {
		delete(n.cuts, pairOf(a, b))
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// PeerBytes returns the bytes that a daemon has sent to other daemons.
func (n *Network) PeerBytes(daemon structs.NodeID) int64 {
	return n.counter(daemon).Load()
}

func (n *Network) counter(daemon structs.NodeID) *atomic.Int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	counter, known := n.sent[daemon]
	if !known {
		counter = &atomic.Int64{}
		n.sent[daemon] = counter
	}
	return counter
}

func (n *Network) delay(from, to Place) time.Duration {
	if from.Client || to.Client {
		return n.delays.ToClients
	}
	if from.Zone != to.Zone {
		return n.delays.BetweenZones
	}
	return 0
}

// await returns when the link is open, or with the context's error.
func (n *Network) await(ctx context.Context, from, to Place) error {
	for {
		n.mutex.Lock()
		cut := n.cuts[pairOf(from.Zone, to.Zone)]
		changed := n.changed
		n.mutex.Unlock()
		if !cut {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// dialTimeout bounds a connection attempt over a link that is cut.
const dialTimeout = 2 * time.Second

// Dialer returns a dial function for an endpoint at the place.
func (n *Network) Dialer(from Place) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mutex.Lock()
		to := n.places[address]
		n.mutex.Unlock()
		limited, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := n.await(limited, from, to); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		dialer := net.Dialer{}
		outer, err := dialer.DialContext(limited, network, address)
		if err != nil {
			return nil, err
		}
		return n.wrap(outer, from, to), nil
	}
}
