package eligibility

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

// drained returns drained zones as a process that heard of them holds them.
func drained(zones ...string) directory.ZoneDrains {
	state := directory.NewState(time.Now, nil)
	state.OfferZoneDrains(zones, 1)
	return state.View().Drains
}

func TestCheckAnswers(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "south"}
	for name, example := range map[string]struct {
		beliefs Beliefs
		zone    string
		request Request
		want    Reason
	}{
		"nothing is followed":                       {Beliefs{}, "a", Request{}, Eligible},
		"drains heard where none are followed":      {Beliefs{Drains: drained("a")}, "a", Request{}, Eligible},
		"no list was heard":                         {Beliefs{DrainsFollowed: true}, "a", Request{}, ZonesUnknown},
		"no zone is drained":                        {Beliefs{DrainsFollowed: true, Drains: drained()}, "a", Request{}, Eligible},
		"another zone is drained":                   {Beliefs{DrainsFollowed: true, Drains: drained("b")}, "a", Request{}, Eligible},
		"the zone is drained":                       {Beliefs{DrainsFollowed: true, Drains: drained("a")}, "a", Request{}, ZoneDrained},
		"a worker without a zone":                   {Beliefs{DrainsFollowed: true, Drains: drained("a")}, "", Request{}, Eligible},
		"a permitted region":                        {Beliefs{Regions: regions}, "a", Request{Regions: []string{"north"}}, Eligible},
		"another region":                            {Beliefs{Regions: regions}, "b", Request{Regions: []string{"north"}}, RegionNotPermitted},
		"a zone of no region":                       {Beliefs{Regions: regions}, "c", Request{Regions: []string{"north"}}, RegionNotPermitted},
		"no region is permitted":                    {Beliefs{Regions: regions}, "a", Request{Regions: []string{}}, RegionNotPermitted},
		"drained in a region that is not permitted": {Beliefs{DrainsFollowed: true, Drains: drained("b"), Regions: regions}, "b", Request{Regions: []string{"north"}}, RegionNotPermitted},
		"unknown, in a permitted region":            {Beliefs{DrainsFollowed: true, Regions: regions}, "a", Request{Regions: []string{"north"}}, ZonesUnknown},
	} {
		require.Equal(t, example.want, example.beliefs.Check(example.zone, example.request), name)
	}
}

// TestFilterAgreesWithAPlainOracle compares the choice of workers with one written as the
// sentence that operators are told.
func TestFilterAgreesWithAPlainOracle(t *testing.T) {
	zones := []string{"", "a", "b", "c", "d"}
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.Bool().Draw(t, "known")
		followed := rapid.Bool().Draw(t, "followed")
		drains := rapid.SliceOfDistinct(rapid.SampledFrom(zones[1:]), rapid.ID[string]).Draw(t, "drained")
		beliefs := Beliefs{DrainsFollowed: followed, Regions: regions}
		if known {
			beliefs.Drains = drained(drains...)
		}
		var request Request
		if rapid.Bool().Draw(t, "confined") {
			request.Regions = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"north", "south"}), rapid.ID[string]).Draw(t, "regions")
		}
		var workers, want []*directory.Listed
		for _, zone := range rapid.SliceOf(rapid.SampledFrom(zones)).Draw(t, "workers") {
			each := &directory.Listed{Worker: directory.Worker{Zone: zone, Slots: len(workers)}}
			workers = append(workers, each)
			kept := !followed || (known && !slices.Contains(drains, zone))
			permitted := request.Regions == nil || slices.Contains(request.Regions, regions[zone])
			if kept && permitted {
				want = append(want, each)
			}
		}
		before := slices.Clone(workers)
		eligible, ineligible := beliefs.Filter(workers, request)
		require.ElementsMatch(t, want, eligible)
		require.Equal(t, before, workers, "the list is shared and must stay as it is")
		count := 0
		for reason, each := range ineligible {
			require.NotEqual(t, Eligible, reason)
			count += each
		}
		require.Equal(t, len(workers)-len(want), count)
	})
}
