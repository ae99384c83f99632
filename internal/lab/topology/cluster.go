package topology

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Daemon is a real daemon in this process.
type Daemon interface {
	// Start returns when the daemon listens.
	Start(ctx context.Context) error
	// Stop is a planned stop.
	Stop(ctx context.Context) error
	// Kill is a crash: nothing is handed over.
	Kill()
	// Pause freezes the daemon until Resume.
	Pause()
	Resume()
}

// Spec is what a daemon is started from. It stays the same over restarts.
type Spec struct {
	Node            structs.NodeID
	Region          string
	Zone            structs.ZoneName
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// DataFolder is empty for a daemon without a disk.
	DataFolder      string
	Seeds           []string
	PlatformAddress string
	Policy          string
	Dial            func(ctx context.Context, network, address string) (net.Conn, error)
	Seed            uint64
}

// Factory makes a daemon that is not yet started.
type Factory func(Spec) (Daemon, error)

// Member is one daemon's place in the cluster, over all its lives.
type Member struct {
	Spec    Spec
	cluster *Cluster

	mutex  sync.Mutex
	daemon Daemon
	up     bool
	// stopping members take no new requests.
	stopping bool
}

// Cluster is all daemons of a deployment.
type Cluster struct {
	Members []*Member
	factory Factory
}

// ClusterOptions set up the daemons.
type ClusterOptions struct {
	Zones []structs.Zone
	// PerZone is the number of daemons of each zone; the first has a disk.
	PerZone int
	// DataFolder holds the disks' folders.
	DataFolder      string
	PlatformAddress string
	Policy          string
	Factory         Factory
	Seed            uint64
}

// NewCluster plans the daemons; Start starts them.
func NewCluster(options ClusterOptions, network *Network) (*Cluster, error) {
	cluster := &Cluster{factory: options.Factory}
	ports := newPorts(options.Seed)
	for _, zone := range options.Zones {
		for position := range options.PerZone {
			member, err := cluster.plan(options, zone, position, ports, network)
			if err != nil {
				return nil, err
			}
			cluster.Members = append(cluster.Members, member)
		}
	}
	seeds := cluster.seeds()
	for _, member := range cluster.Members {
		member.Spec.Seeds = seeds
	}
	return cluster, nil
}

func (c *Cluster) plan(options ClusterOptions, zone structs.Zone, position int, ports *ports, network *Network) (*Member, error) {
	spec := Spec{
		Node:            structs.NodeID(fmt.Sprintf("%s-daemon-%d", zone.Name, position+1)),
		Region:          zone.Region,
		Zone:            zone.Name,
		PlatformAddress: options.PlatformAddress,
		Policy:          options.Policy,
		Seed:            options.Seed + uint64(len(c.Members)),
	}
	for _, address := range []*string{&spec.CallerAddress, &spec.OperatorAddress, &spec.PeerAddress} {
		free, err := ports.next()
		if err != nil {
			return nil, err
		}
		*address = free
		network.Register(free, Place{Zone: zone.Name, Daemon: spec.Node})
	}
	if position == 0 {
		spec.DataFolder = filepath.Join(options.DataFolder, string(spec.Node))
		if err := os.MkdirAll(spec.DataFolder, dataFolderMode); err != nil {
			return nil, &NoDataFolder{Cause: err}
		}
	}
	spec.Dial = network.Dialer(Place{Zone: zone.Name, Daemon: spec.Node})
	return &Member{Spec: spec, cluster: c}, nil
}

const (
	dataFolderMode = 0o700
	// seedZones bounds the daemons that others join through.
	seedCount = 3
)

// seeds spreads the addresses to join through over the zones.
func (c *Cluster) seeds() []string {
	var seeds []string
	taken := map[structs.ZoneName]bool{}
	for _, member := range c.Members {
		if !taken[member.Spec.Zone] && len(seeds) < seedCount {
			taken[member.Spec.Zone] = true
			seeds = append(seeds, member.Spec.PeerAddress)
		}
	}
	return seeds
}

// NoDataFolder reports that a folder for a daemon's disk could not be made.
type NoDataFolder struct{ Cause error }

func (e *NoDataFolder) Error() string { return fmt.Sprintf("cannot make a data folder: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoDataFolder) Unwrap() error { return e.Cause }

// Start starts every daemon, all at once.
func (c *Cluster) Start(ctx context.Context) error {
	failures := make(chan error, len(c.Members))
	for _, member := range c.Members {
		go func() { failures <- member.Start(ctx) }()
	}
	var first error
	for range c.Members {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Up returns the members that callers may be sent to.
func (c *Cluster) Up() []*Member {
	var up []*Member
	for _, member := range c.Members {
		if member.Up() {
			up = append(up, member)
		}
	}
	return up
}

// Close stops every daemon at once; nothing is handed over.
func (c *Cluster) Close() {
	var group sync.WaitGroup
	for _, member := range c.Members {
		group.Add(1)
		go func() {
			defer group.Done()
			member.Kill()
		}()
	}
	group.Wait()
}

// Start starts the member's next life.
func (m *Member) Start(ctx context.Context) error {
	created, err := m.cluster.factory(m.Spec)
	if err != nil {
		return err
	}
	if err := created.Start(ctx); err != nil {
		created.Kill()
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.daemon, m.up, m.stopping = created, true, false
	return nil
}

// Up reports whether the member runs and takes requests.
func (m *Member) Up() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.up && !m.stopping
}

// Stop is a planned stop. It returns when the daemon has exited.
func (m *Member) Stop(ctx context.Context) error {
	current := m.leave(false)
	if current == nil {
		return nil
	}
	err := current.Stop(ctx)
	m.leave(true)
	return err
}

// Kill is a crash.
func (m *Member) Kill() {
	if current := m.leave(true); current != nil {
		current.Kill()
	}
}

// leave marks the member as stopping, or as down.
func (m *Member) leave(down bool) Daemon {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.up {
		return nil
	}
	m.stopping = true
	if down {
		m.up = false
	}
	return m.daemon
}

// Freeze pauses the daemon for the span. Callers do not know of it.
func (m *Member) Freeze(ctx context.Context, span time.Duration) {
	m.mutex.Lock()
	current, up := m.daemon, m.up
	m.mutex.Unlock()
	if !up {
		return
	}
	current.Pause()
	defer current.Resume()
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}

// EraseDisk drops what the member keeps on disk. It must be down.
func (m *Member) EraseDisk() error {
	if m.Spec.DataFolder == "" {
		return nil
	}
	if err := os.RemoveAll(m.Spec.DataFolder); err != nil {
		return &NoDataFolder{Cause: err}
	}
	if err := os.MkdirAll(m.Spec.DataFolder, dataFolderMode); err != nil {
		return &NoDataFolder{Cause: err}
	}
	return nil
}
