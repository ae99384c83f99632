package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/hollow"
)

// targetDaemons and targetWorkers give the proportion of workers to daemons.
const (
	targetDaemons = 1500
	targetWorkers = 11000
)

// scaleCommand runs hollow daemons and reports what control costs.
type scaleCommand struct {
	Daemons       string        `long:"daemons" default:"50,150,500,1500" description:"numbers of daemons, separated by commas"`
	Workers       int           `long:"workers" description:"model engines at the largest size; 0 scales 11,000 to the daemons"`
	Zones         int           `long:"zones" default:"17" description:"number of zones"`
	Programs      int           `long:"programs" default:"1000000" description:"programs under way at the largest size"`
	Seed          uint64        `long:"seed" default:"1" description:"seed that a run can be repeated from"`
	Duration      time.Duration `long:"duration" default:"120s" description:"simulated time that is measured"`
	Loss          float64       `long:"loss" default:"0.01" description:"share of messages lost"`
	ChangesPerDay float64       `long:"changes-per-day" default:"14000" description:"configuration changes in a day"`
	Kills         int           `long:"kills" default:"20" description:"daemons that die beside the day's failures"`
	Scenario      string        `long:"scenario" default:"none" choice:"none" choice:"partition" choice:"restart-storm" description:"fault that the run goes through"`
	Output        string        `long:"output" default:"text" choice:"text" choice:"json" description:"form of the report"`
	Out           string        `long:"out" description:"folder for CSV files and plots"`
	Compare       bool          `long:"compare-detectors" description:"compare failure detectors on simulated links instead"`
}

// Execute runs the command.
func (c *scaleCommand) Execute([]string) error {
	// A run holds nothing that has to be closed: a signal ends it at once.
	signal.Reset(os.Interrupt, syscall.SIGTERM)
	if c.Compare {
		return c.compare()
	}
	sizes, err := c.sizes()
	if err != nil {
		return err
	}
	var reports []*hollow.Report
	for _, size := range sizes {
		report, err := hollow.Run(c.options(size, sizes[len(sizes)-1]))
		if err != nil {
			return err
		}
		reports = append(reports, report)
		if c.Output == "text" {
			fmt.Print(report.Text())
		}
	}
	if c.Output == "json" {
		if err := printJSON(map[string]any{"sizes": reports}); err != nil {
			return err
		}
	}
	if c.Out == "" {
		return nil
	}
	return hollow.Write(c.Out, reports)
}

func (c *scaleCommand) options(size, largest int) hollow.Options {
	workers := targetWorkers * size / targetDaemons
	if c.Workers > 0 {
		workers = c.Workers * size / largest
	}
	return hollow.Options{
		Daemons:       size,
		Workers:       workers,
		Zones:         c.Zones,
		Programs:      c.Programs * size / largest,
		Seed:          c.Seed,
		Duration:      c.Duration,
		Loss:          c.Loss,
		ChangesPerDay: c.ChangesPerDay,
		Kills:         c.Kills,
		Scenario:      hollow.Scenario(c.Scenario),
	}
}

// sizes reads the list of numbers of daemons.
func (c *scaleCommand) sizes() ([]int, error) {
	var sizes []int
	for _, text := range strings.Split(c.Daemons, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || size < 2 {
			return nil, &badSize{text}
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

func (c *scaleCommand) compare() error {
	results := hollow.CompareDetectors(c.Seed, c.Duration)
	if c.Output == "json" {
		return printJSON(results)
	}
	fmt.Print(hollow.DetectorTable(results))
	return nil
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// badSize reports a number of daemons that can't be run.
type badSize struct{ text string }

func (e *badSize) Error() string { return fmt.Sprintf("bad number of daemons %q", e.text) }
