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

// groupsWithConfined returns the groups of a number of unconfined partitions, followed by one
// confined partition for each given region.
func groupsWithConfined(unconfined int, confined ...string) staticGroups {
	var groups staticGroups
	for partition := range unconfined + len(confined) {
		group := &replicav1.Group{Epoch: 1, Partition: uint32(partition), Partitions: uint32(unconfined + len(confined)), Confined: confined}
		if partition >= unconfined {
			group.Region = confined[partition-unconfined]
		}
		groups = append(groups, group)
	}
	return groups
}

func newRegionClient(groups Groups, zone string, regionOf map[string]string) *Client {
	client := NewClient(groups, zone, http.DefaultClient)
	client.SetZoneRegions(regionOf)
	return client
}

// TestTurnPartitionIsTheSameForEveryClient checks that the partition does not depend on the
// gateway's zone or on the groups that it knows. It must be confined to a permitted region; if no
// region is excluded, it must be the partition of the program's budget.
func TestTurnPartitionIsTheSameForEveryClient(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := []string{"middle", "north", "south"}
		confined := rapid.SliceOfN(rapid.SampledFrom(regions), 0, 6).Draw(t, "confined")
		slices.Sort(confined)
		groups := groupsWithConfined(rapid.IntRange(1, 5).Draw(t, "unconfined"), confined...)
		scope := Scope{Program: rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "program")}
		if rapid.Bool().Draw(t, "is_confined") {
			scope.Regions = rapid.SliceOfDistinct(rapid.SampledFrom(regions), rapid.ID).Draw(t, "permitted")
			scope.Regions = append([]string{}, scope.Regions...)
			slices.Sort(scope.Regions)
		}
		partial := slices.Clone(groups)
		knownPartition := rapid.IntRange(0, len(groups)-1).Draw(t, "known")
		for i := range partial {
			if i != knownPartition {
				partial[i] = nil
			}
		}
		partition, err := newRegionClient(groups, "zone-a", scopeRegions).TurnPartition(scope)
		partialPartition, partialErr := newRegionClient(partial, "zone-c", scopeRegions).TurnPartition(scope)
		require.Equal(t, partition, partialPartition)
		require.Equal(t, err, partialErr)
		excludes := scope.Regions != nil && len(scope.Regions) < len(regions)
		permitted := slices.ContainsFunc(confined, func(region string) bool { return slices.Contains(scope.Regions, region) })
		switch {
		case !excludes:
			require.NoError(t, err)
			require.Equal(t, groups[partition], newRegionClient(groups, "zone-b", scopeRegions).programGroup(scope.Program))
			require.Empty(t, groups[partition].Region)
		case !permitted:
			var refused *failure.NoPermittedPlace
			require.ErrorAs(t, err, &refused)
			require.Equal(t, failure.NotRun, refused.Outcome())
		default:
			require.NoError(t, err)
			require.Contains(t, scope.Regions, groups[partition].Region)
		}
	})
}

// TestBudgetPartitionIsIndependentOfConfinedPartitions checks that a program keeps a single
// committed total when confined partitions are added.
func TestBudgetPartitionIsIndependentOfConfinedPartitions(t *testing.T) {
	before, after := groupsWithConfined(3), groupsWithConfined(3, "middle", "north", "south")
	for number := range 50 {
		program := fmt.Sprintf("program-%d", number)
		expected := newRegionClient(before, "", nil).programGroup(program).Partition
		require.Equal(t, expected, newRegionClient(after, "zone-a", scopeRegions).programGroup(program).Partition)
	}
}

func TestTurnPartitionBeforeAnyGroupIsKnown(t *testing.T) {
	client := newRegionClient(staticGroups{}, "zone-a", scopeRegions)
	_, err := client.TurnPartition(Scope{Program: "p", Regions: []string{"north"}})
	require.NoError(t, err, "callers wait for the first group")
	require.Nil(t, client.turnGroup(Scope{Program: "p", Regions: []string{"north"}}))
	_, err = client.TurnPartition(Scope{Program: "p", Regions: []string{}})
	require.Error(t, err, "an empty list of regions permits no region")
}

