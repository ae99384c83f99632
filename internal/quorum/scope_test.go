package quorum

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

var scopeRegions = map[string]string{"zone-a": "north", "zone-b": "middle", "zone-c": "south"}

// layoutOf returns the groups of partitions: some that are confined to no region, and one
// or more of each of the regions named.
func layoutOf(unconfined int, confined ...string) fixedGroups {
	var groups fixedGroups
	for partition := range unconfined + len(confined) {
		group := &replicav1.Group{Epoch: 1, Partition: uint32(partition), Partitions: uint32(unconfined + len(confined)), Confined: confined}
		if partition >= unconfined {
			group.Region = confined[partition-unconfined]
		}
		groups = append(groups, group)
	}
	return groups
}

func located(groups Groups, zone string, regionOf map[string]string) *Client {
	client := NewClient(groups, zone, http.DefaultClient)
	client.SetZoneRegions(regionOf)
	return client
}

// TestTurnPartitionIsTheSameForEveryClient wherever the gateway is and whichever groups it knows;
// it is confined to a permitted region, and where no region is excluded it is that of the
// program's budget.
func TestTurnPartitionIsTheSameForEveryClient(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := []string{"middle", "north", "south"}
		confined := rapid.SliceOfN(rapid.SampledFrom(regions), 0, 6).Draw(t, "confined")
		slices.Sort(confined)
		groups := layoutOf(rapid.IntRange(1, 5).Draw(t, "unconfined"), confined...)
		scope := Scope{Program: rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "program")}
		if rapid.Bool().Draw(t, "is_confined") {
			scope.Regions = rapid.SliceOfDistinct(rapid.SampledFrom(regions), rapid.ID).Draw(t, "permitted")
			scope.Regions = append([]string{}, scope.Regions...)
			slices.Sort(scope.Regions)
		}
		known := slices.Clone(groups)
		sole := rapid.IntRange(0, len(groups)-1).Draw(t, "known")
		for i := range known {
			if i != sole {
				known[i] = nil
			}
		}
		place, err := located(groups, "zone-a", scopeRegions).TurnPartition(scope)
		elsewhere, elsewhereErr := located(known, "zone-c", scopeRegions).TurnPartition(scope)
		require.Equal(t, place, elsewhere)
		require.Equal(t, err, elsewhereErr)
		excludes := scope.Regions != nil && len(scope.Regions) < len(regions)
		may := slices.ContainsFunc(confined, func(region string) bool { return slices.Contains(scope.Regions, region) })
		switch {
		case !excludes:
			require.NoError(t, err)
			require.Equal(t, groups[place], located(groups, "zone-b", scopeRegions).group(scope.Program))
			require.Empty(t, groups[place].Region)
		case !may:
			var refused *failure.NoPermittedPlace
			require.ErrorAs(t, err, &refused)
			require.Equal(t, failure.NotRun, refused.Outcome())
		default:
			require.NoError(t, err)
			require.Contains(t, scope.Regions, groups[place].Region)
		}
	})
}

// TestBudgetPartitionIsIndependentOfConfinedPartitions: their sum must be one.
func TestBudgetPartitionIsIndependentOfConfinedPartitions(t *testing.T) {
	before, now := layoutOf(3), layoutOf(3, "middle", "north", "south")
	for number := range 50 {
		program := fmt.Sprintf("program-%d", number)
		expected := located(before, "", nil).group(program).Partition
		require.Equal(t, expected, located(now, "zone-a", scopeRegions).group(program).Partition)
	}
}

func TestTurnPartitionBeforeAnyGroupIsKnown(t *testing.T) {
	client := located(fixedGroups{}, "zone-a", scopeRegions)
	_, err := client.TurnPartition(Scope{Program: "p", Regions: []string{"north"}})
	require.NoError(t, err, "callers wait for the first group")
	require.Nil(t, client.groupOf(Scope{Program: "p", Regions: []string{"north"}}))
	_, err = client.TurnPartition(Scope{Program: "p", Regions: []string{}})
	require.Error(t, err, "nowhere is nowhere")
}

