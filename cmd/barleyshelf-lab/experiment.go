package main

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/simulation"
	"github.com/barleyshelf/barleyshelf/internal/simulation/experiment"
	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// experimentCommand compares scheduling policies in the simulator.
type experimentCommand struct {
	lab         *laboratory
	Deployments []string      `long:"deployment" description:"voltkai or hofbauer; may be repeated; both when left out"`
	Policies    []string      `long:"policy" description:"scheduling policy; may be repeated; all when left out"`
	Variants    bool          `long:"variants" description:"add the default policy's variants with one part switched over"`
	Loads       []float64     `long:"load" default:"0.5" default:"0.8" default:"1" description:"share of the engines' capacity; may be repeated"`
	Faults      []string      `long:"fault" default:"none" description:"none, engine-crash, engine-leaving or reports-lost; may be repeated"`
	Seeds       int           `long:"seeds" default:"5" description:"number of repeats, each with a seed of its own"`
	FirstSeed   uint64        `long:"seed" default:"1" description:"first seed"`
	Duration    time.Duration `long:"duration" default:"12m" description:"simulated time in which programs arrive"`
	WarmUp      time.Duration `long:"warm-up" default:"2m" description:"simulated time before programs are measured"`
	Workers     int           `long:"workers" default:"4" description:"runs at once"`
	Vary        bool          `long:"vary" description:"change each engine parameter in turn and report what the result hangs on"`
	Factors     []float64     `long:"factor" default:"0.5" default:"2" description:"factor of --vary; may be repeated"`
	Directory   string        `long:"directory" description:"directory for CSV, JSON, plots and an HTML index"`
	Output      string        `long:"output" choice:"text" choice:"json" choice:"csv" default:"text" description:"form of the report"`
}

// Execute runs the experiment and writes its report.
func (c *experimentCommand) Execute([]string) error {
	report, err := c.report(c.options())
	if err != nil {
		return err
	}
	if c.Directory != "" {
		if err := report.WriteDirectory(c.Directory); err != nil {
			return err
		}
	}
	switch c.Output {
	case "json":
		return report.WriteJSON(c.lab.stdout)
	case "csv":
		return report.WriteCSV(c.lab.stdout)
	}
	return report.WriteText(c.lab.stdout)
}

func (c *experimentCommand) report(options experiment.Options) (experiment.Report, error) {
	if c.Vary {
		varied, err := experiment.Vary(c.lab.context, options, c.Factors)
		return experiment.Report{Varied: varied}, err
	}
	rows, err := experiment.Run(c.lab.context, options)
	return experiment.Report{Rows: rows, Summaries: experiment.Summarize(rows)}, err
}

func (c *experimentCommand) options() experiment.Options {
	options := experiment.Options{
		Deployments: c.Deployments, Policies: c.Policies, Loads: c.Loads, Seeds: c.Seeds, FirstSeed: c.FirstSeed,
		Duration: c.Duration, WarmUp: c.WarmUp, Workers: c.Workers, Parameters: simulation.DefaultParameters(),
	}
	if len(options.Deployments) == 0 {
		options.Deployments = workload.Deployments()
	}
	if len(options.Policies) == 0 {
		options.Policies = schedule.Names()
	}
	if c.Variants {
		options.Policies = append(options.Policies, schedule.Variants()...)
	}
	for _, fault := range c.Faults {
		options.Faults = append(options.Faults, simulation.Fault(fault))
	}
	return options
}
