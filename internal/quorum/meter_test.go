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

// newsOnly answers questions for news, with a forwarder that is as long as wanted.
type newsOnly struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	bytes int
}

func (n newsOnly) Directory(context.Context, *connect.Request[replicav1.DirectoryRequest]) (*connect.Response[replicav1.DirectoryResponse], error) {
	return connect.NewResponse(&replicav1.DirectoryResponse{Forwarders: []string{strings.Repeat("x", n.bytes)}}), nil
}

// oneGroup tells of one group.
type oneGroup struct{ group *replicav1.Group }

func (o oneGroup) Group(uint32) *replicav1.Group           { return o.group }
func (o oneGroup) Groups() []*replicav1.Group              { return []*replicav1.Group{o.group} }
func (o oneGroup) ApplyPeerGroup(*replicav1.Group, string) {}

// addedBytes adds up by class and cause.
type addedBytes struct {
	mutex sync.Mutex
	added map[string]int
}

func (a *addedBytes) Add(class distance.Class, cause traffic.Cause, bytes int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.added[class.String()+"/"+cause.String()] += bytes
}

func (a *addedBytes) of(name string) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.added[name]
}

func TestTrafficIsCountedByDistance(t *testing.T) {
	const asked, answered = 3000, 7000
	mux := http.NewServeMux()
	mux.Handle(replicav1connect.NewReplicaServiceHandler(newsOnly{bytes: answered}))
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := NewClient(oneGroup{group: &replicav1.Group{Members: []*replicav1.Member{{Address: address, Zone: "a2"}}}}, "a1", http.DefaultClient)
	client.SetTopology(distance.NewTopology("a1", threeRegions))
	counted := &addedBytes{added: make(map[string]int)}
	client.MeterTraffic(counted)

	_, err := client.ReplicaClient(address).Directory(context.Background(), connect.NewRequest(&replicav1.DirectoryRequest{Forwarder: strings.Repeat("y", asked)}))
	require.NoError(t, err)
	require.InDelta(t, asked+answered, counted.of("region/news"), 100)
	require.Zero(t, counted.of("other_regions/news"))

	_, err = client.ReplicaClient(address).Append(context.Background(), connect.NewRequest(&replicav1.AppendRequest{Programs: []string{strings.Repeat("z", asked)}}))
	require.Error(t, err, "it is not implemented")
	require.GreaterOrEqual(t, counted.of("region/records"), asked)
}
