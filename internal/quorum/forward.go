package quorum

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	// forwardAfter is how long a member that is taken to answer has before the same
	// call goes to it through another gateway too, where calls do not usually take
	// longer. Calls may be repeated: records are written once.
	forwardAfter = 60 * time.Millisecond
	// forwardTimeout bounds the way through one gateway.
	forwardTimeout = 250 * time.Millisecond
	// maxForwards bounds the calls that this process has under way through others,
	// and maxForwarded those that it makes for others.
	maxForwards  = 32
	maxForwarded = 64
)

// forwarders are gateways through which calls go to members that this process does
// not reach. The answers are the members' own, so nothing that counts rests on
// them.
type forwarders struct {
	http *http.Client

	inFlight atomic.Int64
	mutex    sync.Mutex
	// addresses are in the order in which they are tried: one that worked comes
	// first, one that failed last.
	addresses []string
}

// set replaces the known addresses.
func (f *forwarders) set(addresses []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.addresses = slices.Clone(addresses)
}

func (f *forwarders) digest() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return ForwardersDigest(f.addresses)
}

func (f *forwarders) first() (string, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.addresses) == 0 {
		return "", false
	}
	return f.addresses[0], true
}

// putLast moves an address that failed to the end.
func (f *forwarders) putLast(failed string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if i := slices.Index(f.addresses, failed); i >= 0 {
		f.addresses = append(slices.Delete(f.addresses, i, i+1), failed)
	}
}

// call makes one call through one other gateway; nil means that there was no
// answer.
func (f *forwarders) call(ctx context.Context, request *replicav1.ForwardRequest) *replicav1.ForwardResponse {
	address, found := f.first()
	if !found || f.inFlight.Add(1) > maxForwards {
		return nil
	}
	defer f.inFlight.Add(-1)
	call, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	client := replicav1connect.NewForwardServiceClient(f.http, "http://"+address, transport.ClientOptions()...)
	response, err := client.Forward(call, connect.NewRequest(request))
	if err != nil {
		f.putLast(address)
		return nil
	}
	return response.Msg
}

// forward calls a member through another gateway; nil means that there was no
// answer. A member that refuses connections is not reached from elsewhere either.
func (c *Client) forward(ctx context.Context, request *replicav1.ForwardRequest) *replicav1.ForwardResponse {
	if ctx.Err() != nil || c.reach.refuses(request.Address) {
		return nil
	}
	response := c.forwarders.call(ctx, request)
	if response == nil {
		return nil
	}
	c.counts.forwarded.Add(1)
	c.groups.ApplyPeerGroup(response.GetAppend().GetStanding().GetGroup(), request.Address)
	c.groups.ApplyPeerGroup(response.GetReadChain().GetStanding().GetGroup(), request.Address)
	c.groups.ApplyPeerGroup(response.GetGrant().GetStanding().GetGroup(), request.Address)
	c.groups.ApplyPeerGroup(response.GetLoan().GetStanding().GetGroup(), request.Address)
	return response
}

// ForwardersDigest is the same for the same addresses in any order, and 0 for none.
func ForwardersDigest(addresses []string) uint64 {
	if len(addresses) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(addresses))
	return xxhash.Sum64String(strings.Join(sorted, ",")) | 1
}

// ForwarderAddress makes calls for gateways that do not reach a member. It implements
// replicav1connect.ForwardServiceHandler.
type Forwarder struct {
	client   *Client
	inFlight atomic.Int64
}

// NewForwarder returns a forwarder that calls members as the client does.
func NewForwarder(client *Client) *Forwarder { return &Forwarder{client: client} }

// Forward makes one call to a member of a group in force.
func (f *Forwarder) Forward(ctx context.Context, request *connect.Request[replicav1.ForwardRequest]) (*connect.Response[replicav1.ForwardResponse], error) {
	defer f.inFlight.Add(-1)
	if f.inFlight.Add(1) > maxForwarded {
		return nil, connect.NewError(connect.CodeResourceExhausted, &TooManyForwardedCalls{Limit: maxForwarded})
	}
	address := request.Msg.Address
	if !f.client.isMember(address) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, &UnknownMember{Address: address})
	}
	response := &replicav1.ForwardResponse{}
	switch call := request.Msg.Call.(type) {
	case *replicav1.ForwardRequest_Append:
		answer, err := f.client.ReplicaClient(address).Append(ctx, connect.NewRequest(call.Append))
		if err != nil {
			return nil, err
		}
		response.Answer = &replicav1.ForwardResponse_Append{Append: answer.Msg}
	case *replicav1.ForwardRequest_ReadChain:
		answer, err := f.client.ReplicaClient(address).ReadChain(ctx, connect.NewRequest(call.ReadChain))
		if err != nil {
			return nil, err
		}
		response.Answer = &replicav1.ForwardResponse_ReadChain{ReadChain: answer.Msg}
	case *replicav1.ForwardRequest_Grant:
		answer, err := f.client.ReplicaClient(address).Grant(ctx, connect.NewRequest(call.Grant))
		if err != nil {
			return nil, err
		}
		response.Answer = &replicav1.ForwardResponse_Grant{Grant: answer.Msg}
	case *replicav1.ForwardRequest_Loan:
		answer, err := f.client.ReplicaClient(address).Loan(ctx, connect.NewRequest(call.Loan))
		if err != nil {
			return nil, err
		}
		response.Answer = &replicav1.ForwardResponse_Loan{Loan: answer.Msg}
	}
	return connect.NewResponse(response), nil
}

// isMember reports whether a member of any group in force has the address.
func (c *Client) isMember(address string) bool {
	return slices.ContainsFunc(c.members(), func(member directory.Replica) bool { return member.Address == address })
}
