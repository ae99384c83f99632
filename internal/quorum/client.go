package quorum

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/estimate"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	// callTimeout bounds one call to one replica.
	callTimeout = 900 * time.Millisecond
	// retryPause is the time between two rounds over the group, and between the
	// first two calls of one member; that grows up to lastRetryPause.
	retryPause     = 40 * time.Millisecond
	lastRetryPause = 320 * time.Millisecond
	// spareDelay is how long the members asked first have to answer before the
	// others are asked too, where calls do not usually take longer.
	spareDelay = 25 * time.Millisecond
	// nearTimeout is how long the nearest replica is waited for before the
	// others are asked too, besides the way to it where that is long.
	nearTimeout = 30 * time.Millisecond
)

// Groups tells which groups are in force; package directory implements it.
type Groups interface {
	// Group returns that of a partition, or nil.
	Group(partition uint32) *replicav1.Group
	// Groups returns those of all partitions, by partition; nil for those that are
	// not known.
	Groups() []*replicav1.Group
	// ApplyPeerGroup takes a group if it is newer; source is who told it.
	ApplyPeerGroup(group *replicav1.Group, source string)
}

// Client talks to the replicas of the groups in force.
type Client struct {
	groups Groups
	zone   string
	// places and ways tell how far members are; ways is measured by appends.
	places distance.Topology
	ways   *distance.ZoneLatencies
	// regionOf names the region of each zone, for what may rest in some regions alone.
	regionOf map[string]string
	http     *http.Client
	now      func() time.Time
	// spareAfter is spareDelay; tests take another.
	spareAfter time.Duration
	// latency is that of calls to replicas, less the way to those that are far.
	latency  estimate.Latency
	deferred *deferred
	counts   counts
	disabled mechanism.Disabled
	// reach knows which replicas answer, outages which partitions' majorities do not.
	reach      *reach
	outages    *outages
	forwarders *forwarders
	lives      lives
	// drawn are the settlements of turns on loans.
	drawn drawSettlements

	mutex sync.Mutex
	calls map[string]replicav1connect.ReplicaServiceClient
}

// counts are what the client has done since its start.
type counts struct {
	reservations, secondRounds, forwarded, calls atomic.Int64
}

// Reservations returns how many reservations were written, and for how many of them
// the sum was read again.
func (c *Client) Reservations() (written, readAgain int64) {
	return c.counts.reservations.Load(), c.counts.secondRounds.Load()
}

// ForwardedCalls returns how many calls were answered through another gateway.
func (c *Client) ForwardedCalls() int64 { return c.counts.forwarded.Load() }

// ReplicaCalls returns how many calls to replicas were begun, without questions for news.
func (c *Client) ReplicaCalls() int64 { return c.counts.calls.Load() }

// countCall counts a call.
func (c *Client) countCall(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().Procedure != replicav1connect.ReplicaServiceDirectoryProcedure {
			c.counts.calls.Add(1)
		}
		return next(ctx, request)
	}
}

// NewClient returns a client of a process in a zone.
func NewClient(groups Groups, zone string, client *http.Client) *Client {
	created := &Client{
		groups: groups, zone: zone, http: client, now: time.Now, spareAfter: spareDelay, deferred: newDeferred(),
		calls:      make(map[string]replicav1connect.ReplicaServiceClient),
		forwarders: &forwarders{http: client},
	}
	created.SetTopology(distance.NewTopology(zone, nil))
	created.drawn.waiting = make(map[heldPartition]*holderSettlements)
	created.reach = newReach(created.now, created.probe)
	created.outages = newOutages(created.now, created.lookFor)
	return created
}

// DisableMechanisms leaves mechanisms out, for an experiment. It is to be called before the
// client is used.
func (c *Client) DisableMechanisms(disabled mechanism.Disabled) { c.disabled = disabled }

// SetTopology tells how far zones are; without it all but the own one are alike. It is to be
// called before the client is used.
func (c *Client) SetTopology(places distance.Topology) {
	c.places, c.ways = places, distance.NewZoneLatencies(places)
}

