package main

import (
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

// Execute runs a daemon until its context ends.
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
	return &daemonMissing{}
}

// daemonMissing reports a build of this program without the daemon.
type daemonMissing struct{}

func (e *daemonMissing) Error() string { return "this build holds no daemon" }

// Type returns "daemon_missing".
func (e *daemonMissing) Type() failure.Type { return "daemon_missing" }

// Outcome returns NotRun.
func (e *daemonMissing) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *daemonMissing) Retry() failure.Retry { return failure.Retry{} }
