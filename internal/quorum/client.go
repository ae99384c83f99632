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
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	// callTimeout limits one call to one replica.
	callTimeout = 900 * time.Millisecond
	// initialBackoff is the time between two rounds to the group, and between the first two
	// calls to one member. The backoff between calls doubles up to maxBackoff.
	initialBackoff = 40 * time.Millisecond
	maxBackoff     = 320 * time.Millisecond
	// defaultHedgeDelay is how long the members called first have to answer before the others are
	// called too. The delay is longer where calls usually take longer.
	defaultHedgeDelay = 25 * time.Millisecond
	// readHedgeDelay is how long a read waits for the nearest replica before it also asks the
	// others, in addition to the network latency to that replica.
	readHedgeDelay = 30 * time.Millisecond
)

// Groups provides the current replica groups. It is implemented by package directory.
type Groups interface {
	// Group returns the current group of a partition, or nil.
	Group(partition uint32) *replicav1.Group
	// Groups returns the groups of all partitions, indexed by partition. Unknown groups are nil.
	Groups() []*replicav1.Group
	// ApplyPeerGroup adopts a group if it is newer. source identifies the sender.
	ApplyPeerGroup(group *replicav1.Group, source string)
}

// Client calls the replicas of the current groups.
type Client struct {
	groups Groups
	zone   string
	// topology and zoneLatencies describe the distance to members. zoneLatencies is measured by
	// appends.
	topology      distance.Topology
	zoneLatencies *distance.ZoneLatencies
	// regionOf is the region of each zone, for records that may only be stored in some regions.
	regionOf   map[string]string
	httpClient *http.Client
	// inflow bounds what is held of the answers of replicas and forwarders, and of calls that this process takes.
	inflow *transport.Inflow
	now    func() time.Time
	// hedgeDelay is defaultHedgeDelay; tests override it.
	hedgeDelay time.Duration
	// callLatency is the latency of calls to replicas, without the extra network latency to
	// distant ones.
	callLatency estimate.Latency
	// grantLatency is the same of calls for grants, which write nothing: they do not become slower
	// with the disks of replicas.
	grantLatency estimate.Latency
	deferred     *deferredRecords
	counts       counts
	disabled     mechanism.Disabled
	// reachability tracks replicas that do not answer, outages tracks partitions whose majority
	// does not answer.
	reachability *reachability
	outages      *outages
	// unready tracks members that answer but do not count, limiters bounds the calls to each replica.
	unready      *unreadyMembers
	limiters     *callLimiters
	forwarders   *forwarders
	incarnations incarnationCache
	// drawSettlements are the pending settlements of turns that drew on loans.
	drawSettlements drawSettlements

	mutex          sync.Mutex
	replicaClients map[string]replicav1connect.ReplicaServiceClient
}

// counts are the client's counters since its start.
type counts struct {
	reservations, rereads, forwarded, calls atomic.Int64
}

// Reservations returns the number of reservations written, and for how many of them the committed
// total was read again.
func (c *Client) Reservations() (written, readAgain int64) {
	return c.counts.reservations.Load(), c.counts.rereads.Load()
}

// ForwardedCalls returns the number of calls that were answered through another gateway.
func (c *Client) ForwardedCalls() int64 { return c.counts.forwarded.Load() }

// ReplicaCalls returns the number of calls started to replicas, without Directory calls.
func (c *Client) ReplicaCalls() int64 { return c.counts.calls.Load() }

// LimitHeld sets what all answers and bounded calls under way hold together beyond small ones, in bytes. It must be
// called before the first call.
func (c *Client) LimitHeld(bytes int64) { c.inflow.LimitHeld(bytes) }

// BoundCalls returns a handler that reads calls of other processes within the bounds of answers, and shares their memory.
func (c *Client) BoundCalls(handler http.Handler) http.Handler { return c.inflow.NewHandler(handler) }

// RegisterMetrics registers the counters of refused answers and calls.
func (c *Client) RegisterMetrics(registry *telemetry.Registry) {
	c.inflow.RegisterMetrics(registry, "replicas")
}

// countCalls is an interceptor that counts calls to replicas.
func (c *Client) countCalls(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().Procedure != replicav1connect.ReplicaServiceDirectoryProcedure {
			c.counts.calls.Add(1)
		}
		return next(ctx, request)
	}
}

// NewClient returns a client for a process in the given zone.
func NewClient(groups Groups, zone string, client *http.Client) *Client {
	inflow := transport.NewInflow()
	bounded := inflow.NewClient(client)
	created := &Client{
		groups: groups, zone: zone, httpClient: bounded, inflow: inflow, now: time.Now, hedgeDelay: defaultHedgeDelay, deferred: newDeferredRecords(),
		replicaClients: make(map[string]replicav1connect.ReplicaServiceClient),
		forwarders:     &forwarders{httpClient: bounded},
	}
	created.SetTopology(distance.NewTopology(zone, nil))
	created.drawSettlements.byHolder = make(map[holderKey]*holderSettlements)
	created.reachability = newReachability(created.now, created.probe)
	created.outages = newOutages(created.now, created.probeMajority)
	created.unready = newUnreadyMembers(created.now, created.probeUnready)
	created.limiters = newCallLimiters(created.now)
	return created
}

// DisableMechanisms disables mechanisms for an experiment. It must be called before the client is
// used.
func (c *Client) DisableMechanisms(disabled mechanism.Disabled) { c.disabled = disabled }

// SetTopology sets the regions of zones. Without it, all zones other than the client's own are
// considered equally distant. It must be called before the client is used.
func (c *Client) SetTopology(topology distance.Topology) {
	c.topology, c.zoneLatencies = topology, distance.NewZoneLatencies(topology)
}

