package main

import (
	"os"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gateway"
	"github.com/barleyshelf/barleyshelf/internal/logsink"
	"github.com/barleyshelf/barleyshelf/internal/reload"
	"github.com/barleyshelf/barleyshelf/internal/replica"
	"github.com/barleyshelf/barleyshelf/internal/settings"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/platform"
)

const (
	storeDialTimeout = 600 * time.Millisecond
	// storeMemoryDivisor is the reciprocal of the fraction of process memory that answers of the platform's store may
	// take beyond small ones.
	storeMemoryDivisor = 8
	storeUserTimeout   = 1200 * time.Millisecond
	// logCloseTimeout bounds the writing of the last log lines.
	logCloseTimeout = 200 * time.Millisecond
)

// roleFile is what both roles take on the command line.
type roleFile struct {
	File string `long:"settings" env:"BARLEYSHELF_CONFIG" value-name:"FILE" required:"true" description:"settings file of the role"`
}

type gatewayCommand struct {
	roleFile
	app *application
}

// Execute runs a gateway until SIGTERM asks for its planned stop.
func (c *gatewayCommand) Execute(arguments []string) error {
	loaded, log, err := c.begin(gatewayName, arguments, settings.Role.ValidateGateway)
	if err != nil {
		return err
	}
	defer log.Close(logCloseTimeout)
	running := gateway.New(gateway.Options{
		Node: loaded.Node, Zone: loaded.Zone, IngressAddress: loaded.Ingress, ReadinessAddress: loaded.Readiness,
		ForwarderAddress: loaded.Forwarder, Seeds: loaded.Seeds, ShutdownGracePeriod: loaded.Grace(), HeaderCodec: platform.Dialect{},
		MetricsAddress: loaded.Metrics, LogSink: log, MemoryBytes: loaded.MemoryBytes(), DisabledMechanisms: loaded.Disabled(), EnabledMechanisms: loaded.Enabled(),
		RegionOf: loaded.Zones, WatchZoneDrains: loaded.DrainsFollowed(), MaxDrainDelay: loaded.DrainBound(),
	}, newStore(loaded))
	c.follow(c.app, loaded, settings.Role.ValidateGateway, func(changed settings.Role) {
		running.Reload(changed.Seeds, changed.Grace())
	})
	return running.Run(c.app.context)
}

type replicaCommand struct {
	roleFile
	app *application
}

// Execute runs a replica until SIGTERM ends it.
func (c *replicaCommand) Execute(arguments []string) error {
	loaded, log, err := c.begin(replicaName, arguments, settings.Role.ValidateReplica)
	if err != nil {
		return err
	}
	defer log.Close(logCloseTimeout)
	running, err := replica.New(replica.Options{
		Node: loaded.Node, Zone: loaded.Zone, Address: loaded.Replica, DataFolder: loaded.DataFolder,
		Bootstrap: loaded.Bootstrap, Seeds: loaded.Seeds, MetricsAddress: loaded.Metrics, TenantTolerance: loaded.Quota(), ShutdownGracePeriod: loaded.Grace(), MemoryBytes: loaded.MemoryBytes(),
		DisabledMechanisms: loaded.Disabled(), RegionOf: loaded.Zones, ToleratedZoneFailures: int(loaded.ZonesBorne), WatchZoneDrains: loaded.DrainsFollowed(), ColdWorkerTolerance: loaded.ColdTolerance(),
	}, newStore(loaded))
	if err != nil {
		return err
	}
	c.follow(c.app, loaded, settings.Role.ValidateReplica, func(changed settings.Role) {
		running.SetSeeds(changed.Seeds)
	})
	return running.Run(c.app.context)
}

// begin reads and checks the settings file, and puts the bound of the heap and the
// log in force. The log is to be closed by the caller.
func (f roleFile) begin(role string, arguments []string, validate func(settings.Role) error) (settings.Role, *logsink.Sink, error) {
	if len(arguments) > 0 {
		return settings.Role{}, nil, &wrongUse{reason: role + " takes flags alone"}
	}
	loaded, err := settings.LoadValidRole(f.File, validate)
	if err != nil {
		return settings.Role{}, nil, err
	}
	limitHeap(loaded.MemoryBytes())
	log := logsink.New(os.Stdout)
	log.Install()
	return loaded, log, nil
}

// follow puts the settings file in force again when it changes, and at SIGHUP.
func (f roleFile) follow(app *application, loaded settings.Role, validate func(settings.Role) error, apply func(settings.Role)) {
	watcher := &reload.Watcher{Path: f.File, Loaded: loaded, Validate: validate, Apply: func(changed settings.Role) {
		limitHeap(changed.MemoryBytes())
		apply(changed)
	}}
	go watcher.Run(app.context, app.hangups)
}

func newStore(loaded settings.Role) *platform.Store {
	client := transport.NewHTTPClient(transport.Options{DialTimeout: storeDialTimeout, UserTimeout: storeUserTimeout})
	store := platform.NewStore(loaded.Store, client)
	if memory := loaded.MemoryBytes(); memory > 0 {
		store.LimitHeld(memory / storeMemoryDivisor)
	}
	return store
}
