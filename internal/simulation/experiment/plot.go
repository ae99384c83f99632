package experiment

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// distributionPoints is the number of points of a distribution's line.
	distributionPoints = 200
	millisPerSecond    = 1_000
	percent            = 100
)

// figure is a plot with the name of its file.
type figure struct {
	file, title string
	plot        *plot.Plot
}

// figures draws everything that the summaries hold.
func figures(summaries []Summary) ([]figure, error) {
	var list []figure
	for _, setting := range settings(summaries) {
		made, err := distribution(summaries, setting)
		if err != nil {
			return nil, err
		}
		list = append(list, made)
	}
	for _, group := range loadGroups(summaries) {
		latency, err := overLoad(summaries, group, "latency", "p95 program latency (s)", func(s Summary) float64 {
			return s.P95.Median / millisPerSecond
		})
		if err != nil {
			return nil, err
		}
		wasted, err := overLoad(summaries, group, "wasted", "wasted prompt tokens (%)", func(s Summary) float64 {
			return s.Wasted.Median * percent
		})
		if err != nil {
			return nil, err
		}
		list = append(list, latency, wasted)
	}
	return list, nil
}

// loadGroups lists the settings without regard to load.
func loadGroups(summaries []Summary) []Setting {
	var list []Setting
	for _, setting := range settings(summaries) {
		setting.Load = 0
		if !slices.Contains(list, setting) {
			list = append(list, setting)
		}
	}
	return list
}

// distribution draws the share of programs that ended within a latency.
func distribution(summaries []Summary, setting Setting) (figure, error) {
	drawn := plot.New()
	title := fmt.Sprintf("%s, load %.2f, fault %s", setting.Deployment, setting.Load, setting.Fault)
	drawn.Title.Text = title
	drawn.X.Label.Text = "program latency (s)"
	drawn.Y.Label.Text = "share of programs"
	drawn.Legend.Top = false
	var lines []any
	for _, summary := range summaries {
		if summary.Setting == setting {
			lines = append(lines, summary.Policy, summary.distribution())
		}
	}
	if err := plotutil.AddLines(drawn, lines...); err != nil {
		return figure{}, &PlotFailed{Cause: err}
	}
	file := fmt.Sprintf("distribution-%s-%.2f-%s.png", setting.Deployment, setting.Load, setting.Fault)
	return figure{file: file, title: "Latency distribution: " + title, plot: drawn}, nil
}

func (s Summary) distribution() plotter.XYs {
	var all []float64
	for _, row := range s.rows {
		all = append(all, row.latencies...)
	}
	slices.Sort(all)
	points := make(plotter.XYs, distributionPoints)
	for index := range points {
		share := float64(index+1) / distributionPoints
		points[index] = plotter.XY{X: quantile(all, share) / millisPerSecond, Y: share}
	}
	return points
}

// overLoad draws a figure of each policy against the load.
func overLoad(summaries []Summary, group Setting, name, label string, value func(Summary) float64) (figure, error) {
	drawn := plot.New()
	title := fmt.Sprintf("%s, fault %s", group.Deployment, group.Fault)
	drawn.Title.Text = title
	drawn.X.Label.Text = "load (share of the engines' capacity)"
	drawn.Y.Label.Text = label
	drawn.Legend.Top, drawn.Legend.Left = true, true
	points := map[string]plotter.XYs{}
	var order []string
	for _, summary := range summaries {
		setting := summary.Setting
		setting.Load = 0
		if setting != group {
			continue
		}
		if !slices.Contains(order, summary.Policy) {
			order = append(order, summary.Policy)
		}
		points[summary.Policy] = append(points[summary.Policy], plotter.XY{X: summary.Load, Y: value(summary)})
	}
	var lines []any
	for _, policy := range order {
		lines = append(lines, policy, points[policy])
	}
	if err := plotutil.AddLinePoints(drawn, lines...); err != nil {
		return figure{}, &PlotFailed{Cause: err}
	}
	file := fmt.Sprintf("%s-%s-%s.png", name, group.Deployment, group.Fault)
	return figure{file: file, title: label + " against load: " + title, plot: drawn}, nil
}

// PlotFailed reports a plot that could not be drawn or written.
type PlotFailed struct{ Cause error }

func (e *PlotFailed) Error() string { return fmt.Sprintf("plot: %v", e.Cause) }

// Unwrap returns the library's own error.
func (e *PlotFailed) Unwrap() error { return e.Cause }
