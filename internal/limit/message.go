package limit

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Holder is one life of a daemon that holds shares. A daemon that restarted
// holds none of its former life's.
type Holder struct {
	Node        structs.NodeID
	Incarnation structs.Incarnation
}

// ReportNumber tells a tenant's home what one daemon sees of the tenant.
type Report struct {
	Tenant structs.TenantID
	// Number rises with each report of this holder for this tenant.
	Number uint32
	// LastGrant is the number of the last grant taken; 0 for none.
	LastGrant uint32
	// Demand is the rate of requests that arrive at the daemon.
	Demand Rate
	// HeldRate is the share that the daemon keeps to until it takes another grant.
	HeldRate Rate
}

// Grant hands a share of a tenant's rate out.
type Grant struct {
	Tenant structs.TenantID
	// Incarnation is the life of the receiver that the grant is for.
	Incarnation structs.Incarnation
	// ReportNumber is the number of the report whose sending the lifetime counts from.
	ReportNumber uint32
	// Number rises with each grant of this home to this holder.
	Number uint32
	Rate   Rate
}

// Message is what one daemon sends another at once.
type Message struct {
	From    Holder
	Reports []Report
	Grants  []Grant
}

// Outgoing is a message to be sent. It may be lost, doubled or overtaken.
type Outgoing struct {
	To      structs.NodeID
	Message Message
}

const (
	// ShareLifetime is how long a share may be used after the report that it answers
	// was sent.
	ShareLifetime = time.Minute
	// reportInterval is the time between reports of a tenant in use: two may be
	// lost before a share runs out.
	reportInterval = ShareLifetime / 3
	// urgentInterval is the least time between reports of one tenant.
	urgentInterval = 250 * time.Millisecond
	// reportsPerSecond and reportBurst bound what a daemon sends as reports,
	// whatever the number of its tenants; the most urgent go first.
	reportsPerSecond = 4
	reportBurst      = 32
)

const (
	// reserveFraction of a tenant's rate is spread evenly over all daemons and
	// may be used without a grant.
	reserveFraction = 0.05
	// burstSeconds of its rate a tenant may use at once after a pause.
	burstSeconds = 1.0
	// leastBurst of requests a tenant may always use at once at a daemon after a
	// pause. At a small share requests come as irregularly as at a large one, and
	// a smaller burst would refuse many that are within the rate.
	leastBurst = 5.0
	// headroom is the multiple of its demand that a daemon is granted where the
	// rate allows.
	headroom = 2.0
	// leastFraction of a tenant's rate is what any daemon that sees the tenant
	// is granted, and may use at once, where the rate allows.
	leastFraction = 1.0 / 16
	// demandNoise is the change of demand, in requests a second, that a few
	// requests more or fewer make, and that is no news to the home.
	demandNoise = Rate(0.5)
)
