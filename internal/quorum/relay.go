package quorum

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

const (
	// relayWait is how long a replica may wait for news before it answers. It is
	// short: a replica that the store does not answer keeps its callers back for
	// this long.
	relayWait = 700 * time.Millisecond
	// relayMargin is how much later a call is given up.
	relayMargin = 300 * time.Millisecond
	// relayPause is the time after a call that failed or brought nothing to wait
	// for.
	relayPause = 60 * time.Millisecond
	// relayAsked is how many replicas are asked at a time: each of them may be
	// stale.
	relayAsked = 2
	// passedOver is how long a replica that did not answer, or that the store does not
	// answer, is not asked while there are others.
	passedOver = 2 * time.Second
)

// Relay asks replicas for what the platform's store told them: one after
// another, a few at a time, each of which answers as soon as there is news.
type Relay struct {
	client *Client
	state  *directory.State
	seeds  atomic.Pointer[[]string]
	// fresh is when a replica that the store answers was heard last, in nanoseconds
	// since began.
	fresh atomic.Int64
	began time.Time
	mutex sync.Mutex
	// staleUntil are the replicas that are passed over, by address.
	staleUntil map[string]time.Time
	// forwarder is this process's own address for calls of others, or empty.
	forwarder string
}

// NewRelay returns a relay into state. forwarder is the address at which this
// process makes calls for others; one that is empty makes none and hears of none.
func NewRelay(client *Client, state *directory.State, seeds []string, forwarder string) *Relay {
	relay := &Relay{client: client, state: state, began: time.Now(), forwarder: forwarder, staleUntil: make(map[string]time.Time)}
	relay.fresh.Store(-int64(time.Hour))
	relay.SetSeeds(seeds)
	return relay
}

// SetSeeds replaces the addresses that are asked while no group is known.
func (r *Relay) SetSeeds(seeds []string) { r.seeds.Store(&seeds) }

// FreshWithin reports whether a replica that the platform's store answers was
// heard within the given time.
func (r *Relay) FreshWithin(limit time.Duration) bool {
	return time.Since(r.began)-time.Duration(r.fresh.Load()) < limit
}

// Run asks replicas until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	first := rand.IntN(1 << 16)
	for lane := range relayAsked - 1 {
		go r.runLane(ctx, first, lane+1)
	}
	r.runLane(ctx, first, 0)
}

// runLane asks one replica after another. Lanes are apart by their share of the
// replicas, as long as calls take alike.
func (r *Relay) runLane(ctx context.Context, first, lane int) {
	for turn := 0; ctx.Err() == nil; turn++ {
		addresses := r.addresses()
		began := time.Now()
		if len(addresses) > 0 {
			apart := lane * len(addresses) / relayAsked
			r.ask(ctx, r.next(addresses, first+apart+turn))
		}
		if time.Since(began) < relayPause {
			pause.For(ctx, relayPause)
		}
	}
}

// next returns the address at a place of the round, or the first one after it that
// is not passed over, if there is one.
func (r *Relay) next(addresses []string, place int) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	for i := range addresses {
		address := addresses[(place+i)%len(addresses)]
		if !now.Before(r.staleUntil[address]) {
			return address
		}
	}
	return addresses[place%len(addresses)]
}

// passOver notes whether a replica is worth asking.
func (r *Relay) passOver(address string, stale bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !stale {
		delete(r.staleUntil, address)
		return
	}
	r.staleUntil[address] = time.Now().Add(passedOver)
}

func (r *Relay) addresses() []string {
	addresses := r.client.memberAddresses()
	if len(addresses) == 0 {
		return *r.seeds.Load()
	}
	return addresses
}

func (r *Relay) ask(ctx context.Context, address string) {
	call, cancel := context.WithTimeout(ctx, relayWait+relayMargin)
	defer cancel()
	view := r.state.View()
	request := &replicav1.DirectoryRequest{
		WorkersRevision: r.state.WorkersRevision(), PatienceMs: uint32(relayWait.Milliseconds()),
		Forwarder: r.forwarder, ForwardersDigest: r.client.forwarders.digest(),
	}
	if view.Table != nil {
		request.Version = view.Table.Version()
	}
	request.Epochs = view.Epochs()
	response, err := r.client.At(address).Directory(call, connect.NewRequest(request))
	if ctx.Err() != nil {
		return
	}
	r.passOver(address, err != nil || !response.Msg.Fresh)
	if err == nil {
		r.take(response.Msg)
	}
}

func (r *Relay) take(news *replicav1.DirectoryResponse) {
	if kept := news.Configuration; kept != nil {
		configuration := &route.Configuration{}
		if json.Unmarshal(kept.Document, configuration) == nil {
			r.state.OfferConfiguration(configuration)
		}
	}
	r.state.OfferWorkerList(news.Workers)
	for _, group := range news.Groups {
		r.state.OfferGroup(group)
	}
	if len(news.Forwarders) > 0 {
		r.client.forwarders.set(news.Forwarders)
	}
	if news.Fresh {
		r.fresh.Store(int64(time.Since(r.began)))
	}
}
