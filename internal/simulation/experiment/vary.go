package experiment

import (
	"context"
	"math"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/simulation"
)

// Sensitivity is what one changed engine parameter does to the comparison.
type Sensitivity struct {
	Setting
	// Parameter is the changed parameter, empty for none; Factor its change.
	Parameter string  `json:"parameter"`
	Factor    float64 `json:"factor"`
	// Ranking orders the policies by their median p95 program latency,
	// WastedRanking by their wasted tokens, best first.
	Ranking       []string `json:"ranking"`
	WastedRanking []string `json:"wasted_ranking"`
	// P95Ratio and WastedRatio are the default policy's against the best
	// baseline.
	P95Ratio    float64 `json:"p95_ratio"`
	WastedRatio float64 `json:"wasted_ratio"`
	// Hangs says that the result hangs on the parameter: the first place changes
	// on a measure, or its ratio moves by more than hangsShift.
	Hangs bool `json:"hangs"`
}

// hangsShift is the change of a ratio that counts.
const hangsShift = 0.10

// Vary runs the options once as they are and once for each parameter and factor.
func Vary(ctx context.Context, o Options, factors []float64) ([]Sensitivity, error) {
	base, err := sensitivities(ctx, o, "", 1)
	if err != nil {
		return nil, err
	}
	list := slices.Clone(base)
	for _, variation := range simulation.Variations(o.Parameters, factors...) {
		varied := o
		varied.Parameters = variation.Parameters
		found, err := sensitivities(ctx, varied, variation.Parameter, variation.Factor)
		if err != nil {
			return nil, err
		}
		for index := range found {
			found[index].Hangs = hangs(base[index], found[index])
		}
		list = append(list, found...)
	}
	return list, nil
}

func sensitivities(ctx context.Context, o Options, parameter string, factor float64) ([]Sensitivity, error) {
	rows, err := Run(ctx, o)
	if err != nil {
		return nil, err
	}
	summaries := Summarize(rows)
	var list []Sensitivity
	for _, setting := range settings(summaries) {
		made := Sensitivity{
			Setting: setting, Parameter: parameter, Factor: factor,
			Ranking: ranking(summaries, setting, p95), WastedRanking: ranking(summaries, setting, wastedTokens),
		}
		if own, found := find(summaries, setting); found {
			made.P95Ratio, made.WastedRatio = own.P95Ratio.Median, own.WastedRatio.Median
		}
		list = append(list, made)
	}
	return list, nil
}

func hangs(base, varied Sensitivity) bool {
	return base.Ranking[0] != varied.Ranking[0] || base.WastedRanking[0] != varied.WastedRanking[0] ||
		math.Abs(base.P95Ratio-varied.P95Ratio) > hangsShift ||
		math.Abs(base.WastedRatio-varied.WastedRatio) > hangsShift
}

// settings lists the settings in their order.
func settings(summaries []Summary) []Setting {
	var list []Setting
	for _, summary := range summaries {
		if !slices.Contains(list, summary.Setting) {
			list = append(list, summary.Setting)
		}
	}
	return list
}

// ranking lists the policies of a setting, best first.
func ranking(summaries []Summary, setting Setting, of measure) []string {
	medians := map[string]float64{}
	var names []string
	for _, summary := range summaries {
		if summary.Setting == setting {
			names = append(names, summary.Policy)
			medians[summary.Policy] = median(values(summary.rows, of))
		}
	}
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case medians[a] < medians[b]:
			return -1
		case medians[a] > medians[b]:
			return 1
		}
		return 0
	})
	return names
}
