package settings

import (
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
)

// Role is the whole settings file of a gateway or a replica. The keys that only
// the other role needs may stay empty.
type Role struct {
	// Node names the machine; it stays the same over restarts.
	Node string `yaml:"node"`
	// Zone is where the machine stands.
	Zone string `yaml:"zone"`
	// Ingress is the IP:port for clients.
	Ingress string `yaml:"ingress"`
	// Readiness is the IP:port where readiness is asked for.
	Readiness string `yaml:"readiness"`
	// Replica is the IP:port for gateways and other replicas.
	Replica string `yaml:"replica"`
	// Forwarder is the IP:port at which a gateway calls replicas for gateways that do
	// not reach them; empty calls for none.
	Forwarder string `yaml:"forwarder"`
	// Metrics is the IP:port for metrics; empty serves none.
	Metrics string `yaml:"metrics"`
	// Store is the IP:port of the platform's store.
	Store string `yaml:"store"`
	// Seeds are IP:port addresses of replicas, which may be stale.
	Seeds []string `yaml:"seeds"`
	// DataFolder holds a replica's records.
	DataFolder string `yaml:"dataFolder"`
	// Bootstrap is true only when the whole system starts for the first time.
	Bootstrap bool `yaml:"bootstrap"`
	// GraceMilliseconds is how long a planned stop may take.
	GraceMilliseconds int64 `yaml:"graceMilliseconds"`
	// MemoryMegabytes is what the process may use; 0 is unknown.
	MemoryMegabytes int64 `yaml:"memoryMegabytes"`
	// LimitWindowMilliseconds is the span over which tenants' requests are counted;
	// LimitOvershoot, a part of a limit, and LimitSlack, a number of requests, are by how
	// much all gateways together may exceed it in one.
	LimitWindowMilliseconds int64   `yaml:"limitWindowMilliseconds"`
	LimitOvershoot          float64 `yaml:"limitOvershoot"`
	LimitSlack              float64 `yaml:"limitSlack"`
	// Zones names the region of each zone.
	Zones map[string]string `yaml:"zones"`
	// ZonesBorne is how many zones may be lost at once with service going on.
	ZonesBorne int64 `yaml:"zonesBorne"`
	// DrainBoundMilliseconds is within what time a zone that operators drain must get nothing
	// more; 0 follows no such orders.
	DrainBoundMilliseconds int64 `yaml:"drainBoundMilliseconds"`
	// ColdLimitOvershoot, a factor, and ColdLimitSlack, a number of requests on top, say how
	// many requests all gateways together may send in a second to a worker that has just
	// started, as a multiple of what it bears.
	ColdLimitOvershoot float64 `yaml:"coldLimitOvershoot"`
	ColdLimitSlack     float64 `yaml:"coldLimitSlack"`
	// DisabledMechanisms are switched off for an experiment; empty in operation.
	DisabledMechanisms []string `yaml:"disabledMechanisms"`
	// EnabledMechanisms are optional ones that are switched on.
	EnabledMechanisms []string `yaml:"enabledMechanisms"`
}

// defaultGraceMilliseconds bounds a planned stop where the file names no time.
const defaultGraceMilliseconds = 8000

// Grace returns how long a planned stop may take.
func (r Role) Grace() time.Duration { return time.Duration(r.GraceMilliseconds) * time.Millisecond }

// Quota returns by how much tenants' requests may exceed their limits.
func (r Role) Quota() quota.Tolerance {
	return quota.Tolerance{
		Window: time.Duration(r.LimitWindowMilliseconds) * time.Millisecond, Overshoot: r.LimitOvershoot, Slack: r.LimitSlack,
	}
}

// DrainsFollowed reports whether operators may drain zones.
func (r Role) DrainsFollowed() bool { return r.DrainBoundMilliseconds > 0 }

// DrainBound returns within what time a zone that operators drain must get nothing more.
func (r Role) DrainBound() time.Duration {
	return time.Duration(r.DrainBoundMilliseconds) * time.Millisecond
}

