package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/barleyshelf/barleyshelf/platform/platformtest/soak"
)

const (
	// leastSoakProcesses is the smallest system with a group of three and two gateways;
	// mostSoakProcesses what one machine may be asked for.
	leastSoakProcesses = 5
	mostSoakProcesses  = 200
	// leastReplicas is how many make a group that bears a lost disk.
	leastReplicas = 3
	// gatewayShare is how many of three processes are gateways where there are many.
	gatewayShare = 2
	// callersPerGateway is how many programs run at a time for each gateway.
	callersPerGateway = 2
)

// soakCommand runs real gateways and replicas under faults and checks the promises.
type soakCommand struct {
	lab       *laboratory
	Seeds     int           `long:"seeds" default:"1" description:"number of seeds to play, one after another, from --seed on"`
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	For       time.Duration `long:"for" default:"20s" description:"least time in which series of faults begin, for each seed"`
	Processes int           `long:"processes" default:"5" description:"gateways and replicas together, 5 to 200"`
	Replicas  int           `long:"replicas" default:"0" description:"replicas among the processes, at least 3; a third of them if 0"`
	Binary    string        `long:"binary" description:"barleyshelf program; built from this module if empty"`
	Folder    string        `long:"folder" description:"folder for logs and data of seeds that failed; a temporary one if empty"`
	Output    string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the reports"`
}

// TooFewOrManyProcesses reports a number of processes out of bounds.
type TooFewOrManyProcesses struct{ Processes int }

func (e *TooFewOrManyProcesses) Error() string {
	return fmt.Sprintf("%d processes: %d to %d are possible", e.Processes, leastSoakProcesses, mostSoakProcesses)
}

// TooFewOrManyReplicas reports a number of replicas that makes no system.
type TooFewOrManyReplicas struct{ Replicas, Processes int }

func (e *TooFewOrManyReplicas) Error() string {
	return fmt.Sprintf("%d replicas: %d to %d are possible among %d processes", e.Replicas, leastReplicas, e.Processes-1, e.Processes)
}

// NotBuilt reports that the product's program could not be built.
type NotBuilt struct {
	Cause  error
	Output string
}

func (e *NotBuilt) Error() string {
	return fmt.Sprintf("barleyshelf was not built: %v: %s", e.Cause, e.Output)
}

// Unwrap returns the cause.
func (e *NotBuilt) Unwrap() error { return e.Cause }

// Execute plays the seeds and fails unless every promise was checked and none broken.
func (c *soakCommand) Execute([]string) error {
	if c.Processes < leastSoakProcesses || c.Processes > mostSoakProcesses {
		return &TooFewOrManyProcesses{Processes: c.Processes}
	}
	if c.Replicas != 0 && (c.Replicas < leastReplicas || c.Replicas >= c.Processes) {
		return &TooFewOrManyReplicas{Replicas: c.Replicas, Processes: c.Processes}
	}
	if c.Folder == "" {
		folder, err := os.MkdirTemp("", "barleyshelf-soak-")
		if err != nil {
			return err
		}
		c.Folder = folder
	}
	if c.Binary == "" {
		if err := c.build(); err != nil {
			return err
		}
	}
	failed := 0
	for number := range c.Seeds {
		kept, err := c.playSeed(c.Seed + uint64(number))
		if err != nil {
			return err
		}
		if !kept {
			failed++
		}
	}
	_, _ = fmt.Fprintf(c.lab.stderr, "%d of %d seeds failed\n", failed, c.Seeds)
	if failed > 0 {
		return &promisesBroken{}
	}
	return nil
}

// build builds the product's program.
func (c *soakCommand) build() error {
	c.Binary = filepath.Join(c.Folder, "barleyshelf")
	output, err := exec.CommandContext(c.lab.context, "go", "build", "-o", c.Binary, "github.com/barleyshelf/barleyshelf/cmd/barleyshelf").CombinedOutput()
	if err != nil {
		return &NotBuilt{Cause: err, Output: string(output)}
	}
	return nil
}

// playSeed plays one seed and writes its report. The folder of a seed that kept every
// promise is removed.
func (c *soakCommand) playSeed(seed uint64) (kept bool, err error) {
	folder := filepath.Join(c.Folder, "seed-"+strconv.FormatUint(seed, 10))
	const folderMode = 0o700
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return false, err
	}
	progress, err := os.Create(filepath.Join(folder, "faults"))
	if err != nil {
		return false, err
	}
	defer progress.Close()
	replicas := max(leastReplicas, c.Processes/(gatewayShare+1))
	if c.Replicas != 0 {
		replicas = c.Replicas
	}
	gateways := c.Processes - replicas
	report, err := soak.Run(c.lab.context, soak.Options{
		Binary: c.Binary, Folder: folder, Seed: seed, For: c.For, Gateways: gateways, Replicas: replicas,
		Callers: callersPerGateway * gateways, ReturnBound: soak.DefaultReturnBound, WholeBound: soak.DefaultWholeBound, Progress: progress,
	})
	if err != nil {
		return false, err
	}
	write := report.WriteText
	if c.Output == "json" {
		write = report.WriteJSON
	}
	if err := write(c.lab.stdout); err != nil {
		return false, err
	}
	if report.Kept() {
		return true, os.RemoveAll(folder)
	}
	return false, nil
}
