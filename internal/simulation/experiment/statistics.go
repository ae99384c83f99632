package experiment

import (
	"math/rand/v2"
	"slices"
)

// Interval is a median with its 95% confidence interval.
type Interval struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// Resamples and seed of the bootstrap; the seed makes the interval repeatable.
const (
	bootstrapResamples = 2_000
	bootstrapSeed      = 0x626f6f74
	intervalTail       = 0.025
)

// bootstrap returns the median of the values and the percentile interval of the
// medians of resamples.
func bootstrap(values []float64) Interval {
	random := rand.New(rand.NewPCG(bootstrapSeed, uint64(len(values))))
	medians := make([]float64, bootstrapResamples)
	drawn := make([]float64, len(values))
	for index := range medians {
		for position := range drawn {
			drawn[position] = values[random.IntN(len(values))]
		}
		medians[index] = median(drawn)
	}
	slices.Sort(medians)
	return Interval{Median: median(values), Low: quantile(medians, intervalTail), High: quantile(medians, 1-intervalTail)}
}

// median is the mean of the two middle values where their number is even.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted) == 0 {
		return 0
	}
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