func TestCheckContinuation(t *testing.T) {
	client := located(layoutOf(1, "middle", "north", "south"), "zone-a", scopeRegions)
	for name, each := range map[string]struct {
		kept, asked []string
		may         bool
	}{
		"neither is confined":            {nil, nil, true},
		"the same":                       {[]string{"north"}, []string{"north"}, true},
		"narrower":                       {[]string{"middle", "north"}, []string{"north"}, true},
		"wider":                          {[]string{"north"}, []string{"middle", "north"}, false},
		"another":                        {[]string{"north"}, []string{"south"}, false},
		"no longer confined":             {[]string{"north"}, nil, false},
		"confined since":                 {nil, []string{"north"}, false},
		"all regions are as good as any": {nil, []string{"middle", "north", "south"}, true},
		"all regions, and then one":      {[]string{"middle", "north", "south"}, []string{"north"}, false},
	} {
		err := client.CheckContinuation(Scope{Program: "p", Regions: each.asked}, &replicav1.Turn{Id: "t", Regions: each.kept})
		require.Equal(t, each.may, err == nil, name)
		var elsewhere *TurnRegionMismatch
		require.Equal(t, !each.may, err != nil && failure.Classify(err).Type() == elsewhere.Type(), name)
	}
}

func turnRecord(id string, regions ...string) *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: id, Program: "p", Input: []byte("text"), Regions: regions}}}
}

// startZones starts members in zone-a, zone-b and so on, all of one partition.
func startZones(t *testing.T, count int, region string) ([]*fakeMember, fixedGroups) {
	members, one := startMembers(t, count)
	for i, member := range one.group.Members {
		member.Zone = fmt.Sprintf("zone-%c", 'a'+i)
	}
	one.group.Partition, one.group.Partitions, one.group.Region, one.group.Confined = 1, 2, region, []string{region}
	return members, fixedGroups{nil, one.group}
}

// TestTurnsAreSentOnlyToPermittedRegions hands a client a group whose word is wrong: it
// says that it lies in the region, and two members do not.
func TestTurnsAreSentOnlyToPermittedRegions(t *testing.T) {
	members, groups := startZones(t, 3, "north")
	client := located(groups, "zone-c", scopeRegions)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	var unavailable *Unavailable
	require.ErrorAs(t, client.AppendTurns(ctx, Scope{Program: "p", Regions: []string{"north"}}, turnRecord("t", "north")), &unavailable)
	for seat, member := range members {
		records, _ := member.counts()
		require.Equal(t, seat == 0, records > 0, "only the member of the region heard of it")
	}
	everywhere := map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "north", "zone-d": "south"}
	client = located(groups, "zone-c", everywhere)
	require.NoError(t, client.AppendTurns(t.Context(), Scope{Program: "p", Regions: []string{"north"}}, turnRecord("t", "north")))
}

// TestGroupWithoutRegionStoresNoRestrictedTurn: one from before regions, at the place of a confined
// partition.
func TestGroupWithoutRegionStoresNoRestrictedTurn(t *testing.T) {
	members, groups := startZones(t, 3, "north")
	groups[1].Region = ""
	client := located(groups, "zone-a", map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "north", "zone-d": "south"})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var unavailable *Unavailable
	require.ErrorAs(t, client.AppendTurns(ctx, Scope{Program: "p", Regions: []string{"north"}}, turnRecord("t", "north")), &unavailable)
	records, _ := total(members)
	require.Zero(t, records)
}

// TestRestrictedTurnIsNotForwarded: neither when it is written nor when it is
// read, as nothing says where the other one is. What is not confined goes through it.
func TestRestrictedTurnIsNotForwarded(t *testing.T) {
	north := map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "north", "zone-d": "south"}
	members, groups := startZones(t, 3, "north")
	address := startForwarder(t, NewClient(groups, "", http.DefaultClient))
	cut := NewClient(groups, "", cutFrom(members[0].address, members[1].address, members[2].address))
	cut.SetZoneRegions(north)
	cut.forwarders.set([]string{address})
	scope := Scope{Program: "p", Regions: []string{"north"}}
	limited := func(call func(context.Context) error) error {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		return call(ctx)
	}
	require.Error(t, limited(func(ctx context.Context) error { return cut.AppendTurns(ctx, scope, turnRecord("t", "north")) }))
	for _, member := range members {
		cut.reach.silent(member.address)
	}
	require.Error(t, limited(func(ctx context.Context) error {
		_, err := cut.Chain(ctx, scope, "t")
		return err
	}))
	require.Error(t, limited(func(ctx context.Context) error { return cut.AppendTurns(ctx, scope, turnRecord("t", "north")) }))
	require.Zero(t, cut.ForwardedCalls())
	records, _ := total(members)
	require.Zero(t, records)

	// The breakage: the same calls, of a client that takes the group for unconfined.
	broken := fixedGroups{{Epoch: 1, Members: groups[1].Members}}
	cut = NewClient(broken, "", cutFrom(members[0].address, members[1].address, members[2].address))
	cut.forwarders.set([]string{startForwarder(t, NewClient(broken, "", http.DefaultClient))})
	require.NoError(t, cut.AppendTurns(t.Context(), Scope{Program: "p"}, turnRecord("t")))
	require.Positive(t, cut.ForwardedCalls(), "it is seen")
}

