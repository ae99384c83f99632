// Package report holds what a run of the lab measured, and writes it as JSON
// or as text for people.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
)

// Report is the outcome of one run of the demo.
type Report struct {
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	Daemons    int     `json:"daemons"`
	Callers
	// Failover and PauseFailover are the times without an answer that programs
	// had after a daemon crashed, and after one was paused.
	Failover      *Percentiles `json:"failover_ms,omitempty"`
	PauseFailover *Percentiles `json:"pause_failover_ms,omitempty"`
	// Release is how long engines kept memory after the end of its program.
	Release Percentiles `json:"release_ms"`
	// ConfigInForce is the time from the acceptance of a change until a daemon
	// was seen to act on it.
	ConfigInForce  Percentiles    `json:"config_in_force_ms"`
	Cache          Cache          `json:"cache"`
	Control        Control        `json:"control"`
	FaultsInjected map[string]int `json:"faults_injected"`
	// FaultsFailed counts faults that could not be brought about.
	FaultsFailed map[string]int    `json:"faults_failed,omitempty"`
	Promises     []promise.Verdict `json:"promises"`
}

// Cache says how much of the prompts was found in the engines' caches.
type Cache struct {
	PromptTokens int64 `json:"prompt_tokens"`
	ReusedTokens int64 `json:"reused_tokens"`
	// WastedTokens were prefilled again, though the same prefix of the same
	// program had been computed before.
	WastedTokens int64   `json:"wasted_tokens"`
	WastedRatio  float64 `json:"wasted_ratio"`
}

// Control is what a daemon costs while no request is under way.
type Control struct {
	CPUFraction    float64 `json:"cpu_fraction"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	HeapBytes      float64 `json:"heap_bytes"`
}

// Kept reports whether every promise was checked and none was broken.
func (r *Report) Kept() bool { return promise.Kept(r.Promises) }

// WriteJSON writes the report as one indented JSON object.
func (r *Report) WriteJSON(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as a table.
func (r *Report) WriteText(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	row := func(name, format string, arguments ...any) {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, arguments...))
	}
	row("deployment", "%s, %d daemons, policy %s, seed %d, %.1f s", r.Deployment, r.Daemons, r.Policy, r.Seed, r.Seconds)
	r.Callers.rows(row)
	if r.Failover != nil {
		row("fail-over after a crash", "%s", *r.Failover)
	}
	if r.PauseFailover != nil {
		row("fail-over from a paused daemon", "%s", *r.PauseFailover)
	}
	row("engine memory kept after the end", "%s", r.Release)
	row("configuration in force", "%s", r.ConfigInForce)
	row("cache", "%d prompt tokens, %d reused, %d wasted (%.1f%%)",
		r.Cache.PromptTokens, r.Cache.ReusedTokens, r.Cache.WastedTokens, 100*r.Cache.WastedRatio)
	row("control a daemon", "%.2f%% of a core, %.0f B/s, %.1f MB heap",
		100*r.Control.CPUFraction, r.Control.BytesPerSecond, r.Control.HeapBytes/bytesPerMegabyte)
	row("faults", "%s", counts(r.FaultsInjected))
	if len(r.FaultsFailed) > 0 {
		row("faults not brought about", "%s", counts(r.FaultsFailed))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.writePromises(writer)
}

// rows writes what callers saw.
func (c *Callers) rows(row func(name, format string, arguments ...any)) {
	row("programs", "%d started, %d completed", c.ProgramsStarted, c.ProgramsCompleted)
	row("program latency", "%s", c.ProgramLatency)
	row("first token", "%s", c.FirstToken)
	row("between tokens", "%s", c.InterToken)
	row("requests", "%s", counts(c.Requests))
	row("refused", "%s", counts(c.Refused))
	row("not completed", "%s", counts(c.Unfinished))
}

// WriteText writes what callers saw as a table.
func (c *Callers) WriteText(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	c.rows(func(name, format string, arguments ...any) {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, arguments...))
	})
	return table.Flush()
}

const bytesPerMegabyte = 1e6

func (r *Report) writePromises(writer io.Writer) error {
	for _, verdict := range r.Promises {
		state := "kept  "
		if verdict.Checked == 0 {
			state = "NONE  "
		}
		if verdict.Broken > 0 {
			state = "BROKEN"
		}
		if _, err := fmt.Fprintf(writer, "%s %7d checked %4d broken  %s\n", state, verdict.Checked, verdict.Broken, verdict.Name); err != nil {
			return err
		}
		for _, detail := range verdict.Details {
			if _, err := fmt.Fprintf(writer, "         %s\n", detail); err != nil {
				return err
			}
		}
	}
	return nil
}

// String writes the percentiles for people.
func (p Percentiles) String() string {
	return fmt.Sprintf("p50 %.1f ms, p95 %.1f ms, p99 %.1f ms (%d)", p.P50, p.P95, p.P99, p.Count)
}

func counts(byName map[string]int) string {
	if len(byName) == 0 {
		return "none"
	}
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for i, name := range names {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", name, byName[name])
	}
	return text
}
