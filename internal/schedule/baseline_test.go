package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func threeEngines() *Snapshot {
	snapshot := &Snapshot{}
	for _, id := range []structs.EngineID{"one", "two", "three"} {
		engine := idleEngine(id)
		engine.Running = 8
		snapshot.Engines = append(snapshot.Engines, engine)
	}
	return snapshot
}

func mustChoose(t *testing.T, policy string, snapshot *Snapshot, request *Request) Choice {
	choice, err := mustNew(t, policy).Choose(testNow, snapshot, request, testRandom())
	require.NoError(t, err)
	return choice
}

func TestLeastLoadedCountsOwnDispatches(t *testing.T) {
	snapshot := threeEngines()
	snapshot.Engines[0].Running = 5
	snapshot.Engines[1].Running = 6
	require.Equal(t, structs.EngineID("one"), mustChoose(t, "least-loaded", snapshot, testRequest()).Engine)
	snapshot.Engines[0].DispatchedStreams = 2
	require.Equal(t, structs.EngineID("two"), mustChoose(t, "least-loaded", snapshot, testRequest()).Engine)
}

func TestRoundRobinDistributesEvenly(t *testing.T) {
	policy, calls := mustNew(t, "round-robin"), map[structs.EngineID]int{}
	for range 9 {
		choice, err := policy.Choose(testNow, threeEngines(), testRequest(), nil)
		require.NoError(t, err)
		calls[choice.Engine]++
	}
	require.Equal(t, map[structs.EngineID]int{"one": 3, "two": 3, "three": 3}, calls)
}

func TestAffinityChoosesLongestPrefix(t *testing.T) {
	request := testRequest()
	request.CachedTokens = map[structs.EngineID]int64{"one": 10, "three": 900}
	snapshot := threeEngines()
	snapshot.Engines[2].Running = 30
	require.Equal(t, structs.EngineID("three"), mustChoose(t, "affinity", snapshot, request).Engine)
}

func TestRandomTwoNeverChoosesMostLoaded(t *testing.T) {
	snapshot, random := threeEngines(), testRandom()
	snapshot.Engines[1].Running = 30
	for range 50 {
		choice, err := mustNew(t, "random-two").Choose(testNow, snapshot, testRequest(), random)
		require.NoError(t, err)
		require.NotEqual(t, structs.EngineID("two"), choice.Engine)
	}
}

func TestPauseEstimatorPrefersHint(t *testing.T) {
	estimator := NewPauseEstimator()
	require.Zero(t, estimator.Expected("door-session", 0))
	estimator.Observe("door-session", 10*time.Second)
	estimator.Observe("door-session", 20*time.Second)
	require.Equal(t, 11*time.Second, estimator.Expected("door-session", 0))
	require.Equal(t, 3*time.Second, estimator.Expected("door-session", 3*time.Second))
	require.Zero(t, estimator.Expected("rebalance", 0))
}

func TestUnknownPolicyIsAnError(t *testing.T) {
	_, err := New("oracle")
	var unknown *UnknownPolicy
	require.ErrorAs(t, err, &unknown)
}

func TestGrowthEstimatorAveragesByName(t *testing.T) {
	estimator := NewGrowthEstimator()
	require.Zero(t, estimator.Expected("nominate"))
	estimator.Observe("nominate", 10_000)
	estimator.Observe("nominate", 20_000)
	require.Equal(t, int64(11_000), estimator.Expected("nominate"))
	require.Zero(t, estimator.Expected("renominate"))
}
