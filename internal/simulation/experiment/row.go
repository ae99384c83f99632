package experiment

import (
	"math"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/simulation"
)

// Percentiles of a latency, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Row is one run.
type Row struct {
	Deployment string           `json:"deployment"`
	Policy     string           `json:"policy"`
	Load       float64          `json:"load"`
	Fault      simulation.Fault `json:"fault"`
	Seed       uint64           `json:"seed"`
	// ProgramLatency is from a program's opening to its end, tools and pauses
	// for persons included, over all measured programs.
	ProgramLatency Percentiles `json:"program_latency_ms"`
	// ServiceLatency is the same without the pauses for persons, on which no
	// policy has an influence.
	ServiceLatency Percentiles `json:"service_latency_ms"`
	// LatencyByProgram has the latencies of each declared program.
	LatencyByProgram map[string]Percentiles `json:"program_latency_by_name_ms"`
	WastedTokens     int64                  `json:"wasted_tokens"`
	PromptTokens     int64                  `json:"prompt_tokens"`
	ReusedTokens     int64                  `json:"reused_tokens"`
	Completed        int                    `json:"programs_completed"`
	// Measured counts all measured programs; those that did not complete have
	// the time of the cut-off as a lower bound of their latency.
	Measured    int     `json:"programs_measured"`
	Calls       int64   `json:"calls"`
	Refused     int64   `json:"refusals"`
	Restarted   int64   `json:"restarted_calls"`
	Moves       int     `json:"moves"`
	MovedTokens int64   `json:"moved_tokens"`
	Busy        float64 `json:"engine_busy"`
	// latencies are sorted, in milliseconds.
	latencies []float64
}

// WastedShare is the share of prompt tokens that were wasted.
func (r Row) WastedShare() float64 {
	return float64(r.WastedTokens) / math.Max(float64(r.PromptTokens), 1)
}

func newRow(cell Cell, result simulation.Result) Row {
	row := Row{
		Deployment: cell.Deployment, Policy: cell.Policy, Load: cell.Load, Fault: cell.Fault, Seed: cell.Seed,
		WastedTokens: result.Totals.WastedTokens, PromptTokens: result.Totals.PromptTokens,
		ReusedTokens: result.Totals.ReusedTokens, Measured: len(result.Programs), Calls: result.Totals.Calls,
		Refused: result.Totals.Refused, Restarted: result.Totals.Restarted,
		Moves: result.Moves, MovedTokens: result.MovedTokens, Busy: result.Busy,
	}
	var service []float64
	byName := map[string][]float64{}
	for _, program := range result.Programs {
		latency := milliseconds(program.Latency)
		row.latencies = append(row.latencies, latency)
		service = append(service, milliseconds(program.Latency-program.Paused))
		byName[program.Name] = append(byName[program.Name], latency)
		if program.Completed {
			row.Completed++
		}
	}
	slices.Sort(row.latencies)
	row.ProgramLatency = percentiles(row.latencies)
	row.ServiceLatency = percentiles(service)
	row.LatencyByProgram = map[string]Percentiles{}
	for name, latencies := range byName {
		row.LatencyByProgram[name] = percentiles(latencies)
	}
	return row
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func percentiles(values []float64) Percentiles {
	sorted := slices.Sorted(slices.Values(values))
	return Percentiles{P50: quantile(sorted, 0.50), P95: quantile(sorted, 0.95), P99: quantile(sorted, 0.99)}
}

// quantile returns the smallest value that the given share of the sorted values
// does not exceed (nearest rank); zero without values.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(share * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}
