package quorum

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
	"github.com/barleyshelf/barleyshelf/internal/traffic"
)

// directoryServer answers Directory calls with a forwarder address of the given length.
type directoryServer struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	bytes int
}

func (s directoryServer) Directory(context.Context, *connect.Request[replicav1.DirectoryRequest]) (*connect.Response[replicav1.DirectoryResponse], error) {
	return connect.NewResponse(&replicav1.DirectoryResponse{Forwarders: []string{strings.Repeat("x", s.bytes)}}), nil
}

// singleGroup provides a single group.
type singleGroup struct{ group *replicav1.Group }

func (g singleGroup) Group(uint32) *replicav1.Group           { return g.group }
func (g singleGroup) Groups() []*replicav1.Group              { return []*replicav1.Group{g.group} }
func (g singleGroup) ApplyPeerGroup(*replicav1.Group, string) {}

// byteCounter sums bytes by distance class and cause.
type byteCounter struct {
	mutex sync.Mutex
	added map[string]int
}

func (b *byteCounter) Add(class distance.Class, cause traffic.Cause, bytes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.added[class.String()+"/"+cause.String()] += bytes
}

func (b *byteCounter) count(name string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.added[name]
}

func TestTrafficIsCountedByDistance(t *testing.T) {
	const requestBytes, responseBytes = 3000, 7000
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaServiceHandler(directoryServer{bytes: responseBytes}))
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := NewClient(singleGroup{group: &replicav1.Group{Members: []*replicav1.Member{{Address: address, Zone: "a2"}}}}, "a1", http.DefaultClient)
	client.SetTopology(distance.NewTopology("a1", threeRegions))
	counter := &byteCounter{added: make(map[string]int)}
	client.MeterTraffic(counter)

	_, err := client.ReplicaClient(address).Directory(context.Background(), connect.NewRequest(&replicav1.DirectoryRequest{Forwarder: strings.Repeat("y", requestBytes)}))
	require.NoError(t, err)
	require.InDelta(t, requestBytes+responseBytes, counter.count("region/news"), 100)
	require.Zero(t, counter.count("other_regions/news"))

	_, err = client.ReplicaClient(address).Append(context.Background(), connect.NewRequest(&replicav1.AppendRequest{Programs: []string{strings.Repeat("z", requestBytes)}}))
	require.Error(t, err, "Append is not implemented")
	require.GreaterOrEqual(t, counter.count("region/records"), requestBytes)
}
