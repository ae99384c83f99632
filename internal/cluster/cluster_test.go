package cluster_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/cluster"
	"github.com/barleyshelf/barleyshelf/internal/config"
	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// network delivers messages in memory, unless their receiver is frozen.
type network struct {
	mutex    sync.Mutex
	clusters map[string]*cluster.Cluster
	frozen   map[string]bool
}

type endpoint struct {
	network *network
	address string
}

func (e *endpoint) SendGossip(to structs.Node, m *gossipv1.Message) {
	e.network.mutex.Lock()
	receiver := e.network.clusters[to.PeerAddress]
	cut := e.network.frozen[to.PeerAddress] || e.network.frozen[e.address]
	e.network.mutex.Unlock()
	if receiver != nil && !cut {
		time.AfterFunc(time.Millisecond, func() { receiver.Receive(m) })
	}
}

func (n *network) freeze(address string, frozen bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.frozen[address] = frozen
}

func (n *network) start(t *testing.T, ctx context.Context, index int, store *config.Store, onRemoved func(structs.Incarnation) structs.Incarnation) *cluster.Cluster {
	self := structs.Node{
		ID:          structs.NodeID(fmt.Sprintf("node-%d", index)),
		Incarnation: 1,
		Zone:        structs.ZoneName(fmt.Sprintf("zone-%d", index%3)),
		PeerAddress: fmt.Sprintf("10.0.0.%d:1", index),
	}
	c, err := cluster.Start(ctx, cluster.Options{
		Self:      self,
		Seeds:     []string{"10.0.0.0:1"},
		Transport: &endpoint{n, self.PeerAddress},
		Document:  store.Document(),
		Seed:      uint64(index + 1),
		OnRemoved: onRemoved,
	})
	require.NoError(t, err)
	n.mutex.Lock()
	n.clusters[self.PeerAddress] = c
	n.mutex.Unlock()
	return c
}

func newNetwork() *network {
	return &network{clusters: map[string]*cluster.Cluster{}, frozen: map[string]bool{}}
}

func startMany(t *testing.T, ctx context.Context, n *network, count int) ([]*cluster.Cluster, []*config.Store) {
	var clusters []*cluster.Cluster
	var stores []*config.Store
	for i := range count {
		store, err := config.NewStore("")
		require.NoError(t, err)
		stores = append(stores, store)
		clusters = append(clusters, n.start(t, ctx, i, store, nil))
	}
	return clusters, stores
}

func TestMembersItemsAndConfigurationReachAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clusters, stores := startMany(t, ctx, newNetwork(), 9)
		time.Sleep(8 * time.Second)
		before, newer := stores[4].Offer(&structs.Configuration{Version: 7, PlanID: "first"})
		require.True(t, newer)
		clusters[4].DocumentChanged(before)
		clusters[2].Publish(cluster.Item{Key: "leader/1", Version: 3, Value: []byte("node-2")})
		time.Sleep(8 * time.Second)
		for i, c := range clusters {
			require.Len(t, c.Members(), 9)
			item, known := c.Item("leader/1")
			require.True(t, known)
			require.Equal(t, "node-2", string(item.Value))
			require.NotNil(t, stores[i].InForce(), "daemon %d", i)
			require.Equal(t, uint64(7), stores[i].InForce().Version)
		}
	})
}

func TestLeaveAndRemovalAndRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := newNetwork()
		clusters, _ := startMany(t, ctx, n, 9)
		time.Sleep(8 * time.Second)
		require.NoError(t, clusters[5].Leave(ctx))
		n.freeze("10.0.0.7:1", true)
		time.Sleep(6 * time.Second)
		for _, c := range []*cluster.Cluster{clusters[0], clusters[1], clusters[8]} {
			left, _ := c.View().Node("node-5")
			require.Equal(t, structs.NodeDead, left.State)
			frozen, _ := c.View().Node("node-7")
			require.Equal(t, structs.NodeDead, frozen.State)
		}
		n.freeze("10.0.0.7:1", false)
		time.Sleep(15 * time.Second)
		back, _ := clusters[0].View().Node("node-7")
		require.Equal(t, structs.NodeAlive, back.State)
		require.Equal(t, structs.Incarnation(2), back.Incarnation)
	})
}
