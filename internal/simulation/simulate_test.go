package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// short is a run of less than a simulated minute at half load.
func short(t *testing.T, deployment, policy string, fault Fault, seed uint64) Config {
	rate, err := Rate(deployment, DefaultParameters(), 0.5)
	require.NoError(t, err)
	return Config{
		Deployment: deployment, Policy: policy, Fault: fault, Seed: seed, ProgramsPerSecond: rate,
		Duration: 40 * time.Second, WarmUp: 0, Parameters: DefaultParameters(),
	}
}

func TestSameSeedGivesTheSameResult(t *testing.T) {
	for _, policy := range schedule.Names() {
		first, err := Simulate(short(t, "voltkai", policy, FaultEngineCrash, 5))
		require.NoError(t, err)
		again, err := Simulate(short(t, "voltkai", policy, FaultEngineCrash, 5))
		require.NoError(t, err)
		require.Equal(t, first, again, policy)
		other, err := Simulate(short(t, "voltkai", policy, FaultEngineCrash, 6))
		require.NoError(t, err)
		require.NotEqual(t, first.Programs, other.Programs, policy)
	}
}

func TestEveryPolicyRunsTheSameProgramsToTheirEnd(t *testing.T) {
	for _, fault := range Faults() {
		for _, deployment := range workload.Deployments() {
			var calls int64
			for _, policy := range schedule.Names() {
				result, err := Simulate(short(t, deployment, policy, fault, 1))
				require.NoError(t, err)
				for _, program := range result.Programs {
					require.True(t, program.Completed, "%s %s %s", fault, deployment, policy)
					require.Greater(t, program.Latency, program.Paused)
				}
				if calls == 0 {
					calls = result.Totals.Calls
				}
				require.Equal(t, calls, result.Totals.Calls, "%s %s %s", fault, deployment, policy)
			}
		}
	}
}

func TestTokensAddUp(t *testing.T) {
	for _, policy := range schedule.Names() {
		result, err := Simulate(short(t, "hofbauer", policy, FaultNone, 1))
		require.NoError(t, err)
		totals := result.Totals
		require.Positive(t, totals.ReusedTokens, policy)
		require.LessOrEqual(t, totals.ReusedTokens+totals.WastedTokens, totals.PromptTokens, policy)
		if policy == "round-robin" {
			require.Positive(t, totals.WastedTokens)
		}
	}
}

func TestLeavingEngineTakesNoNewStreams(t *testing.T) {
	deployment, err := workload.DeploymentByName("voltkai")
	require.NoError(t, err)
	w, err := newWorld(short(t, "voltkai", "affinity", FaultNone, 1), deployment)
	require.NoError(t, err)
	generator, err := workload.NewGenerator("voltkai", 1)
	require.NoError(t, err)
	w.engines[0].leaving = true
	var before uint64
	w.clock.after(5*time.Second, func() { before = w.engines[0].arrivals })
	w.simulate(short(t, "voltkai", "affinity", FaultNone, 1), generator.Arrivals(5, time.Minute))
	require.Equal(t, before, w.engines[0].arrivals)
}

func TestCrashLosesMemoryAndStreamsRunElsewhere(t *testing.T) {
	result, err := Simulate(short(t, "voltkai", "affinity", FaultEngineCrash, 1))
	require.NoError(t, err)
	require.Positive(t, result.Totals.Restarted)
	calm, err := Simulate(short(t, "voltkai", "affinity", FaultNone, 1))
	require.NoError(t, err)
	require.Greater(t, result.Totals.WastedTokens, calm.Totals.WastedTokens)
}

func TestEngineStartsStreamsByPriority(t *testing.T) {
	parameters := DefaultParameters()
	parameters.MaxBatch = 1
	w := &world{parameters: parameters}
	e := newEngine(&w.clock, parameters, "engine", "zone", nil)
	e.evicted = w.evicted
	var order []int
	for id, priority := range []int{5, 9, 1, 5} {
		e.submit(&stream{
			prompt: []segment{{id: uint64(id + 1), tokens: 10}}, promptTokens: 10,
			answer: segment{id: uint64(id + 100), tokens: 3}, maxAnswer: 5, priority: priority,
			done: func(usage) { order = append(order, id) },
		})
	}
	for w.clock.step() {
	}
	require.Equal(t, []int{0, 2, 3, 1}, order)
}

func TestPrefillSlowsDecoding(t *testing.T) {
	alone, beside := decodeTime(0), decodeTime(4_000)
	require.Greater(t, beside, alone+4_000*DefaultParameters().PrefillPerToken/2)
}

// decodeTime is how long an answer takes beside a prompt of the given length.
func decodeTime(promptTokens int64) time.Duration {
	w := &world{parameters: DefaultParameters()}
	e := newEngine(&w.clock, w.parameters, "engine", "zone", nil)
	var took time.Duration
	e.submit(&stream{
		prompt: []segment{{id: 1, tokens: 8}}, promptTokens: 8, answer: segment{id: 2, tokens: 40}, maxAnswer: 40,
		done: func(usage) { took = w.clock.now },
	})
	if promptTokens > 0 {
		e.submit(&stream{
			prompt: []segment{{id: 3, tokens: promptTokens}}, promptTokens: promptTokens,
			answer: segment{id: 4, tokens: 1}, maxAnswer: 1, done: func(usage) {},
		})
	}
	for w.clock.step() {
	}
	return took
}

func TestUnknownNamesAreRefused(t *testing.T) {
	config := short(t, "voltkai", "affinity", "earthquake", 1)
	_, err := Simulate(config)
	var fault *UnknownFault
	require.ErrorAs(t, err, &fault)
	config.Fault, config.Policy = FaultNone, "oracle"
	_, err = Simulate(config)
	var policy *schedule.UnknownPolicy
	require.ErrorAs(t, err, &policy)
}

func TestCapacityFollowsTheEngines(t *testing.T) {
	for _, deployment := range workload.Deployments() {
		base, err := Capacity(deployment, DefaultParameters())
		require.NoError(t, err)
		slower, err := Capacity(deployment, DefaultParameters().scaled("PrefillPerToken", 4))
		require.NoError(t, err)
		require.Less(t, slower, base)
	}
}

func TestVariationsChangeOneParameterEach(t *testing.T) {
	seen := map[Parameters]bool{DefaultParameters(): true}
	for _, variation := range Variations(DefaultParameters(), 0.5, 2) {
		require.False(t, seen[variation.Parameters], variation.Parameter)
		seen[variation.Parameters] = true
	}
}

func BenchmarkSimulate(b *testing.B) {
	rate, err := Rate("voltkai", DefaultParameters(), 0.8)
	require.NoError(b, err)
	for range b.N {
		_, err := Simulate(Config{
			Deployment: "voltkai", Policy: "affinity", Seed: 1, ProgramsPerSecond: rate,
			Duration: DefaultDuration, WarmUp: DefaultWarmUp, Parameters: DefaultParameters(),
		})
		require.NoError(b, err)
	}
}
