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
		for range 200 {
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
