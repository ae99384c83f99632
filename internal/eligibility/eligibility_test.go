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
	state.ReplaceZoneDrains(zones, 1)
	return state.View().Drains
}

func TestCheck(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "south"}
	for name, example := range map[string]struct {
		beliefs Checker
		zone    string
		request Request
		want    Reason
	}{
		"nothing is followed":                       {Checker{}, "a", Request{}, Eligible},
		"drains heard where none are followed":      {Checker{Drains: drained("a")}, "a", Request{}, Eligible},
		"no list was heard":                         {Checker{DrainsEnabled: true}, "a", Request{}, ZoneDrainsUnknown},
		"no zone is drained":                        {Checker{DrainsEnabled: true, Drains: drained()}, "a", Request{}, Eligible},
		"another zone is drained":                   {Checker{DrainsEnabled: true, Drains: drained("b")}, "a", Request{}, Eligible},
		"the zone is drained":                       {Checker{DrainsEnabled: true, Drains: drained("a")}, "a", Request{}, ZoneDrained},
		"a worker without a zone":                   {Checker{DrainsEnabled: true, Drains: drained("a")}, "", Request{}, Eligible},
		"a permitted region":                        {Checker{RegionOf: regions}, "a", Request{Regions: []string{"north"}}, Eligible},
		"another region":                            {Checker{RegionOf: regions}, "b", Request{Regions: []string{"north"}}, RegionNotPermitted},
		"a zone of no region":                       {Checker{RegionOf: regions}, "c", Request{Regions: []string{"north"}}, RegionNotPermitted},
		"no region is permitted":                    {Checker{RegionOf: regions}, "a", Request{Regions: []string{}}, RegionNotPermitted},
		"drained in a region that is not permitted": {Checker{DrainsEnabled: true, Drains: drained("b"), RegionOf: regions}, "b", Request{Regions: []string{"north"}}, RegionNotPermitted},
		"unknown, in a permitted region":            {Checker{DrainsEnabled: true, RegionOf: regions}, "a", Request{Regions: []string{"north"}}, ZoneDrainsUnknown},
	} {
		require.Equal(t, example.want, example.beliefs.Check(example.zone, example.request), name)
	}
}

// TestFilterAgreesWithReference compares the choice of workers with one written as the
// sentence that operators are told.
func TestFilterAgreesWithReference(t *testing.T) {
	zones := []string{"", "a", "b", "c", "d"}
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.Bool().Draw(t, "known")
		followed := rapid.Bool().Draw(t, "followed")
		drains := rapid.SliceOfDistinct(rapid.SampledFrom(zones[1:]), rapid.ID[string]).Draw(t, "drained")
		beliefs := Checker{DrainsEnabled: followed, RegionOf: regions}
		if known {
			beliefs.Drains = drained(drains...)
		}
		var request Request
		if rapid.Bool().Draw(t, "confined") {
			request.Regions = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"north", "south"}), rapid.ID[string]).Draw(t, "regions")
		}
		var workers, want []*directory.WorkerRecord
		for _, zone := range rapid.SliceOf(rapid.SampledFrom(zones)).Draw(t, "workers") {
			each := &directory.WorkerRecord{Worker: directory.Worker{Zone: zone, Slots: len(workers)}}
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
