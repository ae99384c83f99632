package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/gen/gossipv1"
	"github.com/barleyshelf/barleyshelf/internal/membership"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// checkRemovals checks that each removal on the network has two witnesses or is
// voluntary.
func checkRemovals(t require.TestingT, s *simulation) {
	s.inspect = func(from *peer, m *gossipv1.Message) {
		for _, fact := range m.Facts {
			if fact.Minor != 1<<64-1 || fact.Key[:2] != "n/" {
				continue
			}
			var value gossipv1.NodeFact
			require.NoError(t, proto.Unmarshal(fact.Value, &value))
			distinctWitnesses := map[string]bool{}
			for _, witness := range value.Witnesses {
				distinctWitnesses[witness] = true
			}
			isVoluntary := distinctWitnesses[fact.Key[2:]]
			require.True(t, isVoluntary || len(distinctWitnesses) >= 2, "removal of %s by %v", fact.Key, value.Witnesses)
		}
	}
}

// TestStateMachine injects random faults and then heals them. After that all daemons
// must agree, and at no time may an item version decrease or a removal have fewer than
// two witnesses.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		count := rapid.IntRange(3, 10).Draw(t, "daemons")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), count, zones)
		checkRemovals(t, s)
		s.run(6 * time.Second)
		published := map[string]publication{}
		steps := rapid.IntRange(1, 8).Draw(t, "steps")
		for range steps {
			s.randomAction(t, published)
			s.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond)
		}
		s.heal()
		require.Empty(t, s.faults)
		require.Empty(t, s.disagreement())
		require.Empty(t, s.itemDisagreement(published))
	})
}

// randomAction performs one random action on the cluster.
func (s *simulation) randomAction(t *rapid.T, published map[string]publication) {
	p := s.peers[rapid.IntRange(0, len(s.peers)-1).Draw(t, "daemon")]
	switch rapid.SampledFrom([]string{"loss", "cut", "heal", "crash", "restart", "pause", "wake", "publish", "publish"}).Draw(t, "action") {
	case "loss":
		s.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
	case "cut":
		s.cutZones[p.node.Zone] = true
	case "heal":
		clear(s.cutZones)
	case "crash":
		p.running = false
	case "restart":
		if !p.running {
			s.start(p)
		}
	case "pause":
		p.paused = true
	case "wake":
		p.paused = false
	case "publish":
		if p.running && !p.paused {
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(t, "key"))
			version := published[key].version + 1
			published[key] = publication{version, p, p.node.Incarnation}
			item := membership.Item{Key: key, Version: version, Value: []byte(p.node.ID)}
			p.state.Publish(s.now, item)
			s.collect(p)
		}
	}
}

// heal ends all faults, restarts stopped daemons and waits until the daemons agree.
func (s *simulation) heal() {
	s.loss = 0
	clear(s.cutZones)
	for _, p := range s.peers {
		p.paused = false
		if !p.running {
			s.start(p)
		}
	}
	for range 30 {
		s.run(3 * time.Second)
		if s.disagreement() == "" {
			s.run(6 * time.Second)
			return
		}
	}
}

func TestOnlyCrashedDaemonIsRemoved(t *testing.T) {
	s := newSimulation(1, 12, 3)
	checkRemovals(t, s)
	s.loss = 0.01
	s.run(8 * time.Second)
	require.Empty(t, s.disagreement())
	s.peers[7].running = false
	s.run(5 * time.Second)
	for _, viewer := range s.peers {
		if viewer.running {
			node, _ := viewer.state.Node("n07")
			require.Equal(t, structs.NodeDead, node.State, "at %s", viewer.node.ID)
		}
	}
	require.Empty(t, s.disagreement())
	for _, p := range s.peers {
		require.Zero(t, p.removals)
	}
}

func TestPartitionedZoneRecovers(t *testing.T) {
	s := newSimulation(2, 15, 3)
	s.run(8 * time.Second)
	s.cutZones["z1"] = true
	s.run(15 * time.Second)
	for _, viewer := range s.peers {
		for _, subject := range s.peers {
			node, _ := viewer.state.Node(subject.node.ID)
			want := structs.NodeAlive
			if (viewer.node.Zone == "z1") != (subject.node.Zone == "z1") {
				want = structs.NodeSuspect
			}
			require.Equal(t, want, node.State, "%s at %s", subject.node.ID, viewer.node.ID)
		}
	}
	s.peers[1].state.Publish(s.now, membership.Item{Key: "inside", Version: 1})
	s.peers[0].state.Publish(s.now, membership.Item{Key: "outside", Version: 1})
	clear(s.cutZones)
	s.run(10 * time.Second)
	require.Empty(t, s.disagreement())
	require.Empty(t, s.itemDisagreement(map[string]publication{
		"inside":  {1, s.peers[1], 1},
		"outside": {1, s.peers[0], 1},
	}))
	for _, p := range s.peers {
		require.Zero(t, p.removals, "%s was removed", p.node.ID)
	}
}

