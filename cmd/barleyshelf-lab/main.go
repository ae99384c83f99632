// Command barleyshelf-lab runs the project's own models of the outside: whole
// deployments in one process, load on running daemons, and single stand-ins.
// docs/operations/lab.md describes each command.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is a subcommand with its words of help.
type command struct {
	name, short, long string
	data              flags.Commander
}

// laboratory carries what the commands share.
type laboratory struct {
	LogFile string `long:"log-file" description:"file for the daemons' events; without it they are dropped"`

	context context.Context
	stdout  io.Writer
	stderr  io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	lab := &laboratory{context: ctx, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("barleyshelf-lab", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Global options", "", lab); err != nil {
		return lab.finish(err)
	}
	for _, each := range commands(lab) {
		if _, err := parser.AddCommand(each.name, each.short, each.long, each.data); err != nil {
			return lab.finish(err)
		}
	}
	emulate, err := parser.AddCommand("emulate", "run a stand-in", "Runs one stand-in of the outside until it is told to stop.", &struct{}{})
	if err != nil {
		return lab.finish(err)
	}
	for _, each := range emulators(lab) {
		if _, err := emulate.AddCommand(each.name, each.short, each.long, each.data); err != nil {
			return lab.finish(err)
		}
	}
	parser.CommandHandler = func(chosen flags.Commander, rest []string) error {
		closeLog, err := lab.openLog()
		if err != nil {
			return err
		}
		defer closeLog()
		return chosen.Execute(rest)
	}
	_, err = parser.ParseArgs(arguments)
	return lab.finish(err)
}

func commands(lab *laboratory) []command {
	return []command{
		{"demo", "run a whole deployment", "Runs the stand-ins, real daemons and the users' workload in one process and checks every promise.", &demoCommand{lab: lab}},
		{"load", "put load on running daemons", "Opens programs at planned times, whatever the daemons answer, and reports latencies from the planned start.", &loadCommand{lab: lab}},
		{"experiment", "compare scheduling policies", "Runs policies on the same simulated programs and compares program latency and wasted cache.", &experimentCommand{lab: lab}},
		{"soak", "run real gateways and replicas under faults", "Runs the roles as processes on loopback before stand-ins, brings faults about, drawn from seeds, and checks every promise.", &soakCommand{lab: lab}},
		{"story", "tell a request's story", "Prints every decision about a request that the logs of gateways and replicas hold, in order.", &storyCommand{lab: lab}},
	}
}

// LogUnwritable reports a log file that cannot be opened.
type LogUnwritable struct{ Cause error }

func (e *LogUnwritable) Error() string { return fmt.Sprintf("log file: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LogUnwritable) Unwrap() error { return e.Cause }

const logFileMode = 0o600

// openLog sends the events to the chosen file, or drops them.
func (l *laboratory) openLog() (closeLog func(), err error) {
	if err := quietLog(); err != nil {
		return nil, err
	}
	if l.LogFile == "" {
		return func() {}, nil
	}
	file, err := os.OpenFile(l.LogFile, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, logFileMode)
	if err != nil {
		return nil, &LogUnwritable{Cause: err}
	}
	klog.SetOutput(file)
	return func() {
		klog.Flush()
		klog.SetOutput(io.Discard)
		_ = file.Close()
	}, nil
}

// quietLog keeps all events, errors too, off the terminal.
func quietLog() error {
	settings := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(settings)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := settings.Set(name, value); err != nil {
			return &LogUnwritable{Cause: err}
		}
	}
	klog.SetOutput(io.Discard)
	return nil
}

// promisesBroken ends a run whose report says why.
type promisesBroken struct{}

func (*promisesBroken) Error() string { return "not every promise was checked and kept" }

// finish reports err, if any, and returns the exit code.
func (l *laboratory) finish(err error) int {
	if err == nil {
		return exitDone
	}
	usage := &flags.Error{}
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(l.stdout, usage.Message)
			return exitDone
		}
		_, _ = fmt.Fprintln(l.stderr, usage.Message)
		return exitUsage
	}
	_, _ = fmt.Fprintln(l.stderr, "barleyshelf-lab:", err)
	return exitFailed
}
