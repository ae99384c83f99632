package quorum

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1/replicav1connect"
)

// turnMember is a member that stores some turns.
type turnMember struct {
	replicav1connect.UnimplementedReplicaServiceHandler
	seat  uint32
	turns map[string]*replicav1.Turn
	// unrecovered makes the member unable to prove absence.
	unrecovered atomic.Bool
}

func (m *turnMember) ReadChain(_ context.Context, request *connect.Request[replicav1.ReadChainRequest]) (*connect.Response[replicav1.ReadChainResponse], error) {
	response := &replicav1.ReadChainResponse{
		Standing: &replicav1.Standing{Epoch: 1, Member: true, Recovered: !m.unrecovered.Load(), Seat: m.seat, Incarnation: 1},
	}
	if turn := m.turns[request.Msg.Id]; turn != nil {
		response.Turns = []*replicav1.Turn{turn}
	}
	return connect.NewResponse(response), nil
}

// startTurnMember starts a member on a free port and returns its address.
func startTurnMember(t *testing.T, member *turnMember) string {
	_, handler := replicav1connect.NewReplicaServiceHandler(member)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// staticGroups are groups that never change.
type staticGroups []*replicav1.Group

func (g staticGroups) Group(partition uint32) *replicav1.Group { return g[partition] }
func (g staticGroups) Groups() []*replicav1.Group              { return g }
func (staticGroups) ApplyPeerGroup(*replicav1.Group, string)   {}

// startTurnMembers starts three members for each partition. Each member stores all turns of its
// partition.
func startTurnMembers(t *testing.T, turns ...map[string]*replicav1.Turn) (staticGroups, [][]*turnMember) {
	var groups staticGroups
	var members [][]*turnMember
	for partition, stored := range turns {
		group := &replicav1.Group{Epoch: 1, Partition: uint32(partition), Partitions: uint32(len(turns))}
		var partitionMembers []*turnMember
		for seat := range 3 {
			member := &turnMember{seat: uint32(seat), turns: stored}
			partitionMembers = append(partitionMembers, member)
			group.Members = append(group.Members, &replicav1.Member{Seat: uint32(seat), Address: startTurnMember(t, member)})
		}
		groups, members = append(groups, group), append(members, partitionMembers)
	}
	return groups, members
}

// programIn returns a program that belongs to one of the given number of partitions.
func programIn(partition uint32, partitions int) string {
	for name := "p"; ; name += "p" {
		if PartitionOf(name, partitions) == partition {
			return name
		}
	}
}

func TestChainCrossesPartitions(t *testing.T) {
	groups, _ := startTurnMembers(t,
		map[string]*replicav1.Turn{"own": {Id: "own", Previous: "other"}},
		map[string]*replicav1.Turn{},
		map[string]*replicav1.Turn{"other": {Id: "other"}},
	)
	client := NewClient(groups, "", http.DefaultClient)
	chain, err := client.Chain(t.Context(), Scope{Program: programIn(0, 3)}, "own")
	require.NoError(t, err)
	require.Len(t, chain, 2)
	require.Equal(t, "other", chain[1].Id)
}

func TestUnknownTurnNeedsProofFromEveryPartition(t *testing.T) {
	groups, members := startTurnMembers(t, map[string]*replicav1.Turn{}, map[string]*replicav1.Turn{})
	client := NewClient(groups, "", http.DefaultClient)
	var unknown *UnknownTurn
	_, err := client.Chain(t.Context(), Scope{Program: programIn(0, 2)}, "never")
	require.ErrorAs(t, err, &unknown)

	for _, member := range members[1][:2] {
		member.unrecovered.Store(true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	var unavailable *Unavailable
	_, err = client.Chain(ctx, Scope{Program: programIn(0, 2)}, "never")
	require.ErrorAs(t, err, &unavailable, "the other partition may have the turn")
}

func TestPartitionOfDistributesEvenly(t *testing.T) {
	counts := make(map[uint32]int)
	for i := range 12_000 {
		counts[PartitionOf(fmt.Sprintf("program-%d", i), 12)]++
	}
	require.Len(t, counts, 12)
	for partition, count := range counts {
		require.InDelta(t, 1000, count, 150, "partition %d", partition)
	}
	require.Zero(t, PartitionOf("any", 1))
	require.Zero(t, PartitionOf("any", 0), "a group from a release without partitions")
}
