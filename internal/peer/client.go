package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/limitv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1/peerv1connect"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	// gossipTimeout bounds one failure detection message: a late one is worth
	// less than the next one.
	gossipTimeout = 2 * time.Second
	dialTimeout   = 2 * time.Second
	// pingInterval and pingTimeout find a connection that a cut link left open.
	// Requests do not wait for it: an unacknowledged one is asked elsewhere.
	pingInterval = 5 * time.Second
	pingTimeout  = 2 * time.Second
)

// Dialer opens connections to peers.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Options set up a Client.
type Options struct {
	// DialTLS opens connections secured by mutual TLS; nil means plain TCP.
	DialTLS Dialer
	// Dial replaces the plain dialer; nil means net.Dialer.
	Dial Dialer
	// Cluster names the cluster that the client calls.
	Cluster string
	// Resolve returns the peer address (IP:port) of a node, if it is known.
	Resolve func(structs.NodeID) (string, bool)
}

// Client sends to other daemons. It is safe for concurrent use.
type Client struct {
	options Options
	// inflow bounds what is held of peers' answers.
	inflow *transport.Inflow
	http   *http.Client
	scheme string

	mutex sync.Mutex
	links map[structs.NodeID]*journalLink
	done  chan struct{}
	once  sync.Once
}

// NewClient returns a client that holds one connection to each peer it talks to.
func NewClient(options Options) *Client {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(options.DialTLS == nil)
	connections := &http.Transport{
		DialContext:    options.Dial,
		DialTLSContext: options.DialTLS,
		Protocols:      protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingInterval, PingTimeout: pingTimeout,
			MaxReceiveBufferPerStream: maxStreamBufferBytes, MaxReceiveBufferPerConnection: maxConnectionBufferBytes,
		},
		MaxResponseHeaderBytes: transport.MaxResponseHeadBytes,
	}
	scheme := "https"
	if options.DialTLS == nil {
		scheme = "http"
	}
	inflow := newInflow()
	return &Client{
		options: options,
		inflow:  inflow,
		http:    inflow.NewClient(&http.Client{Transport: &namesCluster{cluster: options.Cluster, next: connections}}),
		scheme:  scheme,
		links:   map[structs.NodeID]*journalLink{},
		done:    make(chan struct{}),
	}
}

// RegisterMetrics registers the counters of refused answers.
func (c *Client) RegisterMetrics(registry *telemetry.Registry) {
	c.inflow.RegisterMetrics(registry, "peers")
}

// Close ends all streams and connections.
func (c *Client) Close() {
	c.once.Do(func() { close(c.done) })
	c.http.CloseIdleConnections()
}

// Send queues replication messages for a node. It never blocks; messages are
// lost when the node cannot be reached or its queue is full.
func (c *Client) Send(to structs.NodeID, batch *journalv1.Batch) {
	c.link(to).enqueue(batch)
}

// SendGossip sends one failure detection message; it is lost when the peer
// cannot be reached.
func (c *Client) SendGossip(to structs.Node, message *gossipv1.Message) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
		defer cancel()
		_, _ = c.service(to.PeerAddress).Gossip(ctx, connect.NewRequest(message))
	}()
}

// SendLimit sends shares of tenants' rates; they are lost when the peer cannot
// be reached.
func (c *Client) SendLimit(address string, message *limitv1.Message) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
		defer cancel()
		_, _ = c.service(address).Limit(ctx, connect.NewRequest(message))
	}()
}

// Inspect asks a peer for what operators want to know of it.
func (c *Client) Inspect(ctx context.Context, address string) (*peerv1.InspectResponse, error) {
	response, err := c.service(address).Inspect(ctx, connect.NewRequest(&peerv1.InspectRequest{}))
	if err != nil {
		return nil, c.callFailed(address, err)
	}
	return response.Msg, nil
}

// Drain begins the peer's planned stop.
func (c *Client) Drain(ctx context.Context, address string) error {
	if _, err := c.service(address).Drain(ctx, connect.NewRequest(&peerv1.DrainRequest{})); err != nil {
		return c.callFailed(address, err)
	}
	return nil
}

// Forward runs request at the peer and calls receive for each event. The error
// is the failure the peer reported, *Unreachable, *OtherCluster, or receive's own.
func (c *Client) Forward(ctx context.Context, address string, request *peerv1.ForwardRequest, receive func(*peerv1.ForwardEvent) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.service(address).Forward(ctx, connect.NewRequest(request))
	if err != nil {
		return c.callFailed(address, err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		event := stream.Msg()
		if reported := event.GetFailure(); reported != nil {
			return decodeFailure(reported)
		}
		if err := receive(event); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return c.callFailed(address, err)
	}
	return nil
}

// ConfigInForce asks a peer for the version of the configuration it acts on.
func (c *Client) ConfigInForce(ctx context.Context, address string) (uint64, error) {
	response, err := c.service(address).ConfigInForce(ctx, connect.NewRequest(&peerv1.ConfigInForceRequest{}))
	if err != nil {
		return 0, c.callFailed(address, err)
	}
	return response.Msg.GetVersion(), nil
}

func (c *Client) service(address string) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(c.http, c.scheme+"://"+address, clientOptions()...)
}

func (c *Client) link(to structs.NodeID) *journalLink {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	link, known := c.links[to]
	if !known {
		link = newJournalLink(c, to)
		c.links[to] = link
		go link.run()
	}
	return link
}
