package operator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/declaration"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
	"github.com/barleyshelf/barleyshelf/internal/plan"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// TestMain fixes the seed of rapid; -rapid.seed and -rapid.checks take over.
func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20260101")) }

type seeded struct{ *rand.Rand }

func (s seeded) choose(count int) int { return s.IntN(count) }

type drawn struct{ t *rapid.T }

func (d drawn) choose(count int) int { return rapid.IntRange(0, count-1).Draw(d.t, "choice") }

func example(t require.TestingT) structs.Declarations {
	loaded, err := declaration.Load("../../deploy/voltkai")
	require.NoError(t, err)
	return loaded
}

// attempt is one operator's plan and what the operator was told of it.
type attempt struct {
	operator string
	planID   string
	applied  *Applied
	conflict *PlanConflict
	// asked counts the requests to apply it.
	asked int
}

// settled reports whether the operator knows what became of the plan.
func (a *attempt) settled() bool { return a.applied != nil || a.conflict != nil }

// applyUntilSettled asks again while the answer says that a repeat may help.
// What is said to be not run at the first time must not be on its way.
func (a *attempt) applyUntilSettled(service *Service, store *objectStore, limit int) {
	for range limit {
		a.asked++
		applied, err := service.Apply(context.Background(), Confirmation{Operator: a.operator, PlanID: a.planID})
		if err == nil {
			a.applied = &applied
			return
		}
		if errors.As(err, &a.conflict) {
			return
		}
		found, known := failure.As(err)
		if !known || !found.Retry().Allowed {
			panic(err)
		}
		if a.asked == 1 && found.Outcome() == failure.NotRun && store.mayHold(a.planID) {
			panic(fmt.Sprintf("plan %s was told as not run, but it may be accepted: %v", a.planID, err))
		}
	}
}

// createUntilKept plans a change of one value; created is nil where the
// platform never answered.
func createUntilKept(service *Service, operator string, wanted structs.Declarations, limit int) *plan.Plan {
	for range limit {
		created, err := service.Create(context.Background(), operator, wanted)
		if err == nil {
			return created
		}
		if !failure.IsType(err, platformUnavailable) {
			panic(err)
		}
	}
	return nil
}

// requireHistory is the oracle: it compares what operators were told with every
// root object that the platform ever accepted.
func requireHistory(t require.TestingT, store *objectStore, attempts []*attempt) {
	acceptedAs := map[string]uint64{}
	var base uint64
	for i, root := range store.roots {
		require.NotNil(t, root.Audit, "version %d has no record", root.Version)
		require.Equal(t, base, root.Audit.Base, "version %d replaced another one than it was made from", root.Version)
		require.Equal(t, root.PlanID, root.Audit.PlanID)
		require.NotContains(t, acceptedAs, root.PlanID, "a plan was accepted twice")
		acceptedAs[root.PlanID] = root.Version
		if i < len(store.roots)-1 {
			requireArchived(t, store, root)
		}
		base = root.Version
	}
	for _, one := range attempts {
		version, accepted := acceptedAs[one.planID]
		switch {
		case one.applied != nil:
			require.True(t, accepted, "%s was told that %s is applied, but it was lost", one.operator, one.planID)
			require.Equal(t, version, one.applied.Version)
		case one.conflict != nil:
			require.False(t, accepted, "%s was told of a conflict, but %s was accepted", one.operator, one.planID)
			require.NotEmpty(t, one.conflict.Theirs)
			require.NotEmpty(t, one.conflict.Mine)
		}
	}
}

func requireArchived(t require.TestingT, store *objectStore, root *structs.Configuration) {
	record, err := newTestService(direct{store}, plan.Usage{}).archived(context.Background(), root.Audit.Base)
	require.NoError(t, err)
	require.Equal(t, recordOf(root), record, "the trail lacks version %d", root.Version)
}

