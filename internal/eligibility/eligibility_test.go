package eligibility

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/directory"
)

// zoneDrains returns drained zones as a process that has received them stores them.
func zoneDrains(zones ...string) directory.ZoneDrains {
	state := directory.NewState(time.Now, nil)
	state.ReplaceZoneDrains(zones, 1)
	return state.View().Drains
}

func TestCheck(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "south"}
	for name, example := range map[string]struct {
		checker Checker
		zone    string
		request Request
		want    Reason
	}{
		"drains are disabled":                       {Checker{}, "a", Request{}, Eligible},
		"drains are known but disabled":             {Checker{Drains: zoneDrains("a")}, "a", Request{}, Eligible},
		"drains are unknown":                        {Checker{DrainsEnabled: true}, "a", Request{}, ZoneDrainsUnknown},
		"no zone is drained":                        {Checker{DrainsEnabled: true, Drains: zoneDrains()}, "a", Request{}, Eligible},
		"another zone is drained":                   {Checker{DrainsEnabled: true, Drains: zoneDrains("b")}, "a", Request{}, Eligible},
		"the zone is drained":                       {Checker{DrainsEnabled: true, Drains: zoneDrains("a")}, "a", Request{}, ZoneDrained},
		"a worker without a zone":                   {Checker{DrainsEnabled: true, Drains: zoneDrains("a")}, "", Request{}, Eligible},
		"a permitted region":                        {Checker{RegionOf: regions}, "a", Request{Regions: []string{"north"}}, Eligible},
		"another region":                            {Checker{RegionOf: regions}, "b", Request{Regions: []string{"north"}}, RegionNotPermitted},
		"a zone of no region":                       {Checker{RegionOf: regions}, "c", Request{Regions: []string{"north"}}, RegionNotPermitted},
		"no region is permitted":                    {Checker{RegionOf: regions}, "a", Request{Regions: []string{}}, RegionNotPermitted},
		"drained in a region that is not permitted": {Checker{DrainsEnabled: true, Drains: zoneDrains("b"), RegionOf: regions}, "b", Request{Regions: []string{"north"}}, RegionNotPermitted},
		"unknown drains in a permitted region":      {Checker{DrainsEnabled: true, RegionOf: regions}, "a", Request{Regions: []string{"north"}}, ZoneDrainsUnknown},
	} {
		require.Equal(t, example.want, example.checker.Check(example.zone, example.request), name)
	}
}

// TestFilterAgreesWithReference compares Filter with a direct implementation of the rule that is
// documented for operators.
func TestFilterAgreesWithReference(t *testing.T) {
	zones := []string{"", "a", "b", "c", "d"}
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}
	rapid.Check(t, func(t *rapid.T) {
		drainsKnown := rapid.Bool().Draw(t, "drains known")
		drainsEnabled := rapid.Bool().Draw(t, "drains enabled")
		drains := rapid.SliceOfDistinct(rapid.SampledFrom(zones[1:]), rapid.ID[string]).Draw(t, "drained")
		checker := Checker{DrainsEnabled: drainsEnabled, RegionOf: regions}
		if drainsKnown {
			checker.Drains = zoneDrains(drains...)
		}
		var request Request
		if rapid.Bool().Draw(t, "region restricted") {
			request.Regions = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"north", "south"}), rapid.ID[string]).Draw(t, "regions")
		}
		var workers, want []*directory.WorkerRecord
		for _, zone := range rapid.SliceOf(rapid.SampledFrom(zones)).Draw(t, "workers") {
			each := &directory.WorkerRecord{Worker: directory.Worker{Zone: zone, Slots: len(workers)}}
			workers = append(workers, each)
			notDrained := !drainsEnabled || (drainsKnown && !slices.Contains(drains, zone))
			permitted := request.Regions == nil || slices.Contains(request.Regions, regions[zone])
			if notDrained && permitted {
				want = append(want, each)
			}
		}
		before := slices.Clone(workers)
		eligible, ineligible := checker.Filter(workers, request)
		require.ElementsMatch(t, want, eligible)
		require.Equal(t, before, workers, "the shared list must not be modified")
		count := 0
		for reason, each := range ineligible {
			require.NotEqual(t, Eligible, reason)
			count += each
		}
		require.Equal(t, len(workers)-len(want), count)
	})
}

func TestStreamContinuesOnlyAtItsVersion(t *testing.T) {
	for name, example := range map[string]struct {
		stream *Stream
		worker directory.Worker
		want   Reason
	}{
		"a request that begins anew":                 {nil, directory.Worker{Version: "v2"}, Eligible},
		"the same version":                           {&Stream{Version: "v1"}, directory.Worker{Version: "v1"}, Eligible},
		"another version":                            {&Stream{Version: "v1"}, directory.Worker{Version: "v2"}, OtherVersion},
		"a worker of unknown version":                {&Stream{Version: "v1"}, directory.Worker{}, VersionUnknown},
		"a stream of unknown version":                {&Stream{}, directory.Worker{Version: "v1"}, VersionUnknown},
		"both unknown":                               {&Stream{}, directory.Worker{}, VersionUnknown},
		"the incarnation that began it":              {&Stream{WorkerID: "i@1"}, directory.Worker{ID: "i@1"}, Eligible},
		"the next incarnation of that worker":        {&Stream{WorkerID: "i@1"}, directory.Worker{ID: "i@2"}, VersionUnknown},
		"an incarnation whose entry changed version": {&Stream{Version: "v1", WorkerID: "i"}, directory.Worker{ID: "i", Version: "v2"}, OtherVersion},
	} {
		require.Equal(t, example.want, Checker{}.CheckWorker(example.worker, Request{Stream: example.stream}), name)
		eligible, ineligible := Checker{}.Filter([]*directory.WorkerRecord{{Worker: example.worker}}, Request{Stream: example.stream})
		require.Equal(t, example.want == Eligible, len(eligible) == 1, name)
		require.Equal(t, example.want == Eligible, len(ineligible) == 0, name)
	}
}
