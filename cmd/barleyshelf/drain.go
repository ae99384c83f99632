package main

import (
	"context"
	"fmt"
	"io"

	"github.com/barleyshelf/barleyshelf/internal/gen/operatorapi"
)

type drainCommand struct {
	Undo       bool       `long:"undo" description:"zone: plan the end of the draining"`
	Connection connection `group:"Connection"`
	Positional struct {
		Kind string `positional-arg-name:"KIND" description:"node or zone"`
		Name string `positional-arg-name:"NAME" description:"the daemon's or the zone's name"`
	} `positional-args:"true" required:"true"`

	app *application
}

// drainReport is the result of draining a node.
type drainReport struct {
	Node string `json:"node"`
}

// Execute starts the planned stop of a daemon, which is no change of the
// configuration, or makes the plan that drains a zone, which is one.
func (c *drainCommand) Execute([]string) error {
	switch {
	case c.Positional.Kind == "zone":
		return c.zone()
	case c.Positional.Kind == "node" && !c.Undo:
		return c.node()
	case c.Positional.Kind == "node":
		return &wrongUse{reason: "a planned stop can't be undone: start the daemon again"}
	default:
		return &wrongUse{reason: "drain takes node NAME or zone NAME"}
	}
}

func (c *drainCommand) node() error {
	err := c.Connection.ask(c.app.context, func(ctx context.Context, client *operatorapi.Client) error {
		return client.DrainNode(ctx, operatorapi.DrainNodeParams{Node: operatorapi.Name(c.Positional.Name)})
	})
	if err != nil {
		return err
	}
	return c.app.write(drainReport{Node: c.Positional.Name}, func(out io.Writer) {
		fmt.Fprintf(out, "%s takes no new work and is stopping\n", c.Positional.Name)
	})
}

func (c *drainCommand) zone() error {
	var created *operatorapi.Plan
	err := c.Connection.ask(c.app.context, func(ctx context.Context, client *operatorapi.Client) (err error) {
		created, err = client.CreateDrainPlan(ctx, &operatorapi.DrainZone{Draining: !c.Undo},
			operatorapi.CreateDrainPlanParams{Zone: operatorapi.Name(c.Positional.Name)})
		return err
	})
	if err != nil {
		return err
	}
	return c.app.writePlan(created)
}
