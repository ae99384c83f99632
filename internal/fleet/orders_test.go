package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

var planTime = time.Unix(2_000_000, 0)

// fenced returns an engine that has seen token 5 and holds a version of model A.
func fenced(number int, version string) *member {
	m := &member{reachable: true, status: structs.EngineStatus{
		ID: endpoint(number).ID, Role: structs.RoleMixed, Fence: 5, Incarnation: 1, ReportedAt: planTime,
	}}
	if version != "" {
		m.status.Loaded = []structs.LoadedModel{{Model: modelA, Version: version}}
	}
	return m
}

func loadingNew(number int) *member {
	m := fenced(number, "")
	m.status.Loading = []structs.LoadedModel{{Model: modelA, Version: "2"}}
	return m
}

func wanting(replicas int, members ...*member) *situation {
	model := wantedModel{Model: structs.Model{Name: modelA, Version: "2"}, replicas: replicas}
	return &situation{now: planTime, token: 5, models: []wantedModel{model}, members: members, drainTimeout: time.Minute}
}

// kinds returns what a plan does to which engine.
func kinds(actions []action) []string {
	var found []string
	for _, a := range actions {
		found = append(found, fmt.Sprintf("%s %s%s", a.engine, a.kind, a.order.Kind))
	}
	return found
}

func TestPlanOfOrders(t *testing.T) {
	since := func(m *member, span time.Duration) *member {
		m.drainingSince = planTime.Add(-span)
		return m
	}
	quiet := func(m *member) *member { m.quiet = true; return m }
	behind := fenced(1, "1")
	behind.status.Fence = 4
	lost := fenced(1, "2")
	lost.reachable = false
	gone := fenced(1, "2")
	gone.reachable, gone.status.ReportedAt = false, planTime.Add(-time.Hour)
	leaving := fenced(1, "1")
	leaving.status.Leaving = true
	held := fenced(0, "1")
	held.heldBack = true
	cases := map[string]struct {
		situation *situation
		want      []string
	}{
		"all as declared":             {wanting(2, fenced(0, "2"), fenced(1, "2")), nil},
		"one engine at a time":        {wanting(2, fenced(0, "1"), fenced(1, "1")), []string{"engine-000 drain"}},
		"not while a replica lacks":   {wanting(3, fenced(0, "1"), fenced(1, "1"), since(fenced(2, "1"), 0)), nil},
		"not while one is lost":       {wanting(2, fenced(0, "1"), lost), nil},
		"not before all saw token":    {wanting(2, fenced(0, "1"), behind), []string{"engine-001 raiserole"}},
		"order when quiet":            {wanting(2, quiet(since(fenced(0, "1"), 0)), fenced(1, "2")), []string{"engine-000 orderunload"}},
		"no order when not fenced":    {wanting(2, quiet(since(fenced(0, "1"), 0)), behind), []string{"engine-001 raiserole"}},
		"returned when emptied":       {wanting(2, since(fenced(0, ""), 0), fenced(1, "2")), []string{"engine-000 return"}},
		"returned when out of time":   {wanting(2, since(fenced(0, "1"), time.Hour), fenced(1, "2")), []string{"engine-000 return"}},
		"returned when needed":        {wanting(3, since(fenced(0, "1"), 0), lost, fenced(2, "2")), []string{"engine-000 return"}},
		"held back after a time-out":  {wanting(2, held, fenced(1, "2")), nil},
		"load where empty":            {wanting(2, fenced(0, ""), fenced(1, "2")), []string{"engine-000 orderload"}},
		"lost for good is replaced":   {wanting(1, fenced(0, ""), gone), []string{"engine-000 orderload"}},
		"leaving is replaced":         {wanting(1, fenced(0, ""), leaving), []string{"engine-000 orderload"}},
		"one too many is taken away":  {wanting(1, fenced(0, "2"), fenced(1, "1")), []string{"engine-001 drain"}},
		"free engine is used first":   {wanting(1, fenced(0, "1"), fenced(1, "")), []string{"engine-001 orderload"}},
		"old one serves until then":   {wanting(1, fenced(0, "1"), loadingNew(1)), nil},
		"then the old one is drained": {wanting(1, fenced(0, "1"), fenced(1, "2")), []string{"engine-000 drain"}},
		"two loads at once":           {wanting(4, fenced(0, ""), fenced(1, ""), fenced(2, ""), fenced(3, "")), []string{"engine-000 orderload", "engine-001 orderload"}},
		"superseded does nothing":     {func() *situation { s := wanting(2, fenced(0, "1"), fenced(1, "1")); s.token = 4; return s }(), nil},
		"busy store holds back":       {func() *situation { s := wanting(2, fenced(0, ""), fenced(1, "2")); s.loadsHeldBack = true; return s }(), nil},
		"not what nobody else serves": {func() *situation { s := wanting(2, fenced(0, ""), fenced(1, "")); s.loadsHeldBack = true; return s }(), []string{"engine-000 orderload", "engine-001 orderload"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sortMembers(c.situation.members)
			require.Equal(t, c.want, kinds(c.situation.plan()))
		})
	}
}

func TestAdaptersFollowTheModel(t *testing.T) {
	one := fenced(0, "2")
	one.status.Loaded[0].Adapters = []string{"old"}
	s := wanting(1, one)
	s.models[0].Adapters = []string{"new"}
	assigned := assign(s.now, s.models, s.members)
	orders := s.wanting(one, assigned)
	require.Len(t, orders, 2)
	require.Equal(t, engine.OrderUnload, orders[0].Kind)
	require.Equal(t, "old", orders[0].Adapter)
	require.Equal(t, engine.OrderLoad, orders[1].Kind)
	require.Equal(t, "new", orders[1].Adapter)
	require.Equal(t, priorityAdapter, orders[1].Priority)
}

func TestReplicasAreDividedWithoutRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 64), 1, 12).Draw(t, "sizes")
		replicas := rapid.IntRange(0, 900).Draw(t, "replicas")
		total, given := 0, 0
		parts := replicasOf(replicas, sizes)
		for i, part := range parts {
			require.LessOrEqual(t, part, sizes[i])
			total += sizes[i]
			given += part
		}
		require.Equal(t, min(replicas, total), given)
	})
}

func TestGroupsAreBoundedOnAverage(t *testing.T) {
	zone := structs.Zone{Name: testSelf.Zone}
	for i := range 650 {
		zone.Engines = append(zone.Engines, endpoint(i).EngineEndpoint)
	}
	groups := groupsOf(zone)
	require.Len(t, groups, 11)
	total := 0
	for g, engines := range groups {
		require.Equal(t, 11, g.count)
		total += len(engines)
	}
	require.Equal(t, 650, total)
}
