package main

import (
	"fmt"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// standIn is what every stand-in can do.
type standIn interface {
	Start() error
	Address() string
	Close()
}

// serve runs a stand-in until the process is told to stop. Its address is the
// only line on stdout.
func (l *laboratory) serve(created standIn) error {
	if err := created.Start(); err != nil {
		return err
	}
	defer created.Close()
	if _, err := fmt.Fprintln(l.stdout, created.Address()); err != nil {
		return err
	}
	<-l.context.Done()
	return nil
}

func emulators(lab *laboratory) []command {
	return []command{
		{"engine", "a model engine", "Runs a stand-in model engine.", &emulateEngine{lab: lab}},
		{"tool", "a tool service", "Runs a stand-in tool service.", &emulateTool{lab: lab}},
		{"platform", "the platform's service", "Runs a stand-in object API with a machine list.", &emulatePlatform{lab: lab}},
		{"weights", "the weight store", "Runs a stand-in weight store.", &emulateWeights{lab: lab}},
	}
}

type emulateEngine struct {
	lab     *laboratory
	ID      string  `long:"id" required:"true" description:"name of the engine"`
	Zone    string  `long:"zone" required:"true" description:"zone of the engine"`
	Weights string  `long:"weights" description:"base URL of the weight store; without it models load at once"`
	Scale   float64 `long:"time-scale" default:"1" description:"factor on the engine's times"`
	Seed    uint64  `long:"seed" default:"1" description:"seed of the chances of faults"`
}

// Execute runs the stand-in.
func (c *emulateEngine) Execute([]string) error {
	timing := emulator.DefaultEngineTiming()
	timing.Scale = c.Scale
	return c.lab.serve(emulator.NewEngine(emulator.EngineConfig{
		ID:             structs.EngineID(c.ID),
		Zone:           structs.ZoneName(c.Zone),
		Timing:         timing,
		WeightsAddress: c.Weights,
		Seed:           c.Seed,
	}))
}

type emulateTool struct {
	lab           *laboratory
	Work          time.Duration `long:"work" default:"30ms" description:"time that a call takes"`
	RemembersKeys bool          `long:"status-by-key" description:"tells an earlier call's outcome from its key"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the chances of faults"`
}

// Execute runs the stand-in.
func (c *emulateTool) Execute([]string) error {
	return c.lab.serve(emulator.NewTool(emulator.ToolConfig{Work: c.Work, RemembersKeys: c.RemembersKeys, Seed: c.Seed}))
}

type emulatePlatform struct {
	lab        *laboratory
	MaxReaders int           `long:"max-readers" default:"64" description:"most readers at a time; 0 means no bound"`
	MachineLag time.Duration `long:"machine-lag" default:"1s" description:"how late the machine list is"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the chances of faults"`
}

// Execute runs the stand-in.
func (c *emulatePlatform) Execute([]string) error {
	return c.lab.serve(emulator.NewPlatform(emulator.PlatformConfig{MaxReaders: c.MaxReaders, MachineLag: c.MachineLag, Seed: c.Seed}))
}

type emulateWeights struct {
	lab            *laboratory
	BytesPerSecond int64 `long:"bytes-per-second" default:"1000000000" description:"rate over all readers together"`
}

// Execute runs the stand-in.
func (c *emulateWeights) Execute([]string) error {
	return c.lab.serve(emulator.NewWeights(emulator.WeightsConfig{BytesPerSecond: c.BytesPerSecond}))
}
