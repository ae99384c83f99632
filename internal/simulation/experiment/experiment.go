// Package experiment runs scheduling policies side by side in the simulator:
// policies by deployments by loads by faults, each with the same seeds, so that
// every difference is a paired one. It reports tables with confidence intervals,
// CSV, JSON and plots, and tells which engine parameters a result hangs on.
package experiment

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/simulation"
)

// Options say what is run.
type Options struct {
	Deployments []string
	Policies    []string
	// Loads are shares of the engines' capacity; see simulation.Capacity.
	Loads  []float64
	Faults []simulation.Fault
	// Seeds is the number of repeats; they run from FirstSeed on.
	Seeds     int
	FirstSeed uint64
	Duration  time.Duration
	WarmUp    time.Duration
	// Workers is the number of runs at once.
	Workers    int
	Parameters simulation.Parameters
}

// Cell is one run to make.
type Cell struct {
	Deployment string
	Policy     string
	Load       float64
	Fault      simulation.Fault
	Seed       uint64
}

// cells lists every run in a fixed order.
func (o Options) cells() []Cell {
	var list []Cell
	for _, deployment := range o.Deployments {
		for _, load := range o.Loads {
			for _, fault := range o.Faults {
				for _, policy := range o.Policies {
					for repeat := range o.Seeds {
						list = append(list, Cell{deployment, policy, load, fault, o.FirstSeed + uint64(repeat)})
					}
				}
			}
		}
	}
	return list
}

// Run makes all runs and returns their rows in the order of the options. The
// error is one of simulation.Simulate or of the context.
func Run(ctx context.Context, o Options) ([]Row, error) {
	cells := o.cells()
	rows := make([]Row, len(cells))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(o.Workers, 1))
	for index, cell := range cells {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			row, err := o.run(cell)
			rows[index] = row
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return rows, nil
}

func (o Options) run(cell Cell) (Row, error) {
	rate, err := simulation.Rate(cell.Deployment, o.Parameters, cell.Load)
	if err != nil {
		return Row{}, err
	}
	result, err := simulation.Simulate(simulation.Config{
		Deployment: cell.Deployment, Policy: cell.Policy, Fault: cell.Fault, Seed: cell.Seed,
		ProgramsPerSecond: rate, Duration: o.Duration, WarmUp: o.WarmUp, Parameters: o.Parameters,
	})
	if err != nil {
		return Row{}, err
	}
	return newRow(cell, result), nil
}

// Baselines returns the policies that the default policy is measured against.
func Baselines() []string {
	return slices.DeleteFunc(schedule.Names(), func(name string) bool { return name == schedule.DefaultPolicy })
}
