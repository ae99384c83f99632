package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/placement"
)

// Scope names the program whose turns are meant, and where they may rest. What programs
// commit of their budgets holds no text: it lies in one partition whatever the scope of
// their turns is, so that its sum is one however routes are confined.
type Scope struct {
	Program string
	// Regions are the only ones in which the turns may rest, sorted; nil is any.
	Regions []string
}

// SetZoneRegions tells the client the region of each zone. It is to be called before the client is
// used; without it no zone lies in a region.
func (c *Client) SetZoneRegions(regionOf map[string]string) { c.regionOf = regionOf }

// policy returns where turns may rest that are confined to regions; nil is any.
func (c *Client) policy(regions []string) placement.RegionPolicy {
	return placement.RegionPolicy{Permitted: regions, RegionOf: c.regionOf}
}

// TurnPartition returns the partition that keeps the turns of a scope. It depends on nothing but
// the scope and the partitions that there are. Where the scope excludes a region, that is
// one of those confined to a permitted region; it fails with *failure.NoPermittedPlace
// where there is none.
func (c *Client) TurnPartition(scope Scope) (uint32, error) {
	return c.placeAmong(c.groups.Groups(), scope)
}

// placeAmong is Place among given groups.
func (c *Client) placeAmong(groups []*replicav1.Group, scope Scope) (uint32, error) {
	policy := c.policy(scope.Regions)
	if !policy.ExcludesAnyRegion() {
		return PartitionOf(scope.Program, unconfinedOf(groups)), nil
	}
	permitted := permittedPartitions(groups, policy)
	if len(permitted) == 0 {
		if len(groups) == 0 && len(scope.Regions) > 0 {
			// Nothing is known yet; callers wait for the first group.
			return 0, nil
		}
		return 0, policy.DeniedError(placement.Turn)
	}
	return permitted[PartitionOf(scope.Program, len(permitted))], nil
}

// confirmedFor is for how long after an answer a majority is taken to be there for a turn
// that is about to run: one that goes away meanwhile costs callers a turn that ran and
// could not be kept, and asking each time costs every turn a call.
const confirmedFor = 500 * time.Millisecond

// ConfirmMajority returns nil once a majority that may keep the turns of a scope answers, or has
// answered lately. It is for turns that lie apart from their programs' budgets: the
// reservation of any other shows the same.
func (c *Client) ConfirmMajority(ctx context.Context, scope Scope) error {
	partition, err := c.TurnPartition(scope)
	if err != nil || c.outages.answeredWithin(partition, confirmedFor) {
		return err
	}
	_, err = c.appendTo(ctx, func() *replicav1.Group { return c.groupOf(scope) }, c.policy(scope.Regions), &replicav1.AppendRequest{})
	return err
}

// groupOf returns the group in force that keeps the turns of a scope, or nil while it is
// not known, or too small to bear a lost disk although it is to grow. One whose seats may lie elsewhere than the scope permits keeps none of them,
// whatever it says of its place among the partitions.
func (c *Client) groupOf(scope Scope) *replicav1.Group {
	groups := c.groups.Groups()
	partition, err := c.placeAmong(groups, scope)
	if err != nil || int(partition) >= len(groups) || groups[partition] == nil {
		return nil
	}
	group := groups[partition]
	if policy := c.policy(scope.Regions); policy.ExcludesAnyRegion() && (!policy.PermitsRegion(group.Region) || beginning(group)) {
		return nil
	}
	return group
}

// beginning reports whether a group has one seat alone that holds everything and is to have
// more: the loss of one disk would lose what it keeps.
func beginning(group *replicav1.Group) bool { return VoterCount(group) < 2 && group.Target > 1 }

// StoresTurnsSeparately reports whether the turns of a scope lie apart from what its program has
// committed of its budget.
func (c *Client) StoresTurnsSeparately(scope Scope) bool {
	return c.policy(scope.Regions).ExcludesAnyRegion()
}

// SamePartition reports whether the turns of two scopes lie in one partition.
func (c *Client) SamePartition(one, other Scope) bool {
	first, err := c.TurnPartition(one)
	if err != nil {
		return false
	}
	second, err := c.TurnPartition(other)
	return err == nil && first == second
}

// ScopeOf returns the scope under which a turn was kept.
func ScopeOf(turn *replicav1.Turn) Scope {
	scope := Scope{Program: turn.Program}
	if len(turn.Regions) > 0 {
		scope.Regions = turn.Regions
	}
	return scope
}

// CheckContinuation reports whether a turn of a scope may go on from a kept one: a confined line
// stays within the regions that each of its turns was confined to when it was kept. The
// error is a *TurnRegionMismatch.
func (c *Client) CheckContinuation(scope Scope, from *replicav1.Turn) error {
	asked, kept := c.policy(scope.Regions), c.policy(ScopeOf(from).Regions)
	beyond := func(region string) bool { return !kept.PermitsRegion(region) }
	if asked.ExcludesAnyRegion() == kept.ExcludesAnyRegion() && (!asked.ExcludesAnyRegion() || !slices.ContainsFunc(scope.Regions, beyond)) {
		return nil
	}
	return &TurnRegionMismatch{Turn: from.Id, TurnRegions: from.Regions, Permitted: scope.Regions}
}

// unconfinedOf returns how many partitions are confined to no region.
func unconfinedOf(groups []*replicav1.Group) int { return len(groups) - len(confinedOf(groups)) }

// confinedOf returns the regions of the last partitions, as any known group tells them.
func confinedOf(groups []*replicav1.Group) []string {
	for _, group := range groups {
		if group != nil && len(group.Confined) < len(groups) {
			return group.Confined
		}
	}
	return nil
}

// permittedPartitions returns the confined partitions that lie in a permitted region.
func permittedPartitions(groups []*replicav1.Group, policy placement.RegionPolicy) (permitted []uint32) {
	confined := confinedOf(groups)
	for i, region := range confined {
		if policy.PermitsRegion(region) {
			permitted = append(permitted, uint32(len(groups)-len(confined)+i))
		}
	}
	return permitted
}

// permittedMembers returns the members of a group that lie where the policy permits.
func permittedMembers(members []*replicav1.Member, policy placement.RegionPolicy) []*replicav1.Member {
	if !policy.Restricted() {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(member *replicav1.Member) bool { return !policy.Permits(member.Zone) })
}

// passesOn reports whether calls about turns of a group may go through another gateway,
// whose region is not known.
func passesOn(group *replicav1.Group, policy placement.RegionPolicy) bool {
	return group.Region == "" && !policy.ExcludesAnyRegion()
}
