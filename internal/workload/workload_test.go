package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shape lists every step of a program and of its sub-agents.
func shape(program *Program) []Step {
	var steps []Step
	for step, more := program.Next(); more; step, more = program.Next() {
		children := step.Children
		step.Children = nil
		steps = append(steps, step)
		for _, child := range children {
			steps = append(steps, shape(child)...)
		}
	}
	return steps
}

func TestSameSeedGivesTheSamePrograms(t *testing.T) {
	for _, deployment := range Deployments() {
		shapes := map[uint64][]Step{}
		for _, seed := range []uint64{1, 2} {
			first, err := NewGenerator(deployment, seed)
			require.NoError(t, err)
			second, err := NewGenerator(deployment, seed)
			require.NoError(t, err)
			for _, arrival := range first.Arrivals(5, time.Minute) {
				shapes[seed] = append(shapes[seed], shape(arrival.Program)...)
			}
			var again []Step
			for _, arrival := range second.Arrivals(5, time.Minute) {
				again = append(again, shape(arrival.Program)...)
			}
			require.Equal(t, shapes[seed], again)
		}
		require.NotEqual(t, shapes[1], shapes[2])
	}
}

func TestNonRepeatableToolsAreMarked(t *testing.T) {
	once := map[string]bool{"cabinet-release": true, "refund": true, "file-nomination": true}
	seen := map[string]bool{}
	for _, deployment := range Deployments() {
		generator, err := NewGenerator(deployment, 7)
		require.NoError(t, err)
		for range 2_000 {
			for _, step := range shape(generator.Next()) {
				if step.Kind == KindTool {
					seen[step.Target] = true
					require.Equal(t, !once[step.Target], step.Repeatable, step.Target)
				}
			}
		}
	}
	require.Len(t, seen, 12)
}

func TestTextHasTheStepsLength(t *testing.T) {
	generator, err := NewGenerator("voltkai", 1)
	require.NoError(t, err)
	step, more := generator.Next().Next()
	require.True(t, more)
	require.Len(t, step.Text(), int(step.InputTokens*BytesPerToken))
	require.Equal(t, step.Text(), step.Text())
}

func TestUnknownDeploymentIsRefused(t *testing.T) {
	_, err := NewGenerator("nowhere", 1)
	var unknown *UnknownDeployment
	require.ErrorAs(t, err, &unknown)
}

func TestArrivalsFollowTheRate(t *testing.T) {
	for _, deployment := range Deployments() {
		generator, err := NewGenerator(deployment, 3)
		require.NoError(t, err)
		arrivals := generator.Arrivals(10, 10*time.Minute)
		require.InEpsilon(t, 6_000, len(arrivals), 0.1, deployment)
		late := 0
		for _, arrival := range arrivals {
			if arrival.At >= 5*time.Minute {
				late++
			}
		}
		expected := map[string]float64{"voltkai": 0.5, "hofbauer": 0.625}[deployment]
		require.InEpsilon(t, expected, float64(late)/float64(len(arrivals)), 0.1, deployment)
	}
}

func TestMeanDemandCountsEachTokenOnce(t *testing.T) {
	program := &Program{Prefixes: []Prefix{{Name: "start", Tokens: 100}}, random: newRandom(1), script: func(s *script) {
		s.model(swapAgent, span{10, 10}, span{5, 5})
		s.model(swapAgent, span{20, 20}, span{5, 5})
	}}
	var demand Demand
	demand.count(program, 0)
	require.Equal(t, Demand{NewTokens: 30, AnswerTokens: 10, ContextTokens: 5*115 + 5*140}, demand)
}
