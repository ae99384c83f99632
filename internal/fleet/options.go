package fleet

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/engine"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/weights"
)

// Engines is what this package asks of engines. Engines of a *engine.Client
// are made by FromClient.
type Engines interface {
	// WatchStatus opens a stream of load reports.
	WatchStatus(ctx context.Context, address string, interval time.Duration) (Reports, error)
	Status(ctx context.Context, address string) (structs.EngineStatus, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]engine.CacheEvent, error)
	Holds(ctx context.Context, address string) (engine.HoldList, error)
	Release(ctx context.Context, address string, incarnation structs.Incarnation, holder structs.ProgramID) error
	Order(ctx context.Context, address string, order engine.Order) error
}

// Reports is a stream of an engine's load reports.
type Reports interface {
	Next() (structs.EngineStatus, error)
	Close() error
}

// FromClient returns the engines that the client talks to.
func FromClient(client *engine.Client) Engines { return clientEngines{client} }

type clientEngines struct{ *engine.Client }

// WatchStatus opens a stream of load reports.
func (c clientEngines) WatchStatus(ctx context.Context, address string, interval time.Duration) (Reports, error) {
	watch, err := c.Client.WatchStatus(ctx, address, interval)
	if err != nil {
		return nil, err
	}
	return watch, nil
}

// Objects is what this package asks of the platform; *platform.Client is one.
type Objects interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
	LeavingMachines(ctx context.Context) ([]platform.Machine, error)
}

// WeightStore is what this package asks of the weight store; *weights.Client is
// one.
type WeightStore interface {
	Load(ctx context.Context) (weights.Load, error)
}

// Options configures a Fleet. Self, Engines, Configuration and Nodes are
// required; the other members turn parts on or have defaults.
type Options struct {
	Self    structs.Node
	Engines Engines
	// Configuration returns the version in force, or nil.
	Configuration func() *structs.Configuration
	// Nodes returns the daemons that this one knows of.
	Nodes func() []structs.Node
	// Platform gives the machine list and keeps fence tokens; nil turns the
	// machine list and the order reconciler off.
	Platform Objects
	// Weights tells how much the weight store has to do; nil takes it to be idle.
	Weights WeightStore
	// Publish tells the other daemons a versioned fact; they hand it to Observe.
	Publish func(key string, version uint64, value []byte)
	// Orphans returns those of an engine's holders that the journal has no hold
	// of. A holder whose shard gives no answer is left out. Nil turns the
	// release of orphans off.
	Orphans func(ctx context.Context, id structs.EngineID, incarnation structs.Incarnation, holders []structs.ProgramID) []structs.ProgramID
	// CacheEvent takes what engines say of this daemon's programs; late, with
	// gaps, and never proof. Nil turns it off.
	CacheEvent func(id structs.EngineID, event engine.CacheEvent)
	// SubsetSize is how many engines are followed; 0 means the default.
	SubsetSize int
	// ReportInterval is asked of the engines; 0 means the default. More than
	// one second would break the bound on how soon a lost engine is left out.
	ReportInterval time.Duration
	// ReportLag is how late the engines' reports are taken to be.
	ReportLag time.Duration
	// SweepInterval is how often an engine's holds are compared, at the most.
	SweepInterval time.Duration
	// ReconcileInterval is how often orders are planned.
	ReconcileInterval time.Duration
	// SettleTime is how long all daemons may take to learn of a draining.
	SettleTime time.Duration
	// DrainTimeout bounds how long an engine's streams may go on before an
	// order that would cut them is given up for now.
	DrainTimeout time.Duration
}

// Defaults of the options, and bounds that follow from them. A sign that an
// engine leaves is in the view within three seconds: a report tells at once, a
// silent engine is left out after ReportInterval + silenceGrace, the machine list
// is read each machineInterval, and a configuration is seen each tickInterval.
const (
	defaultReportInterval    = time.Second
	defaultReportLag         = 300 * time.Millisecond
	defaultSweepInterval     = 10 * time.Second
	defaultReconcileInterval = time.Second
	defaultSettleTime        = 3 * time.Second
	defaultDrainTimeout      = 2 * time.Minute

	silenceGrace    = 1500 * time.Millisecond
	machineInterval = time.Second
	tickInterval    = 250 * time.Millisecond
	requestTimeout  = 2 * time.Second
	markDuration    = 10 * time.Second
	markSettle      = time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.SubsetSize, DefaultSubsetSize)
	setDefault(&o.ReportInterval, defaultReportInterval)
	setDefault(&o.ReportLag, defaultReportLag)
	setDefault(&o.SweepInterval, defaultSweepInterval)
	setDefault(&o.ReconcileInterval, defaultReconcileInterval)
	setDefault(&o.SettleTime, defaultSettleTime)
	setDefault(&o.DrainTimeout, defaultDrainTimeout)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
