package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/operatorapi"
)

// resourceKinds are the kinds that get shows.
const resourceKinds = "nodes, engines, shards, programs, configuration, in-force, audit, plan ID"

type getCommand struct {
	Limit      int        `long:"limit" default:"20" description:"audit: most records to show"`
	Connection connection `group:"Connection"`
	Positional struct {
		Kind string `positional-arg-name:"KIND" required:"true" description:"nodes, engines, shards, programs, configuration, in-force, audit or plan"`
		Name string `positional-arg-name:"ID" description:"the plan's id"`
	} `positional-args:"true"`

	app *application
}

// Execute shows resources of one kind.
func (c *getCommand) Execute([]string) error {
	shows := map[string]func(context.Context, *operatorapi.Client) (any, func(io.Writer), error){
		"nodes": showNodes, "engines": showEngines, "shards": showShards, "programs": showPrograms,
		"configuration": showConfiguration, "in-force": showInForce, "audit": c.showAudit,
	}
	if c.Positional.Kind == "plan" {
		return c.plan()
	}
	show, known := shows[c.Positional.Kind]
	if !known || c.Positional.Name != "" {
		return &wrongUse{reason: "get takes one of: " + resourceKinds}
	}
	var value any
	var text func(io.Writer)
	err := c.Connection.ask(c.app.context, func(ctx context.Context, client *operatorapi.Client) (err error) {
		value, text, err = show(ctx, client)
		return err
	})
	if err != nil {
		return err
	}
	return c.app.write(value, text)
}

func (c *getCommand) plan() error {
	if c.Positional.Name == "" {
		return &wrongUse{reason: "get plan takes the plan's id"}
	}
	var kept *operatorapi.Plan
	err := c.Connection.ask(c.app.context, func(ctx context.Context, client *operatorapi.Client) (err error) {
		kept, err = client.GetPlan(ctx, operatorapi.GetPlanParams{PlanID: c.Positional.Name})
		return err
	})
	if err != nil {
		return err
	}
	return c.app.writePlan(kept)
}

// table returns a function that writes a heading and rows in columns.
func table(heading string, rows []string) func(io.Writer) {
	return func(out io.Writer) {
		const padding = 2
		columns := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
		fmt.Fprintln(columns, heading)
		for _, row := range rows {
			fmt.Fprintln(columns, row)
		}
		columns.Flush()
	}
}

func showNodes(ctx context.Context, client *operatorapi.Client) (any, func(io.Writer), error) {
	found, err := client.GetNodes(ctx)
	if err != nil {
		return nil, nil, err
	}
	var rows []string
	for _, node := range found.Nodes {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%t", node.ID, node.Region, node.Zone, node.State, node.PeerAddress, node.HasDisk))
	}
	return found, table("NODE\tREGION\tZONE\tSTATE\tPEER ADDRESS\tDISK", rows), nil
}

func showEngines(ctx context.Context, client *operatorapi.Client) (any, func(io.Writer), error) {
	found, err := client.GetEngines(ctx)
	if err != nil {
		return nil, nil, err
	}
	var rows []string
	for _, engine := range found.Engines {
		cache := fmt.Sprintf("%d/%d", engine.CacheUsedTokens, engine.CacheCapacityTokens)
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%s\t%t\t%s",
			engine.ID, engine.Zone, engine.Role, strings.Join(engine.Loaded, ", "), engine.Running, engine.Waiting,
			cache, engine.Leaving, engine.ReportedAt.Format(time.RFC3339)))
	}
	if !found.All {
		rows = append(rows, "(the daemon asked follows a part of the engines)")
	}
	return found, table("ENGINE\tZONE\tROLE\tLOADED\tRUNNING\tWAITING\tCACHE TOKENS\tLEAVING\tREPORTED", rows), nil
}

func showShards(ctx context.Context, client *operatorapi.Client) (any, func(io.Writer), error) {
	found, err := client.GetShards(ctx)
	if err != nil {
		return nil, nil, err
	}
	var rows []string
	for _, shard := range found.Shards {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%d\t%s",
			shard.Shard, shard.Domain, shard.Leader.Or("none known"), shard.Term, strings.Join(shard.Members, ", ")))
	}
	return found, table("SHARD\tDOMAIN\tLEADER\tTERM\tMEMBERS", rows), nil
}

func showPrograms(ctx context.Context, client *operatorapi.Client) (any, func(io.Writer), error) {
	found, err := client.GetPrograms(ctx)
	if err != nil {
		return nil, nil, err
	}
	var rows []string
	for _, count := range found.Counts {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d", count.Program, count.Tenant, count.Domain, count.UnderWay))
	}
	if !found.Complete {
		rows = append(rows, "(the count of some shard is missing)")
	}
	return found, table("PROGRAM\tTENANT\tDOMAIN\tUNDER WAY", rows), nil
}

func showConfiguration(ctx context.Context, client *operatorapi.Client) (any, func(io.Writer), error) {
	found, err := client.GetConfiguration(ctx)
	if err != nil {
		return nil, nil, err
	}
	rows := []string{fmt.Sprintf("%d\t%s", found.Version, found.PlanID), "", "DOMAIN\tZONES\tSHARDS"}
	for _, domain := range found.Domains {
		last := domain.FirstShard + domain.ShardCount - 1
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d to %d", domain.Name, strings.Join(domain.Zones, ", "), domain.FirstShard, last))
	}
	return found, table("VERSION\tPLAN", rows), nil
}

func showInForce(ctx context.Context, client *operatorapi.Client) (any, func(io.Writer), error) {
	found, err := client.GetInForce(ctx, operatorapi.GetInForceParams{})
	if err != nil {
		return nil, nil, err
	}
	var rows []string
	for _, node := range found.Nodes {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%t", node.Node, node.Zone, versionText(node.Version), node.InForce))
	}
	heading := fmt.Sprintf("newest accepted version %d, everywhere: %t\nNODE\tZONE\tACTS ON\tIN FORCE", found.Version, found.Everywhere)
	return found, table(heading, rows), nil
}

func (c *getCommand) showAudit(ctx context.Context, client *operatorapi.Client) (any, func(io.Writer), error) {
	found, err := client.GetAudit(ctx, operatorapi.GetAuditParams{Limit: operatorapi.NewOptInt(c.Limit)})
	if err != nil {
		return nil, nil, err
	}
	return found, func(out io.Writer) {
		for _, record := range found.Records {
			fmt.Fprintf(out, "version %d from %d: %s confirmed by %s, planned by %s, %s\n", record.Version, record.Base, record.PlanID,
				record.Operator, record.PlannedBy, record.AcceptedAt.Format(time.RFC3339))
			for _, harm := range record.AcceptedHarms {
				fmt.Fprintf(out, "  accepted harm %s\n", harm)
			}
			for _, one := range record.Differences {
				fmt.Fprintf(out, "  %s\n", differenceText(one))
			}
		}
	}, nil
}