// TestTwoOperatorsRaceAThousandTimes: of two plans from one version, one is
// accepted each time and the other is a conflict that shows the winner's
// change, while a fifth of all requests are lost, unanswered or late.
func TestTwoOperatorsRaceAThousandTimes(t *testing.T) {
	const races, faultPercent = 1000, 20
	choose := seeded{rand.New(rand.NewPCG(1, 2))}
	store := newObjectStore()
	base := example(t)
	created, err := newTestService(direct{store}, plan.Usage{Complete: true}).Create(context.Background(), "first", base)
	require.NoError(t, err)
	all := []*attempt{{operator: "first", planID: created.ID}}
	all[0].applyUntilSettled(newTestService(direct{store}, plan.Usage{Complete: true}), store, 1)
	wins := map[string]int{}
	asked := 0
	for race := range races {
		pair := raceOnce(t, choose, store, clone(base), race, faultPercent)
		for i, one := range pair {
			asked += one.asked
			if one.applied != nil {
				wins[one.operator]++
				require.NotNil(t, pair[1-i].conflict, "race %d: two plans accepted", race)
				require.Equal(t, one.planID, pair[1-i].conflict.Theirs[0].PlanID)
			}
		}
		all = append(all, pair...)
	}
	require.Equal(t, races, wins["lin"]+wins["wu"])
	require.Len(t, store.roots, races+1)
	requireHistory(t, store, all)
	trail, err := newTestService(direct{store}, plan.Usage{}).Audit(context.Background(), MaxAuditRecords)
	require.NoError(t, err)
	require.Len(t, trail, MaxAuditRecords)
	t.Logf("%d races: lin won %d, wu won %d; %d requests to apply, %d versions", races, wins["lin"], wins["wu"], asked, len(store.roots))
}

func raceOnce(t *testing.T, choose chooser, store *objectStore, wanted structs.Declarations, race, faultPercent int) []*attempt {
	var pair []*attempt
	var connections []*connection
	var tasks []func()
	for i, name := range []string{"lin", "wu"} {
		wanted.Tenants[i].Weight = float64(race + 2)
		created, err := newTestService(direct{store}, plan.Usage{Complete: true}).Create(context.Background(), name, clone(wanted))
		require.NoError(t, err)
		one := &attempt{operator: name, planID: created.ID}
		link := newConnection(store)
		pair = append(pair, one)
		connections = append(connections, link)
		tasks = append(tasks, func() { one.applyUntilSettled(newTestService(link, plan.Usage{Complete: true}), store, 1000) })
	}
	runAll(choose, faultPercent, connections, tasks)
	return pair
}

// TestRacingOperatorsKeepHistoryWhole lets two to four operators plan, apply
// and apply again at will, under faults of any rate, and compares with the
// oracle; then the platform recovers and every open question is settled.
func TestRacingOperatorsKeepHistoryWhole(t *testing.T) {
	base := example(t)
	rapid.Check(t, func(t *rapid.T) {
		store := newObjectStore()
		operators := rapid.IntRange(2, 4).Draw(t, "operators")
		faultPercent := rapid.SampledFrom([]int{0, 10, 40, 70}).Draw(t, "faultPercent")
		rounds := rapid.IntRange(1, 4).Draw(t, "rounds")
		made := make([][]*attempt, operators)
		var connections []*connection
		var tasks []func()
		for i := range operators {
			link := newConnection(store)
			connections = append(connections, link)
			tasks = append(tasks, func() {
				made[i] = operate(newTestService(link, plan.Usage{Complete: true}), store, fmt.Sprintf("operator-%d", i), clone(base), rounds)
			})
		}
		runAll(drawn{t}, faultPercent, connections, tasks)
		var all []*attempt
		for _, each := range made {
			all = append(all, each...)
		}
		requireHistory(t, store, all)
		recovered := newTestService(direct{store}, plan.Usage{Complete: true})
		for _, one := range all {
			one.applyUntilSettled(recovered, store, 2)
			require.True(t, one.settled())
		}
		for _, write := range store.late {
			_, _ = store.put(write.key, write.expected, write.value)
		}
		requireHistory(t, store, all)
	})
}

// operate makes and applies one change a round, some applied twice.
func operate(service *Service, store *objectStore, name string, wanted structs.Declarations, rounds int) []*attempt {
	var made []*attempt
	for round := range rounds {
		wanted.Tenants[round%2].Weight++
		wanted.Tools[0].Retries = round
		created := createUntilKept(service, name, clone(wanted), 3)
		if created == nil || created.IsEmpty() {
			continue
		}
		one := &attempt{operator: name, planID: created.ID}
		one.applyUntilSettled(service, store, 1+round%2)
		made = append(made, one)
	}
	return made
}
