package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/declaration"
	"github.com/barleyshelf/barleyshelf/internal/lab/demo"
	"github.com/barleyshelf/barleyshelf/internal/lab/report"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// demoCommand runs a whole deployment in this process.
type demoCommand struct {
	lab            *laboratory
	Deployment     string        `long:"deployment" default:"deploy/voltkai" description:"directory of declarations"`
	Programs       int           `long:"programs" default:"120" description:"programs to run; sub-agents come on top"`
	Seed           uint64        `long:"seed" default:"1" description:"seed of the workload and of the faults"`
	Duration       time.Duration `long:"duration" description:"span over which programs arrive; 20s without faults, longer with them"`
	Faults         string        `long:"faults" default:"none" description:"none, all, or names of faults with commas"`
	Policy         string        `long:"policy" description:"scheduling policy in place of the declared one"`
	DaemonsPerZone int           `long:"daemons-per-zone" default:"2" description:"daemons in each zone"`
	Output         string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the report"`
}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	declarations, err := declaration.Load(c.Deployment)
	if err != nil {
		return err
	}
	delays, err := delaysOf(declarations)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "barleyshelf-lab-")
	if err != nil {
		return &topology.NoDataFolder{Cause: err}
	}
	defer func() { _ = os.RemoveAll(folder) }()
	written, err := demo.Run(c.lab.context, demo.Options{
		Declarations:   declarations,
		Delays:         delays,
		Programs:       c.Programs,
		Seed:           c.Seed,
		Duration:       c.Duration,
		Faults:         strings.Split(c.Faults, ","),
		Policy:         c.Policy,
		DaemonsPerZone: c.DaemonsPerZone,
		DataFolder:     folder,
		Factory:        demo.RealDaemon,
		Progress:       c.lab.stderr,
	})
	if err != nil {
		return err
	}
	return c.finish(written)
}

func (c *demoCommand) finish(written *report.Report) error {
	write := written.WriteText
	if c.Output == "json" {
		write = written.WriteJSON
	}
	if err := write(c.lab.stdout); err != nil {
		return err
	}
	if !written.Kept() {
		return &promisesBroken{}
	}
	_, _ = fmt.Fprintln(c.lab.stderr, "every promise was checked and kept")
	return nil
}

// delaysOf returns the network delays that the users measured. The error is a
// *workload.UnknownDeployment.
func delaysOf(declarations structs.Declarations) (topology.Delays, error) {
	known, err := workload.DeploymentByName(declarations.Deployment.Name)
	if err != nil {
		return topology.Delays{}, err
	}
	return topology.Delays{BetweenZones: known.ZoneDelay, ToClients: known.ClientDelay}, nil
}
