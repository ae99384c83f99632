package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/declaration"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/operatorapi"
	"github.com/barleyshelf/barleyshelf/internal/operator"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

type planCommand struct {
	Directory  string     `short:"f" long:"directory" value-name:"DIR" required:"true" description:"directory of declarations"`
	Connection connection `group:"Connection"`

	app *application
}

// Execute reads and checks the declarations here, so that problems have their
// file and line, and asks a daemon for the plan.
func (c *planCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &wrongUse{reason: "plan takes flags alone"}
	}
	wanted, err := declaration.Load(c.Directory)
	if err != nil {
		return err
	}
	text, err := json.Marshal(wanted)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	var created *operatorapi.Plan
	err = c.Connection.ask(c.app.context, func(ctx context.Context, client *operatorapi.Client) (err error) {
		created, err = client.CreatePlan(ctx, &operatorapi.CreatePlan{Declarations: text})
		return err
	})
	if err != nil {
		return err
	}
	return c.app.writePlan(created)
}

func (a *application) writePlan(made *operatorapi.Plan) error {
	return a.write(made, func(out io.Writer) {
		fmt.Fprintf(out, "plan %s from version %d by %s (%s)\n", made.ID, made.BaseVersion, made.Operator, made.State)
		writeDifferences(out, made.Differences)
		writeConsequences(out, made.Consequences)
		writeHarms(out, made.Harms)
		if made.State != operatorapi.PlanStateOpen || len(made.Differences) == 0 {
			return
		}
		fmt.Fprintf(out, "nothing has changed; to confirm: barleyshelf apply %s --wait", made.ID)
		for _, harm := range made.Harms {
			fmt.Fprintf(out, " --accept %s", harm.Name)
		}
		fmt.Fprintln(out)
	})
}

func writeDifferences(out io.Writer, differences []operatorapi.Difference) {
	if len(differences) == 0 {
		fmt.Fprintln(out, "no differences")
		return
	}
	fmt.Fprintln(out, "differences:")
	for _, one := range differences {
		fmt.Fprintf(out, "  %s\n", differenceText(one))
	}
}

func differenceText(one operatorapi.Difference) string {
	return operator.DifferenceText(structs.Difference{
		Object: one.Object,
		Change: structs.Change(one.Change),
		Field:  one.Field.Or(""),
		Before: one.Before.Or(""),
		After:  one.After.Or(""),
	})
}

func writeConsequences(out io.Writer, consequences []operatorapi.Consequence) {
	if len(consequences) == 0 {
		return
	}
	fmt.Fprintln(out, "consequences:")
	for _, one := range consequences {
		fmt.Fprintf(out, "  %s %s%s: %s%s\n", one.Kind, one.Object, placeText(one.Zone), one.Detail, sizeText(one))
	}
}

func placeText(zone operatorapi.OptString) string {
	if zone.Or("") == "" {
		return ""
	}
	return " in " + zone.Value
}

func sizeText(one operatorapi.Consequence) string {
	const gigabyte = 1e9
	if one.Bytes.Or(0) == 0 {
		return ""
	}
	text := fmt.Sprintf(" (%.1f GB", float64(one.Bytes.Value)/gigabyte)
	if one.Milliseconds.Or(0) > 0 {
		text += fmt.Sprintf(", %s", time.Duration(one.Milliseconds.Value)*time.Millisecond)
	}
	return text + ")"
}

func writeHarms(out io.Writer, harms []operatorapi.Harm) {
	if len(harms) == 0 {
		return
	}
	fmt.Fprintln(out, "harms, each to be named in the confirmation:")
	for _, one := range harms {
		fmt.Fprintf(out, "  %s (%s): %s\n", one.Name, one.Kind, one.Detail)
	}
}
