package quorum

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

const (
	// relayEvery is how often a replica is asked for news although the store
	// answers, and relayFailing while it does not.
	relayEvery   = 600 * time.Millisecond
	relayFailing = 200 * time.Millisecond
	relayTimeout = 500 * time.Millisecond
)

// Relay asks replicas for what the platform's store told them: the store may
// refuse this process while it serves others.
type Relay struct {
	client  *Client
	state   *directory.State
	failing func() bool
	seeds   atomic.Pointer[[]string]
}

// NewRelay returns a relay into state. failing tells whether the store does not
// answer this process.
func NewRelay(client *Client, state *directory.State, failing func() bool, seeds []string) *Relay {
	relay := &Relay{client: client, state: state, failing: failing}
	relay.SetSeeds(seeds)
	return relay
}

// SetSeeds replaces the addresses that are asked while no group is known.
func (r *Relay) SetSeeds(seeds []string) { r.seeds.Store(&seeds) }

// Run asks one replica after another until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for turn := rand.Int(); ctx.Err() == nil; turn++ {
		every := relayEvery
		if r.failing() || r.state.View().Table == nil {
			every = relayFailing
		}
		if !pause.For(ctx, every) {
			return
		}
		addresses := r.addresses()
		if len(addresses) > 0 {
			go r.ask(ctx, addresses[turn%len(addresses)])
		}
	}
}

func (r *Relay) addresses() []string {
	group := r.state.Group()
	if group == nil {
		return *r.seeds.Load()
	}
	addresses := make([]string, 0, len(group.Members))
	for _, member := range group.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

func (r *Relay) ask(ctx context.Context, address string) {
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	view := r.state.View()
	request := &replicav1.DirectoryRequest{WorkersRevision: r.state.WorkersRevision()}
	if view.Table != nil {
		request.Version = view.Table.Version()
	}
	if view.Group != nil {
		request.Epoch = view.Group.Epoch
	}
	response, err := r.client.At(address).Directory(call, connect.NewRequest(request))
	if err != nil {
		return
	}
	if kept := response.Msg.Configuration; kept != nil {
		configuration := &route.Configuration{}
		if json.Unmarshal(kept.Document, configuration) == nil {
			r.state.OfferConfiguration(configuration)
		}
	}
	r.state.OfferWorkerList(response.Msg.Workers)
	r.state.OfferGroup(response.Msg.Group)
}
