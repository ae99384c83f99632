package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller/client"
	"github.com/barleyshelf/barleyshelf/internal/lab/load"
	"github.com/barleyshelf/barleyshelf/internal/lab/report"
	"github.com/barleyshelf/barleyshelf/internal/lab/session"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// loadCommand puts open-loop load on running daemons.
type loadCommand struct {
	lab        *laboratory
	Daemons    []string          `long:"daemon" required:"true" description:"callers' address IP:port of a daemon; may be repeated"`
	Tokens     map[string]string `long:"token" required:"true" description:"TENANT:TOKEN, bearer token of a tenant; may be repeated"`
	Deployment string            `long:"workload" default:"voltkai" description:"voltkai or hofbauer"`
	Rate       float64           `long:"rate" default:"2" description:"programs a second"`
	Programs   int               `long:"programs" default:"100" description:"most programs to open"`
	Duration   time.Duration     `long:"duration" default:"30s" description:"span over which programs are opened"`
	Finish     time.Duration     `long:"finish" default:"30s" description:"span after it in which programs may end"`
	Patience   time.Duration     `long:"patience" default:"30s" description:"longest wait for one call"`
	TimeScale  float64           `long:"time-scale" default:"1" description:"factor on the workload's pauses"`
	Seed       uint64            `long:"seed" default:"1" description:"seed of the workload and the arrivals"`
	TLS        bool              `long:"tls" description:"connect with TLS"`
	Output     string            `long:"output" choice:"text" choice:"json" default:"text" description:"form of the report"`
}

const connectionsPerDaemon = 256

// Execute runs the command.
func (c *loadCommand) Execute([]string) error {
	written, err := load.Run(c.lab.context, load.Options{
		Workload:  c.Deployment,
		Arrivals:  load.Arrivals(c.Seed, c.Rate, c.Programs, c.Duration),
		Seed:      c.Seed,
		Limit:     c.Duration + c.Finish,
		Endpoints: c.endpoints(),
		Patience:  c.Patience,
		TimeScale: c.TimeScale,
	})
	if err != nil {
		return err
	}
	if err := c.write(written); err != nil {
		return err
	}
	if written.ProgramsCompleted == 0 {
		return &noneCompleted{}
	}
	return nil
}

func (c *loadCommand) write(written report.Callers) error {
	if c.Output != "json" {
		return written.WriteText(c.lab.stdout)
	}
	encoder := json.NewEncoder(c.lab.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(written)
}

// noneCompleted ends a run of load whose report says why.
type noneCompleted struct{}

func (*noneCompleted) Error() string { return "no program was completed" }

// endpoints returns the daemons as each tenant reaches them.
func (c *loadCommand) endpoints() func(structs.TenantID) []session.Endpoint {
	scheme := "http://"
	if c.TLS {
		scheme = "https://"
	}
	connections := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerDaemon}}
	byTenant := map[structs.TenantID][]session.Endpoint{}
	for tenant, token := range c.Tokens {
		for _, address := range c.Daemons {
			byTenant[structs.TenantID(tenant)] = append(byTenant[structs.TenantID(tenant)], session.Endpoint{
				Daemon: structs.NodeID(address),
				Client: client.New(scheme+address, token, connections),
			})
		}
	}
	return func(tenant structs.TenantID) []session.Endpoint { return byTenant[tenant] }
}