// extraLatency returns how much longer a call to the most distant of the members takes than a
// call within the client's zone.
func (c *Client) extraLatency(members ...*replicav1.Member) (longest time.Duration) {
	view := c.zoneLatencies.View()
	for _, member := range members {
		longest = max(longest, view.ExtraLatency(member.Zone))
	}
	return longest
}

// ReplicaClient returns the client of the replica at an address.
func (c *Client) ReplicaClient(address string) replicav1connect.ReplicaServiceClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found := c.replicaClients[address]
	if found == nil {
		options := append(transport.ClientOptions(), connect.WithInterceptors(connect.UnaryInterceptorFunc(c.countCalls), connect.UnaryInterceptorFunc(recognizeRejections), connect.UnaryInterceptorFunc(c.verifyAnswerSystem)))
		found = replicav1connect.NewReplicaServiceClient(c.httpClient, "http://"+address, options...)
		c.replicaClients[address] = found
	}
	return found
}

// Append writes records of one program to a majority of its partition's group. It returns as soon
// as the write quorum has them; slower replicas still receive them.
func (c *Client) Append(ctx context.Context, program string, records ...*replicav1.Record) error {
	_, err := c.append(ctx, program, &replicav1.AppendRequest{Records: records})
	return err
}

// Probe returns nil if a majority of some group answers.
func (c *Client) Probe(ctx context.Context) error {
	_, err := c.append(ctx, strconv.FormatUint(rand.Uint64(), 36), &replicav1.AppendRequest{})
	return err
}

// AnsweredWithin reports whether any replica has answered any call within the limit.
func (c *Client) AnsweredWithin(limit time.Duration) bool {
	return c.reachability.anyAnsweredSince(c.now().Add(-limit))
}

// standingAnswer is an answer that contains the replica's standing in its group.
type standingAnswer interface {
	GetStanding() *replicav1.Standing
}

// callMember makes one call to a member and processes the standing in its answer. It returns nil
// if there was no answer. Unless ctx has ended, a missing answer is recorded as a failure of the
// member.
func callMember[Q, A any, P interface {
	*A
	standingAnswer
}](ctx context.Context, c *Client, group *replicav1.Group, member *replicav1.Member, timeout time.Duration, request *connect.Request[Q],
	call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) P {
	answer, _ := tryMember[Q, A, P](ctx, c, group, member, timeout, request, call)
	return answer
}

// tryMember is callMember, and also returns the error of the call.
func tryMember[Q, A any, P interface {
	*A
	standingAnswer
}](ctx context.Context, c *Client, group *replicav1.Group, member *replicav1.Member, timeout time.Duration, request *connect.Request[Q],
	call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (P, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := call(callCtx, request)
	if err == nil {
		answer := P(response.Msg)
		c.reachability.recordAnswer(member.Address)
		c.processStanding(group, member, answer.GetStanding())
		return answer, nil
	}
	if ctx.Err() == nil {
		c.reachability.recordFailure(member.Address, err)
	}
	return nil, err
}

// probe sends an empty append to one replica.
func (c *Client) probe(ctx context.Context, address string) error {
	_, err := c.ReplicaClient(address).Append(ctx, connect.NewRequest(&replicav1.AppendRequest{}))
	return err
}

// probeUnready asks a member for its standing in a group. It returns an answer that does not count, or
// nil if the member counts, does not answer, or the group has been replaced.
func (c *Client) probeUnready(ctx context.Context, group *replicav1.Group, member *replicav1.Member) *replicav1.AppendResponse {
	if current := c.groups.Group(group.Partition); current.GetEpoch() != group.Epoch {
		return nil
	}
	request := &replicav1.AppendRequest{Epoch: group.Epoch, Partition: group.Partition}
	answer := callMember(ctx, c, group, member, callTimeout, connect.NewRequest(request), c.ReplicaClient(member.Address).Append)
	if answer == nil || !isUnready(group, answer.Standing) {
		return nil
	}
	return answer
}

// processStanding records a replica's incarnation. It adopts a newer group from the replica, or
// announces a newer one to it.
func (c *Client) processStanding(group *replicav1.Group, member *replicav1.Member, standing *replicav1.Standing) {
	c.incarnations.record(group, member, standing)
	switch {
	case standing.Group != nil && standing.Group.Epoch > group.Epoch:
		c.groups.ApplyPeerGroup(standing.Group, member.Node)
	case standing.Epoch < group.Epoch:
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		// If the call fails, it is repeated after the replica's next answer.
		_, _ = c.ReplicaClient(member.Address).Announce(ctx, connect.NewRequest(&replicav1.AnnounceRequest{Group: group}))
	}
}

// preferredOrder returns the members of a group in the order in which they are called. Members that
// are down come last, after those that do not count. Among the others, the client's zone comes first,
// then its region, then other regions by measured latency. Equally distant members are in random order
// to spread the load.
func (c *Client) preferredOrder(group *replicav1.Group) []*replicav1.Member {
	members := slices.Clone(group.Members)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	view := c.zoneLatencies.View()
	rank := func(member *replicav1.Member) int {
		if c.reachability.isDown(member.Address) {
			return math.MaxInt
		}
		if c.unready.answerOf(group.Partition, member.Address) != nil {
			return math.MaxInt - 1
		}
		return view.Rank(member.Zone)
	}
	slices.SortStableFunc(members, func(a, b *replicav1.Member) int { return cmp.Compare(rank(a), rank(b)) })
	return members
}
