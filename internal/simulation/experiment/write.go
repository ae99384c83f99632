package experiment

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Report is everything that an experiment found.
type Report struct {
	Rows      []Row         `json:"rows"`
	Summaries []Summary     `json:"summaries,omitempty"`
	Varied    []Sensitivity `json:"variations,omitempty"`
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// WriteText writes tables: medians over the seeds, their 95% confidence
// intervals in brackets, and ratios to the best baseline, paired by seed.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Summaries) > 0 {
		_, _ = fmt.Fprintln(table, "deployment\tload\tfault\tpolicy\tp95 s\tp95 s without pauses\twasted %\tp95 ratio\twasted ratio\tcompleted")
	}
	for _, s := range r.Summaries {
		_, _ = fmt.Fprintf(table, "%s\t%.2f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			s.Deployment, s.Load, s.Fault, s.Policy,
			s.P95.text(1e-3, 1), s.ServiceP95.text(1e-3, 1), s.Wasted.text(100, 2),
			s.P95Ratio.text(1, 3), s.WastedRatio.text(1, 3), s.completed())
	}
	if len(r.Varied) > 0 {
		_, _ = fmt.Fprintln(table, "deployment\tload\tparameter\tfactor\tp95 ratio\twasted ratio\thangs on it\tby p95\tby wasted tokens")
	}
	for _, v := range r.Varied {
		_, _ = fmt.Fprintf(table, "%s\t%.2f\t%s\t%g\t%.3f\t%.3f\t%t\t%s\t%s\n",
			v.Deployment, v.Load, v.Parameter, v.Factor, v.P95Ratio, v.WastedRatio, v.Hangs,
			strings.Join(v.Ranking, " < "), strings.Join(v.WastedRanking, " < "))
	}
	return table.Flush()
}

// text formats an interval, each figure multiplied by factor.
func (i Interval) text(factor float64, digits int) string {
	return fmt.Sprintf("%.*f [%.*f, %.*f]", digits, i.Median*factor, digits, i.Low*factor, digits, i.High*factor)
}

func (s Summary) completed() string {
	completed, measured := 0, 0
	for _, row := range s.rows {
		completed += row.Completed
		measured += row.Measured
	}
	return fmt.Sprintf("%d/%d", completed, measured)
}

// WriteCSV writes one line for each row.
func (r Report) WriteCSV(w io.Writer) error {
	writer := csv.NewWriter(w)
	_ = writer.Write([]string{
		"deployment", "policy", "load", "fault", "seed", "program_latency_p50_ms", "program_latency_p95_ms",
		"program_latency_p99_ms", "service_latency_p50_ms", "service_latency_p95_ms", "service_latency_p99_ms",
		"wasted_tokens", "prompt_tokens", "reused_tokens", "programs_completed", "programs_measured", "calls",
		"refusals", "restarted_calls", "moves", "moved_tokens", "engine_busy",
	})
	for _, row := range r.Rows {
		_ = writer.Write(row.record())
	}
	writer.Flush()
	return writer.Error()
}

func (r Row) record() []string {
	return []string{
		r.Deployment, r.Policy, decimal(r.Load), string(r.Fault), strconv.FormatUint(r.Seed, 10),
		decimal(r.ProgramLatency.P50), decimal(r.ProgramLatency.P95), decimal(r.ProgramLatency.P99),
		decimal(r.ServiceLatency.P50), decimal(r.ServiceLatency.P95), decimal(r.ServiceLatency.P99),
		integer(r.WastedTokens), integer(r.PromptTokens), integer(r.ReusedTokens),
		integer(int64(r.Completed)), integer(int64(r.Measured)), integer(r.Calls),
		integer(r.Refused), integer(r.Restarted), integer(int64(r.Moves)), integer(r.MovedTokens), decimal(r.Busy),
	}
}

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

func integer(value int64) string { return strconv.FormatInt(value, 10) }