func TestPartitionedRegionsRemoveNobody(t *testing.T) {
	for zones := 4; zones <= 9; zones++ {
		s := newSimulation(uint64(zones), 4*zones, zones)
		s.run(8 * time.Second)
		inSecondRegion := func(p *peer) bool { return int(p.node.Zone[1]-'0') >= zones/2 }
		for _, p := range s.peers {
			s.rack[p] = inSecondRegion(p)
		}
		s.run(30 * time.Second)
		for _, viewer := range s.peers {
			for _, subject := range s.peers {
				node, _ := viewer.state.Node(subject.node.ID)
				want := structs.NodeAlive
				if inSecondRegion(viewer) != inSecondRegion(subject) {
					want = structs.NodeSuspect
				}
				require.Equal(t, want, node.State, "%d zones: %s at %s", zones, subject.node.ID, viewer.node.ID)
			}
		}
		clear(s.rack)
		s.run(10 * time.Second)
		require.Empty(t, s.disagreement())
		for _, p := range s.peers {
			require.Zero(t, p.removals)
		}
	}
}

func TestPartitionedRackRemovesNobody(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		s := newSimulation(seed, 24, 2)
		s.run(8 * time.Second)
		for _, index := range []int{0, 2, 4, 6, 8} {
			s.rack[s.peers[index]] = true
		}
		s.run(15 * time.Second)
		rackMember, _ := s.peers[1].state.Node("n04")
		require.Equal(t, structs.NodeDead, rackMember.State, "the others must remove the rack")
		s.rack = map[*peer]bool{}
		s.run(20 * time.Second)
		require.Empty(t, s.disagreement())
		for index, p := range s.peers {
			if index%2 == 1 || index > 8 {
				require.Zero(t, p.removals, "seed %d: %s was removed by the rack", seed, p.node.ID)
			}
		}
	}
}

func TestPausedDaemonLearnsOfItsRemoval(t *testing.T) {
	s := newSimulation(3, 9, 3)
	s.run(8 * time.Second)
	paused := s.peers[4]
	paused.paused = true
	s.run(6 * time.Second)
	node, _ := s.peers[0].state.Node(paused.node.ID)
	require.Equal(t, structs.NodeDead, node.State)
	paused.paused = false
	s.run(15 * time.Second)
	require.Equal(t, 1, paused.removals)
	require.Equal(t, structs.Incarnation(2), paused.node.Incarnation)
	require.Empty(t, s.disagreement())
}

func TestOneWitnessIsNotEnoughForRemoval(t *testing.T) {
	s := newSimulation(4, 3, 3)
	s.run(8 * time.Second)
	s.peers[1].state.Receive(s.now, &gossipv1.Message{From: "n00", Incarnation: 1, Facts: []*gossipv1.Fact{{
		Key: "n/n02", Major: 1, Minor: 1<<64 - 1, Value: mustMarshal(t, &gossipv1.NodeFact{Zone: "z2", Witnesses: []string{"n00", "n00"}}),
	}}})
	node, _ := s.peers[1].state.Node("n02")
	require.Equal(t, structs.NodeAlive, node.State)
}

func TestAccusedDaemonRefutesAccusation(t *testing.T) {
	s := newSimulation(5, 6, 2)
	s.run(8 * time.Second)
	for _, witness := range []string{"n00", "n02"} {
		s.peers[2].state.Receive(s.now, &gossipv1.Message{From: witness, Incarnation: 1,
			Accusations: []*gossipv1.Accusation{{Subject: "n04", Incarnation: 1, Witness: witness}}})
	}
	node, _ := s.peers[2].state.Node("n04")
	require.Equal(t, structs.NodeSuspect, node.State)
	s.run(3 * time.Second)
	require.Empty(t, s.disagreement())
	require.Zero(t, s.peers[4].removals)
}

func mustMarshal(t *testing.T, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	require.NoError(t, err)
	return data
}