// TestTurnInForbiddenRegionIsReportedAndNotRead: it was kept under other permitted
// regions than the one that goes on from it has.
func TestTurnInForbiddenRegionIsReportedAndNotRead(t *testing.T) {
	groups, _ := startTurnHolders(t, map[string]*replicav1.Turn{}, map[string]*replicav1.Turn{}, map[string]*replicav1.Turn{
		"before": {Id: "before", Regions: []string{"south"}},
	})
	for i, group := range groups {
		group.Confined = []string{"north", "south"}
		group.Region = []string{"", "north", "south"}[i]
		for _, member := range group.Members {
			member.Zone = []string{"zone-b", "zone-a", "zone-c"}[i]
		}
	}
	client := located(groups, "zone-a", scopeRegions)
	var elsewhere *TurnRegionMismatch
	_, err := client.Chain(t.Context(), Scope{Program: "p", Regions: []string{"north"}}, "before")
	require.ErrorAs(t, err, &elsewhere)
	require.Equal(t, []string{"south"}, elsewhere.TurnRegions)
	var unknown *UnknownTurn
	_, err = client.Chain(t.Context(), Scope{Program: "p", Regions: []string{"north"}}, "never")
	require.ErrorAs(t, err, &unknown, "each partition proves that")
	chain, err := client.Chain(t.Context(), Scope{Program: "p", Regions: []string{"south"}}, "before")
	require.NoError(t, err)
	require.Len(t, chain, 1)
}

// TestConfirmMajority: one that has answered lately is not asked
// again, and one that does not answer is told.
func TestConfirmMajority(t *testing.T) {
	members, groups := startZones(t, 3, "north")
	client := located(groups, "zone-a", map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "north", "zone-d": "south"})
	now := time.Now()
	client.outages.now = func() time.Time { return now }
	scope := Scope{Program: "p", Regions: []string{"north"}}
	confirm := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		return client.ConfirmMajority(ctx, scope)
	}
	require.NoError(t, confirm())
	for _, member := range members[:2] {
		member.mutex.Lock()
		member.silent = true
		member.mutex.Unlock()
	}
	require.NoError(t, confirm(), "it has just answered")
	now = now.Add(confirmedFor)
	var unavailable *Unavailable
	require.ErrorAs(t, confirm(), &unavailable)
	var refused *failure.NoPermittedPlace
	scope.Regions = []string{"south"}
	require.ErrorAs(t, confirm(), &refused)
}

// TestGroupWithoutRedundancyStoresNoTurns: with one seat of several, one lost disk would lose a
// turn. One that is to have a single seat keeps turns.
func TestGroupWithoutRedundancyStoresNoTurns(t *testing.T) {
	_, groups := startZones(t, 1, "north")
	groups[1].Target = 3
	client := located(groups, "zone-a", scopeRegions)
	scope := Scope{Program: "p", Regions: []string{"north"}}
	require.Nil(t, client.groupOf(scope))
	groups[1].Members = append(groups[1].Members, &replicav1.Member{Seat: 1, Zone: "zone-a", Predecessor: &replicav1.Predecessor{}})
	require.Nil(t, client.groupOf(scope), "the second seat has not received anything")
	groups[1].Members[1].Predecessor.ReceivedBy = 7
	require.NotNil(t, client.groupOf(scope))
	groups[1].Members, groups[1].Target = groups[1].Members[:1], 1
	require.NotNil(t, client.groupOf(scope))
	require.NoError(t, client.AppendTurns(t.Context(), scope, turnRecord("t", "north")))
}

// TestUnknownPartitionIsNoProofOfAbsence: a turn may be kept in a confined partition whose
// group this process has not heard of, whatever the scope of who asks.
func TestUnknownPartitionIsNoProofOfAbsence(t *testing.T) {
	known, _ := startTurnHolders(t, map[string]*replicav1.Turn{}, map[string]*replicav1.Turn{})
	for _, group := range known {
		group.Partitions, group.Confined = 4, []string{"north", "south"}
	}
	client := located(append(known, nil, nil), "zone-a", scopeRegions)
	for _, scope := range []Scope{{Program: "p"}, {Program: "p", Regions: []string{"north"}}} {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := client.Chain(ctx, scope, "never")
		var unavailable *Unavailable
		require.ErrorAs(t, err, &unavailable, scope)
	}
}
