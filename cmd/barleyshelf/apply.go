package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/operatorapi"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

// Times between two looks at where a version is in force. Each look asks every
// daemon, so the time doubles.
const (
	firstStatusPeriod = 250 * time.Millisecond
	statusPeriodLimit = 2 * time.Second
	// lastLookTimeout is what a look has that is under way when the wait ends: without its
	// answer the operator would not hear which daemons are behind.
	lastLookTimeout = 5 * time.Second
)

type applyCommand struct {
	Accept      []string      `long:"accept" value-name:"NAME" description:"name of a harm that is accepted; may be repeated"`
	Wait        bool          `long:"wait" description:"return once the plan is in force on every daemon"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"60s" description:"longest wait of --wait"`
	Connection  connection    `group:"Connection"`
	Positional  struct {
		Plan string `positional-arg-name:"PLAN" description:"the plan's id"`
	} `positional-args:"true" required:"true"`

	app *application
}

// applyReport is the result of apply.
type applyReport struct {
	PlanID   string `json:"planID"`
	Version  int64  `json:"version"`
	Repeated bool   `json:"repeated"`
	// Everywhere is set by --wait.
	Everywhere bool `json:"everywhere,omitempty"`
}

// Execute confirms the plan.
func (c *applyCommand) Execute([]string) error {
	var applied *operatorapi.Applied
	err := c.Connection.ask(c.app.context, func(ctx context.Context, client *operatorapi.Client) (err error) {
		confirmation := &operatorapi.Confirmation{AcceptedHarms: c.Accept}
		applied, err = client.ApplyPlan(ctx, confirmation, operatorapi.ApplyPlanParams{PlanID: c.Positional.Plan})
		return err
	})
	if err != nil {
		return err
	}
	report := applyReport{PlanID: applied.PlanID, Version: applied.Version, Repeated: applied.Repeated}
	if c.Wait {
		if err := c.waitEverywhere(applied.Version); err != nil {
			return err
		}
		report.Everywhere = true
	}
	return c.app.write(report, func(out io.Writer) {
		fmt.Fprintf(out, "version %d accepted (%s)", report.Version, report.PlanID)
		if report.Repeated {
			fmt.Fprint(out, ", applied before")
		}
		if report.Everywhere {
			fmt.Fprint(out, ", in force everywhere")
		}
		fmt.Fprintln(out)
	})
}

// waitEverywhere returns once every daemon acts on the version, or with a
// *notEverywhere that says where it is not.
func (c *applyCommand) waitEverywhere(version int64) error {
	waitEnds := time.Now().Add(c.WaitTimeout)
	looking, cancel := context.WithDeadline(c.app.context, waitEnds.Add(lastLookTimeout))
	defer cancel()
	missing := &notEverywhere{version: version}
	for period := firstStatusPeriod; ; period = min(2*period, statusPeriodLimit) {
		status, err := c.Connection.inForce(looking, version)
		if err == nil && status.Everywhere {
			return nil
		}
		if err == nil {
			missing.nodes = status.Nodes
		}
		missing.cause = err
		if !pause.For(looking, min(period, time.Until(waitEnds))) || !time.Now().Before(waitEnds) {
			return missing
		}
	}
}

func (c *connection) inForce(ctx context.Context, version int64) (status *operatorapi.InForce, err error) {
	err = c.ask(ctx, func(ctx context.Context, client *operatorapi.Client) (err error) {
		status, err = client.GetInForce(ctx, operatorapi.GetInForceParams{Version: operatorapi.NewOptInt64(version)})
		return err
	})
	return status, err
}

// notEverywhere reports a version that is accepted but not yet in force on all
// daemons. It goes on spreading.
type notEverywhere struct {
	version int64
	nodes   []operatorapi.NodeInForce
	// cause is why the last look failed, or nil.
	cause error
}

func (e *notEverywhere) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "version %d is accepted, but not in force everywhere yet", e.version)
	if e.cause != nil {
		fmt.Fprintf(&text, "\n  last look failed: %v", e.cause)
	}
	for _, node := range e.nodes {
		if !node.InForce {
			fmt.Fprintf(&text, "\n  %s in %s: %s", node.Node, node.Zone, versionText(node.Version))
		}
	}
	return text.String()
}

func versionText(version operatorapi.OptInt64) string {
	if !version.Set {
		return "no answer"
	}
	return fmt.Sprintf("version %d", version.Value)
}

// Type returns "not_in_force_everywhere".
func (e *notEverywhere) Type() failure.Type { return "not_in_force_everywhere" }

// Outcome returns Ran: the plan is accepted.
func (e *notEverywhere) Outcome() failure.Outcome { return failure.Ran }

// Retry allows a repeat, which waits on.
func (e *notEverywhere) Retry() failure.Retry { return failure.Retry{Allowed: true} }