// wayTo returns by how much longer a call to the farthest of some members takes than one at
// home.
func (c *Client) wayTo(members ...*replicav1.Member) (longest time.Duration) {
	view := c.ways.View()
	for _, member := range members {
		longest = max(longest, view.ExtraLatency(member.Zone))
	}
	return longest
}

// ReplicaClient returns the client of the replica at an address.
func (c *Client) ReplicaClient(address string) replicav1connect.ReplicaServiceClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found := c.calls[address]
	if found == nil {
		options := append(transport.ClientOptions(), connect.WithInterceptors(connect.UnaryInterceptorFunc(c.countCall), connect.UnaryInterceptorFunc(c.checkAnswer)))
		found = replicav1connect.NewReplicaServiceClient(c.http, "http://"+address, options...)
		c.calls[address] = found
	}
	return found
}

// Append writes records of one program to a majority of its partition's group. It
// returns at the moment they count as written; replicas that are slower still get them.
func (c *Client) Append(ctx context.Context, program string, records ...*replicav1.Record) error {
	_, err := c.append(ctx, program, &replicav1.AppendRequest{Records: records})
	return err
}

// Probe returns nil if a majority of some group answers.
func (c *Client) Probe(ctx context.Context) error {
	_, err := c.append(ctx, strconv.FormatUint(rand.Uint64(), 36), &replicav1.AppendRequest{})
	return err
}

// AnsweredWithin reports whether any replica has answered any call lately.
func (c *Client) AnsweredWithin(limit time.Duration) bool {
	return c.reach.anyAnsweredSince(c.now().Add(-limit))
}

// withStanding is an answer in which a replica says what it is.
type withStanding interface {
	GetStanding() *replicav1.Standing
}

// askDirectly makes one call to a member and takes in what it says of itself. It returns
// the zero answer where there was none; where ctx has not ended, that speaks against the
// member.
func askDirectly[Q, A any, P interface {
	*A
	withStanding
}](ctx context.Context, c *Client, group *replicav1.Group, member *replicav1.Member, limit time.Duration, request *connect.Request[Q],
	call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) P {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response, err := call(limited, request)
	if err == nil {
		answer := P(response.Msg)
		c.reach.answered(member.Address)
		c.learn(group, member, answer.GetStanding())
		return answer
	}
	if ctx.Err() == nil {
		c.reach.failed(member.Address, err)
	}
	return nil
}

// probe asks one replica for anything at all.
func (c *Client) probe(ctx context.Context, address string) error {
	_, err := c.ReplicaClient(address).Append(ctx, connect.NewRequest(&replicav1.AppendRequest{}))
	return err
}

// learn takes a newer group from a replica, or passes a newer one on to it.
func (c *Client) learn(group *replicav1.Group, member *replicav1.Member, standing *replicav1.Standing) {
	c.lives.note(group, member, standing)
	switch {
	case standing.Group != nil && standing.Group.Epoch > group.Epoch:
		c.groups.ApplyPeerGroup(standing.Group, member.Node)
	case standing.Epoch < group.Epoch:
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		// A failed call is made again with the next answer of this replica.
		_, _ = c.ReplicaClient(member.Address).Announce(ctx, connect.NewRequest(&replicav1.AnnounceRequest{Group: group}))
	}
}

// preferred returns the members of a group in the order in which they are asked:
// those that answer before those that do not, and of those the near ones first: of the
// own zone, of the own region, and of other regions by the measured way. Those that are
// equally far come in random order, so that they share the work.
func (c *Client) preferred(group *replicav1.Group) []*replicav1.Member {
	members := slices.Clone(group.Members)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	view := c.ways.View()
	rank := func(member *replicav1.Member) int {
		if c.reach.isDown(member.Address) {
			return math.MaxInt
		}
		return view.Rank(member.Zone)
	}
	slices.SortStableFunc(members, func(a, b *replicav1.Member) int { return cmp.Compare(rank(a), rank(b)) })
	return members
}
