package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

var someRegions = []string{"north", "middle", "south"}

// drawPolicy draws zones, some of them without a region, and permitted regions.
func drawPolicy(t *rapid.T) RegionPolicy {
	regions := rapid.SampledFrom(append([]string{""}, someRegions...))
	policy := RegionPolicy{RegionOf: rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), regions).Draw(t, "region_of")}
	switch rapid.IntRange(0, 2).Draw(t, "permitted_kind") {
	case 0:
	case 1:
		policy.Permitted = []string{}
	default:
		policy.Permitted = rapid.SliceOfN(rapid.SampledFrom(append([]string{"unused"}, someRegions...)), 1, 4).Draw(t, "permitted")
	}
	return policy
}

// permittedZones is the oracle: it returns the zones that a policy permits.
func permittedZones(policy RegionPolicy, zones ...string) map[string]bool {
	permitted := make(map[string]bool)
	for _, zone := range zones {
		if policy.Permitted == nil {
			permitted[zone] = true
		}
		for _, region := range policy.Permitted {
			for zoneName, itsRegion := range policy.RegionOf {
				if zoneName == zone && itsRegion == region && itsRegion != "" {
					permitted[zone] = true
				}
			}
		}
	}
	return permitted
}

func TestRegionPolicyTreatsAllDataKindsAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := drawPolicy(t)
		zones := []string{"a", "b", "c", "d", "e", "unnamed", ""}
		expected := permittedZones(policy, zones...)
		for _, zone := range zones {
			require.Equal(t, expected[zone], policy.Permits(zone))
			for _, data := range requestDataKinds {
				err := policy.Check(data, zone)
				if expected[zone] {
					require.NoError(t, err)
					continue
				}
				var denied *failure.NoPermittedPlace
				require.ErrorAs(t, err, &denied)
				require.Equal(t, string(data), denied.What)
				require.Equal(t, failure.NotRun, denied.Outcome())
				require.Positive(t, denied.Retry().After)
			}
			require.Equal(t, policy.Permitted == nil, policy.Check("of_no_known_kind", zone) == nil)
		}
	})
}

// If no region is excluded, every zone with a region is permitted.
func TestExcludesAnyRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := drawPolicy(t)
		allPermitted := true
		for zone := range policy.RegionOf {
			allPermitted = allPermitted && policy.Permits(zone)
		}
		restrictedWithoutZones := policy.Permitted != nil && len(policy.RegionOf) == 0
		require.Equal(t, !allPermitted || restrictedWithoutZones, policy.ExcludesAnyRegion())
	})
}

func TestDeniedErrorListsRegions(t *testing.T) {
	policy := RegionPolicy{Permitted: []string{"north", "south"}}
	require.EqualError(t, policy.Check(Turn, "a"), "no permitted place for turn in regions north,south")
	policy.Permitted = []string{}
	require.EqualError(t, policy.Check(Request, "a"), "no permitted place for request: no region is permitted by all that bind it")
}

func TestRegionsAreListedOnce(t *testing.T) {
	require.Equal(t, []string{"north", "south"}, Regions(map[string]string{"a": "south", "b": "north", "c": "south", "d": ""}))
	require.Empty(t, Regions(nil))
}