func TestCheckContinuation(t *testing.T) {
	client := newRegionClient(groupsWithConfined(1, "middle", "north", "south"), "zone-a", scopeRegions)
	for name, test := range map[string]struct {
		stored, requested []string
		allowed           bool
	}{
		"neither is confined":          {nil, nil, true},
		"same regions":                 {[]string{"north"}, []string{"north"}, true},
		"narrower":                     {[]string{"middle", "north"}, []string{"north"}, true},
		"wider":                        {[]string{"north"}, []string{"middle", "north"}, false},
		"another":                      {[]string{"north"}, []string{"south"}, false},
		"new turn is not confined":     {[]string{"north"}, nil, false},
		"only new turn is confined":    {nil, []string{"north"}, false},
		"all regions equal unconfined": {nil, []string{"middle", "north", "south"}, true},
		"all regions then one":         {[]string{"middle", "north", "south"}, []string{"north"}, false},
	} {
		err := client.CheckContinuation(Scope{Program: "p", Regions: test.requested}, &replicav1.Turn{Id: "t", Regions: test.stored})
		require.Equal(t, test.allowed, err == nil, name)
		var mismatch *TurnRegionMismatch
		require.Equal(t, !test.allowed, err != nil && failure.Classify(err).Type() == mismatch.Type(), name)
	}
}

func turnRecord(id string, regions ...string) *replicav1.Record {
	return &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: id, Program: "p", Input: []byte("text"), Regions: regions}}}
}

// startZoneMembers starts members of one partition in zone-a, zone-b and so on.
func startZoneMembers(t *testing.T, count int, region string) ([]*fakeMember, staticGroups) {
	members, fake := startMembers(t, count)
	for i, member := range fake.group.Members {
		member.Zone = fmt.Sprintf("zone-%c", 'a'+i)
	}
	fake.group.Partition, fake.group.Partitions, fake.group.Region, fake.group.Confined = 1, 2, region, []string{region}
	return members, staticGroups{nil, fake.group}
}

// TestTurnsAreSentOnlyToPermittedRegions uses a group that wrongly claims to be in the region
// although two of its members are not.
func TestTurnsAreSentOnlyToPermittedRegions(t *testing.T) {
	members, groups := startZoneMembers(t, 3, "north")
	client := newRegionClient(groups, "zone-c", scopeRegions)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	var unavailable *Unavailable
	require.ErrorAs(t, client.AppendTurns(ctx, Scope{Program: "p", Regions: []string{"north"}}, turnRecord("t", "north")), &unavailable)
	for seat, member := range members {
		records, _ := member.counts()
		require.Equal(t, seat == 0, records > 0, "only the member in the region may receive it")
	}
	allNorth := map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "north", "zone-d": "south"}
	client = newRegionClient(groups, "zone-c", allNorth)
	require.NoError(t, client.AppendTurns(t.Context(), Scope{Program: "p", Regions: []string{"north"}}, turnRecord("t", "north")))
}

// TestGroupWithoutRegionStoresNoRestrictedTurn uses a group from a release without regions in the
// place of a confined partition.
func TestGroupWithoutRegionStoresNoRestrictedTurn(t *testing.T) {
	members, groups := startZoneMembers(t, 3, "north")
	groups[1].Region = ""
	client := newRegionClient(groups, "zone-a", map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "north", "zone-d": "south"})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var unavailable *Unavailable
	require.ErrorAs(t, client.AppendTurns(ctx, Scope{Program: "p", Regions: []string{"north"}}, turnRecord("t", "north")), &unavailable)
	records, _ := totalCalls(members)
	require.Zero(t, records)
}

// TestRestrictedTurnIsNotForwarded checks that region-restricted turns are neither written nor read
// through another gateway, whose region is unknown. Other turns are forwarded.
func TestRestrictedTurnIsNotForwarded(t *testing.T) {
	north := map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "north", "zone-d": "south"}
	members, groups := startZoneMembers(t, 3, "north")
	address := startForwarder(t, NewClient(groups, "", http.DefaultClient))
	cutOff := NewClient(groups, "", clientCutOffFrom(members[0].address, members[1].address, members[2].address))
	cutOff.SetZoneRegions(north)
	cutOff.forwarders.set([]string{address})
	scope := Scope{Program: "p", Regions: []string{"north"}}
	withTimeout := func(call func(context.Context) error) error {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		return call(ctx)
	}
	require.Error(t, withTimeout(func(ctx context.Context) error { return cutOff.AppendTurns(ctx, scope, turnRecord("t", "north")) }))
	for _, member := range members {
		cutOff.reachability.markUnresponsive(member.address)
	}
	require.Error(t, withTimeout(func(ctx context.Context) error {
		_, err := cutOff.Chain(ctx, scope, "t")
		return err
	}))
	require.Error(t, withTimeout(func(ctx context.Context) error { return cutOff.AppendTurns(ctx, scope, turnRecord("t", "north")) }))
	require.Zero(t, cutOff.ForwardedCalls())
	records, _ := totalCalls(members)
	require.Zero(t, records)

	// The check detects forwarding: the same calls are forwarded if the client considers the
	// group unconfined.
	unconfined := staticGroups{{Epoch: 1, Members: groups[1].Members}}
	cutOff = NewClient(unconfined, "", clientCutOffFrom(members[0].address, members[1].address, members[2].address))
	cutOff.forwarders.set([]string{startForwarder(t, NewClient(unconfined, "", http.DefaultClient))})
	require.NoError(t, cutOff.AppendTurns(t.Context(), Scope{Program: "p"}, turnRecord("t")))
	require.Positive(t, cutOff.ForwardedCalls(), "unrestricted turns must be forwarded")
}

