// Command barleyshelf is the product: the daemon, and the operators' commands
// plan, apply, get, drain, validate and version. docs/CLI.md describes each.
package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// application carries what the commands share.
type application struct {
	// Output is the form of everything written to stdout.
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`

	context   context.Context
	stdout    io.Writer
	stderr    io.Writer
	arguments []string
	// hangups takes SIGHUP, which tells a role that its settings have changed.
	hangups chan os.Signal
}

// command is a subcommand with its words of help.
type command struct {
	name, short, long string
	data              any
}

// The commands that run a role.
const gatewayName, replicaName = "gateway", "replica"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// catchHangups catches SIGHUP for the roles before anything else: settings may change
// while a process starts, and the signal's default would end it. Other commands keep the
// default, and so end with their terminal.
func catchHangups(arguments []string) chan os.Signal {
	hangups := make(chan os.Signal, 1)
	if slices.Contains(arguments, gatewayName) || slices.Contains(arguments, replicaName) {
		signal.Notify(hangups, syscall.SIGHUP)
	}
	return hangups
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	hangups := catchHangups(arguments)
	app := &application{context: ctx, stdout: stdout, stderr: stderr, arguments: arguments, hangups: hangups}
	parser := flags.NewNamedParser("barleyshelf", flags.HelpFlag|flags.PassDoubleDash|flags.AllowBoolValues)
	if _, err := parser.AddGroup("Global options", "", app); err != nil {
		return app.finish(err)
	}
	for _, each := range commands(app) {
		if _, err := parser.AddCommand(each.name, each.short, each.long, each.data); err != nil {
			return app.finish(err)
		}
	}
	_, err := parser.ParseArgs(arguments)
	return app.finish(err)
}

func commands(app *application) []command {
	return []command{
		{
			name:  "daemon",
			short: "run a daemon",
			long:  "Runs one daemon until it is told to stop.",
			data:  &daemonCommand{app: app},
		},
		{
			name:  gatewayName,
			short: "run a gateway",
			long:  "Runs a gateway, which takes requests of clients by declared routes, until it is told to stop.",
			data:  &gatewayCommand{app: app},
		},
		{
			name:  replicaName,
			short: "run a replica",
			long:  "Runs a replica, which keeps turns and budgets on its disk, until it is told to stop.",
			data:  &replicaCommand{app: app},
		},
		{
			name:  "plan",
			short: "show what declarations would change",
			long:  "Makes a plan from a directory of declarations. Nothing changes.",
			data:  &planCommand{app: app},
		},
		{
			name:  "apply",
			short: "confirm a plan",
			long:  "Puts a plan in force, once, and only from the version that it was made from.",
			data:  &applyCommand{app: app},
		},
		{
			name:  "get",
			short: "show resources",
			long:  "Shows " + resourceKinds + ".",
			data:  &getCommand{app: app},
		},
		{
			name:  "drain",
			short: "stop a daemon or empty a zone",
			long:  "Starts the planned stop of a daemon (node NAME), or makes the plan that drains a zone (zone NAME).",
			data:  &drainCommand{app: app},
		},
		{
			name:  "validate",
			short: "check settings and declarations",
			long:  "Checks a settings file, declarations or both, without starting anything.",
			data:  &validateCommand{app: app},
		},
		{
			name:  "version",
			short: "show the version",
			long:  "Shows the version of this program and of the declarations that it reads.",
			data:  &versionCommand{app: app},
		},
	}
}

// finish reports err, if any, and returns the exit code.
func (a *application) finish(err error) int {
	if err == nil {
		return exitDone
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		io.WriteString(a.stdout, usage.Message+"\n")
		return exitDone
	}
	code := exitCodeOf(err)
	a.writeFailure(err, code)
	return code
}
