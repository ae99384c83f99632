package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/barleyshelf/barleyshelf/internal/daemon"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/settings"
)

type daemonCommand struct {
	File string `long:"settings" value-name:"FILE" description:"settings file; every other flag overrides its key"`
	// Settings declares one flag for each key. Execute reads the flags again
	// over the file, so that their order on the command line is without effect.
	Settings settings.Settings `group:"Settings"`

	app *application
}

// Execute runs a daemon until SIGTERM or an interrupt asks for its planned
// stop. A second signal ends the process at once.
func (c *daemonCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &wrongUse{reason: "daemon takes flags alone"}
	}
	loaded, err := settings.FromArguments(c.app.arguments)
	if err != nil {
		return err
	}
	if err := loaded.Validate(); err != nil {
		return err
	}
	if err := setLogVerbosity(loaded.LogVerbosity); err != nil {
		return err
	}
	running, err := daemon.New(loaded, daemon.Options{})
	if err != nil {
		return err
	}
	// A signal during the start is served after it, by a planned stop.
	if err := running.Start(context.WithoutCancel(c.app.context)); err != nil {
		running.Kill()
		return err
	}
	select {
	case <-c.app.context.Done():
	case <-running.Done():
		// An operator drained it.
		return nil
	}
	signal.Reset(os.Interrupt, syscall.SIGTERM)
	return running.Stop(context.Background())
}

func setLogVerbosity(level int) error {
	set := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(set)
	if err := set.Set("v", strconv.Itoa(level)); err != nil {
		return &failure.Internal{Cause: err}
	}
	return nil
}