// TestTurnInForbiddenRegionIsReportedAndNotRead requests a turn that was stored under other
// permitted regions than those of the turn that continues from it.
func TestTurnInForbiddenRegionIsReportedAndNotRead(t *testing.T) {
	groups, _ := startTurnMembers(t, map[string]*replicav1.Turn{}, map[string]*replicav1.Turn{}, map[string]*replicav1.Turn{
		"before": {Id: "before", Regions: []string{"south"}},
	})
	for i, group := range groups {
		group.Confined = []string{"north", "south"}
		group.Region = []string{"", "north", "south"}[i]
		for _, member := range group.Members {
			member.Zone = []string{"zone-b", "zone-a", "zone-c"}[i]
		}
	}
	client := newRegionClient(groups, "zone-a", scopeRegions)
	var mismatch *TurnRegionMismatch
	_, err := client.Chain(t.Context(), Scope{Program: "p", Regions: []string{"north"}}, "before")
	require.ErrorAs(t, err, &mismatch)
	require.Equal(t, []string{"south"}, mismatch.TurnRegions)
	var unknown *UnknownTurn
	_, err = client.Chain(t.Context(), Scope{Program: "p", Regions: []string{"north"}}, "never")
	require.ErrorAs(t, err, &unknown, "every partition proves that it has no such turn")
	chain, err := client.Chain(t.Context(), Scope{Program: "p", Regions: []string{"south"}}, "before")
	require.NoError(t, err)
	require.Len(t, chain, 1)
}

// TestConfirmMajority checks that a majority that has answered recently is not asked again, and
// that a missing majority is reported.
func TestConfirmMajority(t *testing.T) {
	members, groups := startZoneMembers(t, 3, "north")
	client := newRegionClient(groups, "zone-a", map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "north", "zone-d": "south"})
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
		member.unresponsive = true
		member.mutex.Unlock()
	}
	require.NoError(t, confirm(), "the majority has just answered")
	now = now.Add(majorityConfirmationTTL)
	var unavailable *Unavailable
	require.ErrorAs(t, confirm(), &unavailable)
	var refused *failure.NoPermittedPlace
	scope.Regions = []string{"south"}
	require.ErrorAs(t, confirm(), &refused)
}

// TestGroupWithoutRedundancyStoresNoTurns checks that a group which is to have several seats but
// has only one stores no turns, because one lost disk would lose them. A group with a target of
// one seat stores turns.
func TestGroupWithoutRedundancyStoresNoTurns(t *testing.T) {
	_, groups := startZoneMembers(t, 1, "north")
	groups[1].Target = 3
	client := newRegionClient(groups, "zone-a", scopeRegions)
	scope := Scope{Program: "p", Regions: []string{"north"}}
	require.Nil(t, client.turnGroup(scope))
	groups[1].Members = append(groups[1].Members, &replicav1.Member{Seat: 1, Zone: "zone-a", Predecessor: &replicav1.Predecessor{}})
	require.Nil(t, client.turnGroup(scope), "the second member is still joining")
	groups[1].Members[1].Predecessor.ReceivedBy = 7
	require.NotNil(t, client.turnGroup(scope))
	groups[1].Members, groups[1].Target = groups[1].Members[:1], 1
	require.NotNil(t, client.turnGroup(scope))
	require.NoError(t, client.AppendTurns(t.Context(), scope, turnRecord("t", "north")))
}

// TestUnknownPartitionIsNoProofOfAbsence checks that a turn may be stored in a confined partition
// whose group this process does not know, whatever the requesting scope.
func TestUnknownPartitionIsNoProofOfAbsence(t *testing.T) {
	knownGroups, _ := startTurnMembers(t, map[string]*replicav1.Turn{}, map[string]*replicav1.Turn{})
	for _, group := range knownGroups {
		group.Partitions, group.Confined = 4, []string{"north", "south"}
	}
	client := newRegionClient(append(knownGroups, nil, nil), "zone-a", scopeRegions)
	for _, scope := range []Scope{{Program: "p"}, {Program: "p", Regions: []string{"north"}}} {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := client.Chain(ctx, scope, "never")
		var unavailable *Unavailable
		require.ErrorAs(t, err, &unavailable, scope)
	}
}