// ColdTolerance returns by how much requests may exceed what a cold worker bears. The factor
// is on the whole; the tolerance is the part on top.
func (r Role) ColdTolerance() quota.Tolerance {
	return quota.Tolerance{Window: time.Second, Overshoot: max(0, r.ColdLimitOvershoot-1), Slack: r.ColdLimitSlack}
}

// MemoryBytes returns what the process may use; 0 is unknown.
func (r Role) MemoryBytes() int64 { return r.MemoryMegabytes << 20 }

// Disabled returns the mechanisms that are switched off.
func (r Role) Disabled() (disabled mechanism.Disabled) {
	for _, name := range r.DisabledMechanisms {
		disabled = append(disabled, mechanism.Name(name))
	}
	return disabled
}

// Enabled returns the optional mechanisms that are switched on.
func (r Role) Enabled() (enabled mechanism.Enabled) {
	for _, name := range r.EnabledMechanisms {
		enabled = append(enabled, mechanism.Name(name))
	}
	return enabled
}

// LoadRole reads a role's settings file. Its errors are a *strictyaml.Invalid
// with file, line and key, or a *Unreadable.
func LoadRole(path string) (Role, error) {
	loaded := Role{GraceMilliseconds: defaultGraceMilliseconds}
	err := decodeFile(path, &loaded)
	return loaded, err
}

// LoadValidRole reads a role's settings file and checks it with one of the
// Validate methods. Its errors are those of both.
func LoadValidRole(path string, validate func(Role) error) (Role, error) {
	loaded, err := LoadRole(path)
	if err != nil {
		return loaded, err
	}
	return loaded, validate(loaded)
}

// ValidateGateway returns nil, or a *strictyaml.Invalid with all problems of a
// gateway's settings at once.
func (r Role) ValidateGateway() error {
	found := r.common()
	found.address("ingress", r.Ingress, true)
	found.address("readiness", r.Readiness, true)
	if r.Forwarder != "" {
		found.address("forwarder", r.Forwarder, true)
	}
	found.positive("graceMilliseconds", r.GraceMilliseconds)
	return strictyaml.NewInvalid(subject, found.problems)
}

// ValidateReplica returns nil, or a *strictyaml.Invalid with all problems of a
// replica's settings at once.
func (r Role) ValidateReplica() error {
	found := r.common()
	found.address("replica", r.Replica, false)
	if r.DataFolder == "" {
		found.add("dataFolder", "is missing", "a folder on a disk")
	}
	return strictyaml.NewInvalid(subject, found.problems)
}

func (r Role) common() *collector {
	found := &collector{}
	found.name("node", r.Node)
	found.name("zone", r.Zone)
	found.address("store", r.Store, false)
	found.notNegative("memoryMegabytes", r.MemoryMegabytes)
	found.notNegative("zonesBorne", r.ZonesBorne)
	found.notNegative("limitWindowMilliseconds", r.LimitWindowMilliseconds)
	if r.LimitOvershoot < 0 || r.LimitOvershoot > 1 {
		found.add("limitOvershoot", "is no part of a limit", "a number from 0 to 1")
	}
	if r.LimitSlack < 0 {
		found.add("limitSlack", "is negative", "a number of requests")
	}
	found.notNegative("drainBoundMilliseconds", r.DrainBoundMilliseconds)
	if r.ColdLimitOvershoot < 0 {
		found.add("coldLimitOvershoot", "is negative", "a factor on what a worker bears")
	}
	if r.ColdLimitSlack < 0 {
		found.add("coldLimitSlack", "is negative", "a number of requests")
	}
	for _, seed := range r.Seeds {
		found.address("seeds", seed, false)
	}
	for _, name := range r.Disabled() {
		if !slices.Contains(mechanism.All, name) {
			found.add("disabledMechanisms", "is no mechanism: "+string(name), "a name of docs/operations/experiments.md")
		}
	}
	for _, name := range r.Enabled() {
		if !slices.Contains(mechanism.Optional, name) {
			found.add("enabledMechanisms", "is no optional mechanism: "+string(name), "a name of docs/operations/experiments.md")
		}
	}
	if r.Metrics != "" {
		found.address("metrics", r.Metrics, true)
	}
	return found
}
