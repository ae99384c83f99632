package hollow_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/peer"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// countedConn counts the bytes that a connection carries.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	return n, err
}

// arrivals signals each gossip message that arrived; it takes no other.
type arrivals struct {
	peer.Handler
	arrived chan struct{}
}

func (a arrivals) ReceiveGossip(*gossipv1.Message) { a.arrived <- struct{}{} }

// BenchmarkGossipTransport measures what one gossip message costs over the real
// transport on a kept connection: bytes each way beyond the message itself and
// processor time of both ends together.
func BenchmarkGossipTransport(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	received := arrivals{arrived: make(chan struct{}, 1)}
	server := &http.Server{Handler: peer.NewServer("receiver", received), Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var sent, answered atomic.Int64
	client := peer.NewClient(peer.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{conn, &sent, &answered}, err
	}})
	defer client.Close()
	to := structs.Node{PeerAddress: listener.Addr().String()}
	message := &gossipv1.Message{From: "daemon-0001", Incarnation: 1 << 40, Heartbeat: 1000, Digest: 1, DocumentVersion: 14000}
	exchange := func() {
		client.SendGossip(to, message)
		<-received.arrived
	}
	for range 10 {
		exchange()
	}
	sent.Store(0)
	answered.Store(0)
	before := processTime(b)
	for b.Loop() {
		exchange()
	}
	used := processTime(b) - before
	b.ReportMetric(float64(sent.Load())/float64(b.N)-float64(proto.Size(message)), "sent-overhead-B/op")
	b.ReportMetric(float64(answered.Load())/float64(b.N), "answer-B/op")
	b.ReportMetric(float64(used)/float64(b.N), "cpu-ns/op")
}

// processTime returns the processor time of the process, in nanoseconds.
func processTime(b *testing.B) int64 {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return usage.Utime.Nano() + usage.Stime.Nano()
}
