package hollow

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// column is a figure of a report that is tabled and plotted.
type column struct {
	name  string
	value func(*Report) float64
	// budget is the most that the target allows; 0 means it sets no bound.
	budget float64
}

func columns() []column {
	list := []column{
		{"cpu_fraction_median", func(r *Report) float64 { return r.Control.CPUFraction.Median }, 0.022},
		{"cpu_fraction_max", func(r *Report) float64 { return r.Control.CPUFraction.Max }, 0.022},
		{"decision_cpu_fraction_median", func(r *Report) float64 { return r.Control.DecisionCPUFraction.Median }, 0},
		{"heap_bytes_median", func(r *Report) float64 { return r.Control.HeapBytes.Median }, 32 << 20},
		{"heap_bytes_max", func(r *Report) float64 { return r.Control.HeapBytes.Max }, 32 << 20},
		{"bytes_per_second_median", func(r *Report) float64 { return r.Control.BytesPerSecond.Median }, 5000},
		{"bytes_per_second_max", func(r *Report) float64 { return r.Control.BytesPerSecond.Max }, 5000},
		{"messages_per_second_median", func(r *Report) float64 { return r.Control.MessagesPerSecond.Median }, 0},
		{"config_in_force_ms_p50", func(r *Report) float64 { return r.ConfigInForce.P50 }, 0},
		{"config_in_force_ms_p99", func(r *Report) float64 { return r.ConfigInForce.P99 }, 8000},
		{"detection_ms_p50", func(r *Report) float64 { return r.Detection.P50 }, 0},
		{"detection_ms_p99", func(r *Report) float64 { return r.Detection.P99 }, 5000},
		{"join_ms_p99", func(r *Report) float64 { return r.Join.P99 }, 0},
		{"false_removals", func(r *Report) float64 { return float64(r.FalseRemovals) }, 0},
	}
	for kind := range kindCount {
		name := kind.String()
		list = append(list, column{name + "_bytes_per_second", func(r *Report) float64 { return r.ByKind[name].BytesPerSecond }, 0})
	}
	return list
}

// Write puts scale.csv and a plot of each figure over the number of daemons
// into a folder.
func Write(folder string, reports []*Report) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return &Failed{Cause: err}
	}
	if err := writeCSV(filepath.Join(folder, "scale.csv"), reports); err != nil {
		return &Failed{Cause: err}
	}
	for _, c := range columns() {
		if err := writePlot(filepath.Join(folder, c.name+".png"), c, reports); err != nil {
			return &Failed{Cause: err}
		}
	}
	return nil
}

func writeCSV(path string, reports []*Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	writer := csv.NewWriter(file)
	header := []string{"daemons", "workers", "seed"}
	for _, c := range columns() {
		header = append(header, c.name)
	}
	rows := [][]string{header}
	for _, r := range reports {
		row := []string{strconv.Itoa(r.Daemons), strconv.Itoa(r.Workers), strconv.FormatUint(r.Seed, 10)}
		for _, c := range columns() {
			row = append(row, strconv.FormatFloat(c.value(r), 'g', 6, 64))
		}
		rows = append(rows, row)
	}
	if err := writer.WriteAll(rows); err != nil {
		return err
	}
	return file.Close()
}

func writePlot(path string, c column, reports []*Report) error {
	p := plot.New()
	p.Title.Text = strings.ReplaceAll(c.name, "_", " ")
	p.X.Label.Text = "daemons"
	p.Y.Min = 0
	points := make(plotter.XYs, len(reports))
	bound := make(plotter.XYs, len(reports))
	for i, r := range reports {
		points[i] = plotter.XY{X: float64(r.Daemons), Y: c.value(r)}
		bound[i] = plotter.XY{X: float64(r.Daemons), Y: c.budget}
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	p.Add(line, dots)
	if c.budget > 0 {
		limit, err := plotter.NewLine(bound)
		if err != nil {
			return err
		}
		limit.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
		p.Add(limit)
		p.Legend.Add("budget", limit)
	}
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}

// Text is the report for reading.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d daemons, %d workers, %d zones, %d tenants, scenario %s, seed %d: %.0f s simulated in %.1f s\n",
		r.Daemons, r.Workers, r.Zones, r.Tenants, r.Scenario, r.Seed, r.SimulatedSecond, r.WallSeconds)
	c := r.Control
	fmt.Fprintf(&b, "  processor   %.3f%% of a core (median), %.3f%% (max); decisions alone %.3f%%, %.3f%%\n",
		100*c.CPUFraction.Median, 100*c.CPUFraction.Max, 100*c.DecisionCPUFraction.Median, 100*c.DecisionCPUFraction.Max)
	fmt.Fprintf(&b, "  heap        %.2f MB (median), %.2f MB (max)\n", c.HeapBytes.Median/1e6, c.HeapBytes.Max/1e6)
	fmt.Fprintf(&b, "  bytes/s     %.0f (median), %.0f (max); %d daemons over %d; messages/s %.2f, %.2f\n",
		c.BytesPerSecond.Median, c.BytesPerSecond.Max, c.OverByteBudget, byteBudget, c.MessagesPerSecond.Median, c.MessagesPerSecond.Max)
	for kind := range kindCount {
		rate := r.ByKind[kind.String()]
		largest := r.LargestByKind[kind.String()]
		fmt.Fprintf(&b, "    %-10s %8.1f bytes/s %7.3f messages/s (mean); largest daemon %8.1f bytes/s\n",
			kind, rate.BytesPerSecond, rate.MessagesPerSecond, largest.BytesPerSecond)
	}
	fmt.Fprintf(&b, "  platform    %d readers, object of %d bytes, %.0f bytes/s each (max), %.2f%% of a core to decode\n",
		r.Readers.Readers, r.Readers.ObjectBytes, r.Readers.BytesPerSecond.Max, 100*r.Readers.CPUFraction)
	r.writeTimes(&b)
	return b.String()
}

func (r *Report) writeTimes(b *strings.Builder) {
	times := []struct {
		name  string
		value Percentiles
	}{
		{"configuration in force everywhere", r.ConfigInForce},
		{"death suspected by all in the zone", r.Suspicion},
		{"death known by all in the zone", r.Detection},
		{"death known everywhere", r.Everywhere},
		{"restarted daemon has a configuration", r.Join},
	}
	for _, t := range times {
		fmt.Fprintf(b, "  %-37s p50 %6.0f ms  p99 %6.0f ms  (%d)\n", t.name, t.value.P50, t.value.P99, t.value.Count)
	}
	fmt.Fprintf(b, "  false removals %d, false suspicions %d, deaths undetected %d, changes unfinished %d of %d, versions backwards %d\n",
		r.FalseRemovals, r.FalseSuspicions, r.Undetected, r.Unfinished, r.Changes, r.Backwards)
	if r.MergeMillis > 0 {
		fmt.Fprintf(b, "  all views whole %.0f ms after the partition healed\n", r.MergeMillis)
	}
}
