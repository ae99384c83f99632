package quorum

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

const (
	// callTimeout bounds one call to one replica.
	callTimeout = 900 * time.Millisecond
	// retryPause is the time between two rounds over the group, and between the
	// first two calls of one member; that grows up to lastRetryPause.
	retryPause     = 40 * time.Millisecond
	lastRetryPause = 320 * time.Millisecond
	// nearTimeout is how long the nearest replica is waited for before the
	// others are asked too.
	nearTimeout = 30 * time.Millisecond
)

// Groups tells which group is in force; package directory implements it.
type Groups interface {
	Group() *replicav1.Group
	OfferGroup(group *replicav1.Group)
}

// Client talks to the replicas of the group in force.
type Client struct {
	groups Groups
	zone   string
	http   *http.Client

	mutex sync.Mutex
	calls map[string]replicav1connect.ReplicaServiceClient
}

// NewClient returns a client of a process in a zone.
func NewClient(groups Groups, zone string, client *http.Client) *Client {
	return &Client{
		groups: groups, zone: zone, http: client,
		calls: make(map[string]replicav1connect.ReplicaServiceClient),
	}
}

// At returns the client of the replica at an address.
func (c *Client) At(address string) replicav1connect.ReplicaServiceClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found := c.calls[address]
	if found == nil {
		found = replicav1connect.NewReplicaServiceClient(c.http, "http://"+address, transport.ClientOptions()...)
		c.calls[address] = found
	}
	return found
}

// Append writes records to a majority. It returns at the moment they count as
// written; replicas that are slower still get them.
func (c *Client) Append(ctx context.Context, records ...*replicav1.Record) error {
	_, err := c.append(ctx, &replicav1.AppendRequest{Records: records})
	return err
}

// Reserve writes a reservation to a majority and returns what a majority of
// recovered replicas knows of its program afterwards. The sum must be read after
// the write: each of several reservations at once may otherwise miss another.
func (c *Client) Reserve(ctx context.Context, record *replicav1.Record) (turn.Ledger, error) {
	if err := c.Append(ctx, record); err != nil {
		return nil, err
	}
	return c.append(ctx, &replicav1.AppendRequest{Programs: []string{record.GetReservation().Program}})
}

// Probe returns nil if a majority answers.
func (c *Client) Probe(ctx context.Context) error {
	_, err := c.append(ctx, &replicav1.AppendRequest{})
	return err
}

// learn takes a newer group from a replica, or passes a newer one on to it.
func (c *Client) learn(group *replicav1.Group, member *replicav1.Member, standing *replicav1.Standing) {
	switch {
	case standing.Group != nil && standing.Group.Epoch > group.Epoch:
		c.groups.OfferGroup(standing.Group)
	case standing.Epoch < group.Epoch:
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		// A failed call is made again with the next answer of this replica.
		_, _ = c.At(member.Address).Announce(ctx, connect.NewRequest(&replicav1.AnnounceRequest{Group: group}))
	}
}
