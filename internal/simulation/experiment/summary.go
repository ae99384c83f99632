package experiment

import (
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/simulation"
)

// Setting is what is held equal when policies are compared.
type Setting struct {
	Deployment string           `json:"deployment"`
	Load       float64          `json:"load"`
	Fault      simulation.Fault `json:"fault"`
}

// Summary is one policy in one setting, over all seeds.
type Summary struct {
	Setting
	Policy string `json:"policy"`
	// P95 is the 95th percentile of program latency, in milliseconds.
	P95 Interval `json:"program_latency_p95_ms"`
	// ServiceP95 is the same without pauses for persons.
	ServiceP95 Interval `json:"service_latency_p95_ms"`
	// Wasted is the share of prompt tokens wasted.
	Wasted Interval `json:"wasted_share"`
	// P95Ratio and WastedRatio are against the best baseline of the setting,
	// seed by seed; below 1 is better than it.
	P95Ratio       Interval `json:"p95_ratio"`
	P95Baseline    string   `json:"p95_baseline"`
	WastedRatio    Interval `json:"wasted_ratio"`
	WastedBaseline string   `json:"wasted_baseline"`
	rows           []Row
}

// measure is a figure of a row; lower is better.
type measure func(Row) float64

func p95(row Row) float64 { return row.ProgramLatency.P95 }

func serviceP95(row Row) float64 { return row.ServiceLatency.P95 }

func wastedTokens(row Row) float64 { return float64(row.WastedTokens) }

// Summarize groups rows by setting and policy, in the order of the rows.
func Summarize(rows []Row) []Summary {
	var summaries []Summary
	for _, row := range rows {
		setting := Setting{row.Deployment, row.Load, row.Fault}
		position := slices.IndexFunc(summaries, func(s Summary) bool {
			return s.Setting == setting && s.Policy == row.Policy
		})
		if position < 0 {
			position = len(summaries)
			summaries = append(summaries, Summary{Setting: setting, Policy: row.Policy})
		}
		summaries[position].rows = append(summaries[position].rows, row)
	}
	for index := range summaries {
		summaries[index].fill(summaries)
	}
	return summaries
}

func (s *Summary) fill(all []Summary) {
	s.P95 = bootstrap(values(s.rows, p95))
	s.ServiceP95 = bootstrap(values(s.rows, serviceP95))
	s.Wasted = bootstrap(values(s.rows, Row.WastedShare))
	if best := bestBaseline(all, s.Setting, p95); best != nil {
		s.P95Baseline = best.Policy
		s.P95Ratio = bootstrap(ratios(s.rows, best.rows, p95))
	}
	if best := bestBaseline(all, s.Setting, wastedTokens); best != nil {
		s.WastedBaseline = best.Policy
		s.WastedRatio = bootstrap(ratios(s.rows, best.rows, wastedTokens))
	}
}

// bestBaseline returns the baseline with the lowest median of the measure.
func bestBaseline(all []Summary, setting Setting, of measure) *Summary {
	var best *Summary
	for index := range all {
		candidate := &all[index]
		if candidate.Setting != setting || !slices.Contains(Baselines(), candidate.Policy) {
			continue
		}
		if best == nil || median(values(candidate.rows, of)) < median(values(best.rows, of)) {
			best = candidate
		}
	}
	return best
}

func values(rows []Row, of measure) []float64 {
	list := make([]float64, len(rows))
	for index, row := range rows {
		list[index] = of(row)
	}
	return list
}

// ratios divides the rows' measure by the baseline's of the same seed. Where the
// baseline's is zero the ratio is 1 for zero too, and the measure itself else.
func ratios(rows, baseline []Row, of measure) []float64 {
	list := make([]float64, 0, len(rows))
	for _, row := range rows {
		position := slices.IndexFunc(baseline, func(b Row) bool { return b.Seed == row.Seed })
		if position < 0 {
			continue
		}
		list = append(list, ratio(of(row), of(baseline[position])))
	}
	return list
}

func ratio(value, baseline float64) float64 {
	switch {
	case baseline != 0:
		return value / baseline
	case value == 0:
		return 1
	}
	return value
}

// find returns the summary of the default policy in a setting.
func find(summaries []Summary, setting Setting) (Summary, bool) {
	for _, summary := range summaries {
		if summary.Setting == setting && summary.Policy == schedule.DefaultPolicy {
			return summary, true
		}
	}
	return Summary{}, false
}
