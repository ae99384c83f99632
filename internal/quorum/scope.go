package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/placement"
)

// Scope identifies a program's turns and the regions in which they may be stored. A program's
// budget records contain no text. They are stored in one partition regardless of the scope of its
// turns, so that there is a single committed total whatever the regions of routes are.
type Scope struct {
	Program string
	// Regions are the only regions in which the turns may be stored, sorted; nil means any.
	Regions []string
}

// SetZoneRegions sets the region of each zone. It must be called before the client is used;
// without it no zone has a region.
func (c *Client) SetZoneRegions(regionOf map[string]string) { c.regionOf = regionOf }

// regionPolicy returns the policy for turns that are restricted to the given regions; nil means
// any.
func (c *Client) regionPolicy(regions []string) placement.RegionPolicy {
	return placement.RegionPolicy{Permitted: regions, RegionOf: c.regionOf}
}

// TurnPartition returns the partition that stores the turns of a scope. The result depends only
// on the scope and on the existing partitions. If the scope excludes a region, it is one of the
// partitions confined to a permitted region. It fails with *failure.NoPermittedPlace if there is
// none.
func (c *Client) TurnPartition(scope Scope) (uint32, error) {
	return c.turnPartitionIn(c.groups.Groups(), scope)
}

// turnPartitionIn is TurnPartition for the given groups.
func (c *Client) turnPartitionIn(groups []*replicav1.Group, scope Scope) (uint32, error) {
	policy := c.regionPolicy(scope.Regions)
	if !policy.ExcludesAnyRegion() {
		return PartitionOf(scope.Program, unconfinedCount(groups)), nil
	}
	permitted := permittedPartitions(groups, policy)
	if len(permitted) == 0 {
		if len(groups) == 0 && len(scope.Regions) > 0 {
			// No group is known yet; callers wait for the first one.
			return 0, nil
		}
		return 0, policy.DeniedError(placement.Turn)
	}
	return permitted[PartitionOf(scope.Program, len(permitted))], nil
}

// majorityConfirmationTTL is how long after its last answer a majority is assumed to be available
// for a turn that is about to run. If it fails in the meantime, a turn runs that cannot be
// stored; asking every time would cost one call per turn.
const majorityConfirmationTTL = 500 * time.Millisecond

// ConfirmMajority returns nil once a majority that may store the turns of a scope answers, or if
// it has answered recently. It is for turns that are stored separately from their programs'
// budgets; for other turns the reservation confirms the same majority.
func (c *Client) ConfirmMajority(ctx context.Context, scope Scope) error {
	partition, err := c.TurnPartition(scope)
	if err != nil || c.outages.majorityAnsweredWithin(partition, majorityConfirmationTTL) {
		return err
	}
	_, err = c.appendToGroup(ctx, func() *replicav1.Group { return c.turnGroup(scope) }, c.regionPolicy(scope.Regions), &replicav1.AppendRequest{})
	return err
}

// turnGroup returns the current group that stores the turns of a scope. It returns nil if the
// group is unknown. For a scope that excludes a region, it also returns nil if the group cannot
// tolerate the loss of a disk yet although it is to grow, or if its seats may be outside the
// permitted regions, whatever partition it claims to belong to.
func (c *Client) turnGroup(scope Scope) *replicav1.Group {
	groups := c.groups.Groups()
	partition, err := c.turnPartitionIn(groups, scope)
	if err != nil || int(partition) >= len(groups) || groups[partition] == nil {
		return nil
	}
	group := groups[partition]
	if policy := c.regionPolicy(scope.Regions); policy.ExcludesAnyRegion() && (!policy.PermitsRegion(group.Region) || lacksRedundancy(group)) {
		return nil
	}
	return group
}

// lacksRedundancy reports whether a group has a single seat with all records and is to have more:
// the loss of one disk would lose its records.
func lacksRedundancy(group *replicav1.Group) bool { return VoterCount(group) < 2 && group.Target > 1 }

// StoresTurnsSeparately reports whether the turns of a scope are stored in a different partition
// from its program's budget records.
func (c *Client) StoresTurnsSeparately(scope Scope) bool {
	return c.regionPolicy(scope.Regions).ExcludesAnyRegion()
}

// SamePartition reports whether the turns of two scopes are stored in the same partition.
func (c *Client) SamePartition(one, other Scope) bool {
	first, err := c.TurnPartition(one)
	if err != nil {
		return false
	}
	second, err := c.TurnPartition(other)
	return err == nil && first == second
}

// ScopeOf returns the scope under which a turn was stored.
func ScopeOf(turn *replicav1.Turn) Scope {
	scope := Scope{Program: turn.Program}
	if len(turn.Regions) > 0 {
		scope.Regions = turn.Regions
	}
	return scope
}

// CheckContinuation returns nil if a turn of a scope may continue from a stored one, and
// otherwise a *TurnRegionMismatch. A restricted chain stays within the regions that each of its
// turns was restricted to when it was stored.
func (c *Client) CheckContinuation(scope Scope, from *replicav1.Turn) error {
	requested, stored := c.regionPolicy(scope.Regions), c.regionPolicy(ScopeOf(from).Regions)
	outside := func(region string) bool { return !stored.PermitsRegion(region) }
	if requested.ExcludesAnyRegion() == stored.ExcludesAnyRegion() && (!requested.ExcludesAnyRegion() || !slices.ContainsFunc(scope.Regions, outside)) {
		return nil
	}
	return &TurnRegionMismatch{Turn: from.Id, TurnRegions: from.Regions, Permitted: scope.Regions}
}

// unconfinedCount returns the number of partitions that are not confined to a region.
func unconfinedCount(groups []*replicav1.Group) int {
	return len(groups) - len(confinedRegions(groups))
}

// confinedRegions returns the regions of the confined partitions, which are the last ones, as
// reported by any known group.
func confinedRegions(groups []*replicav1.Group) []string {
	for _, group := range groups {
		if group != nil && len(group.Confined) < len(groups) {
			return group.Confined
		}
	}
	return nil
}

// permittedPartitions returns the partitions confined to a permitted region.
func permittedPartitions(groups []*replicav1.Group, policy placement.RegionPolicy) (permitted []uint32) {
	confined := confinedRegions(groups)
	for i, region := range confined {
		if policy.PermitsRegion(region) {
			permitted = append(permitted, uint32(len(groups)-len(confined)+i))
		}
	}
	return permitted
}

// permittedMembers returns the members of a group in zones that the policy permits.
func permittedMembers(members []*replicav1.Member, policy placement.RegionPolicy) []*replicav1.Member {
	if !policy.Restricted() {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(member *replicav1.Member) bool { return !policy.Permits(member.Zone) })
}

// mayForward reports whether calls about turns of a group may be made through another gateway,
// whose region is unknown.
func mayForward(group *replicav1.Group, policy placement.RegionPolicy) bool {
	return group.Region == "" && !policy.ExcludesAnyRegion()
}
