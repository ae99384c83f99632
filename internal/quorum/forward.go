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
	// forwardHedgeDelay is how long a member that is considered reachable has to answer before
	// the same call is also made through another gateway. The delay is longer where calls usually
	// take longer. Repeating a call is safe, because a record is only written once.
	forwardHedgeDelay = 60 * time.Millisecond
	// forwardTimeout limits a call through one gateway.
	forwardTimeout = 250 * time.Millisecond
	// maxOutgoingForwards limits the concurrent calls that this process makes through other
	// gateways, maxIncomingForwards those that it makes on their behalf.
	maxOutgoingForwards = 32
	maxIncomingForwards = 64
)

// forwarders are other gateways that forward calls to members which this process cannot reach.
// The answers are the members' own, so no decision depends on the forwarding gateway.
type forwarders struct {
	httpClient *http.Client

	inFlight atomic.Int64
	mutex    sync.Mutex
	// addresses are in the order in which they are tried. A successful one stays first, a failed
	// one moves to the end.
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

func (f *forwarders) preferredAddress() (string, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.addresses) == 0 {
		return "", false
	}
	return f.addresses[0], true
}

// moveToEnd moves a failed address to the end of the list.
func (f *forwarders) moveToEnd(failed string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if i := slices.Index(f.addresses, failed); i >= 0 {
		f.addresses = append(slices.Delete(f.addresses, i, i+1), failed)
	}
}

// call makes one call through another gateway. It returns nil if there was no answer.
func (f *forwarders) call(ctx context.Context, request *replicav1.ForwardRequest) *replicav1.ForwardResponse {
	address, found := f.preferredAddress()
	if !found {
		return nil
	}
	defer f.inFlight.Add(-1)
	if f.inFlight.Add(1) > maxOutgoingForwards {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	client := replicav1connect.NewForwardServiceClient(f.httpClient, "http://"+address, transport.ClientOptions()...)
	response, err := client.Forward(callCtx, connect.NewRequest(request))
	if err != nil {
		f.moveToEnd(address)
		return nil
	}
	return response.Msg
}

// forward calls a member through another gateway. It returns nil if there was no answer. A member
// that refuses connections is not called, because other gateways cannot reach it either.
func (c *Client) forward(ctx context.Context, request *replicav1.ForwardRequest) *replicav1.ForwardResponse {
	if ctx.Err() != nil || c.reachability.refusesConnections(request.Address) {
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
	c.groups.ApplyPeerGroup(response.GetReadStream().GetStanding().GetGroup(), request.Address)
	return response
}

// ForwardersDigest returns a digest that does not depend on the order of the addresses, and 0 for
// no addresses.
func ForwardersDigest(addresses []string) uint64 {
	if len(addresses) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(addresses))
	return xxhash.Sum64String(strings.Join(sorted, ",")) | 1
}

// Forwarder calls members on behalf of gateways that cannot reach them. It implements
// replicav1connect.ForwardServiceHandler.
type Forwarder struct {
	client   *Client
	inFlight atomic.Int64
}

// NewForwarder returns a forwarder that calls members with the client.
func NewForwarder(client *Client) *Forwarder { return &Forwarder{client: client} }

// Forward makes one call to a member of a current group.
func (f *Forwarder) Forward(ctx context.Context, request *connect.Request[replicav1.ForwardRequest]) (*connect.Response[replicav1.ForwardResponse], error) {
	defer f.inFlight.Add(-1)
	if f.inFlight.Add(1) > maxIncomingForwards {
		return nil, connect.NewError(connect.CodeResourceExhausted, &TooManyForwardedCalls{Limit: maxIncomingForwards})
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
	case *replicav1.ForwardRequest_ReadStream:
		answer, err := f.client.ReplicaClient(address).ReadStream(ctx, connect.NewRequest(call.ReadStream))
		if err != nil {
			return nil, err
		}
		response.Answer = &replicav1.ForwardResponse_ReadStream{ReadStream: answer.Msg}
	}
	return connect.NewResponse(response), nil
}

// isMember reports whether a member of any current group has the address.
func (c *Client) isMember(address string) bool {
	return slices.ContainsFunc(c.allMembers(), func(member directory.Replica) bool { return member.Address == address })
}
