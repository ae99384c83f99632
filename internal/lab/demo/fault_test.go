package demo

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAllStandsForEveryFaultOnce(t *testing.T) {
	chosen, err := chooseFaults([]string{"all"})
	require.NoError(t, err)
	require.Len(t, chosen, len(FaultNames()))
	none, err := chooseFaults([]string{"none"})
	require.NoError(t, err)
	require.Empty(t, none)
	twice, err := chooseFaults([]string{"zone-cut", "zone-cut"})
	require.NoError(t, err)
	require.Len(t, twice, 2)
}

func TestUnknownFaultIsRefused(t *testing.T) {
	_, err := chooseFaults([]string{"daemon-kill", "earthquake"})
	unknown := &UnknownFault{}
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "earthquake", unknown.Name)
	require.Contains(t, err.Error(), "zone-cut")
}

func TestOrderOfFaultsFollowsTheSeed(t *testing.T) {
	chosen, err := chooseFaults([]string{"all"})
	require.NoError(t, err)
	names := func(seed uint64, each lane) []string {
		var ordered []string
		for _, next := range order(chosen, each, rand.New(rand.NewPCG(seed, 0))) {
			ordered = append(ordered, next.name)
		}
		return ordered
	}
	require.Equal(t, names(4, backendLane), names(4, backendLane))
	require.NotEqual(t, names(4, backendLane), names(5, backendLane))
	total := 0
	for each := range lanes {
		total += len(names(4, each))
	}
	require.Equal(t, len(chosen), total, "every fault belongs to one lane")
}
