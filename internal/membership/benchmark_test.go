package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/membership"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// newLargeState returns a daemon that knows 1,499 others in 17 zones, the nodes and the
// current time.
func newLargeState() (*membership.State, []structs.Node, time.Time) {
	now := time.Unix(1000, 0)
	var nodes []structs.Node
	var facts []*gossipv1.Fact
	for i := range 1500 {
		node := structs.Node{
			ID:          structs.NodeID(fmt.Sprintf("daemon-%04d", i)),
			Zone:        structs.ZoneName(fmt.Sprintf("zone-%02d", i%17)),
			Region:      fmt.Sprintf("region-%d", i%17%6),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:1", i/256, i%256),
		}
		nodes = append(nodes, node)
		facts = append(facts, membership.InitialNodeFact(node))
	}
	self := nodes[0]
	self.Incarnation = 1
	state := membership.New(membership.Options{Self: self, Random: rand.New(rand.NewPCG(1, 1))})
	state.Tick(now)
	state.Receive(now, &gossipv1.Message{From: "seed", Facts: facts})
	state.Tick(now.Add(time.Second))
	state.Drain()
	return state, nodes, now.Add(time.Second)
}

// BenchmarkHeartbeat measures the processing of one heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	state, nodes, now := newLargeState()
	number := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		number++
		state.Receive(now, &gossipv1.Message{From: string(nodes[17].ID), Incarnation: 1, Heartbeat: number})
		state.Drain()
	}
}

// BenchmarkNewIncarnation measures the processing of a daemon's restart, including the
// derivation of a new topology.
func BenchmarkNewIncarnation(b *testing.B) {
	state, nodes, now := newLargeState()
	node := nodes[17]
	b.ReportAllocs()
	for b.Loop() {
		node.Incarnation++
		fact := membership.InitialNodeFact(node)
		removal := &gossipv1.Fact{Key: fact.Key, Major: fact.Major, Minor: 1<<64 - 1, Value: encodeVoluntaryRemoval(node)}
		state.Receive(now, &gossipv1.Message{From: "x", Facts: []*gossipv1.Fact{removal}})
		state.Tick(now)
		node.Incarnation++
		state.Receive(now, &gossipv1.Message{From: "x", Facts: []*gossipv1.Fact{membership.InitialNodeFact(node)}})
		state.Tick(now)
		state.Drain()
	}
}

func encodeVoluntaryRemoval(node structs.Node) []byte {
	value, err := proto.Marshal(&gossipv1.NodeFact{Zone: string(node.Zone), Witnesses: []string{string(node.ID)}})
	if err != nil {
		return nil
	}
	return value
}
