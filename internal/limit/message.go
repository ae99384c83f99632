package limit

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Holder is one incarnation of a daemon that holds shares. A restarted daemon has a new
// incarnation and holds none of the shares of the previous one.
type Holder struct {
	Node        structs.NodeID
	Incarnation structs.Incarnation
}

// Report tells a tenant's owner the demand for the tenant at one daemon.
type Report struct {
	Tenant structs.TenantID
	// Number increases with each report of this holder for this tenant.
	Number uint32
	// LastGrant is the number of the last grant applied; 0 means none.
	LastGrant uint32
	// Demand is the rate of the tenant's requests that arrive at the daemon.
	Demand Rate
	// HeldRate is the share that the daemon uses until it applies another grant.
	HeldRate Rate
}

// Grant allocates a share of a tenant's rate to a holder.
type Grant struct {
	Tenant structs.TenantID
	// Incarnation is the incarnation of the receiver that the grant is for.
	Incarnation structs.Incarnation
	// ReportNumber is the number of the report that the grant answers. The lifetime of
	// the share starts when that report was sent.
	ReportNumber uint32
	// Number increases with each grant of this owner to this holder.
	Number uint32
	Rate   Rate
}

// Message carries reports and grants from one daemon to another.
type Message struct {
	From    Holder
	Reports []Report
	Grants  []Grant
}

// Outgoing is a message to send. The transport may lose, duplicate or reorder it.
type Outgoing struct {
	To      structs.NodeID
	Message Message
}

const (
	// ShareLifetime is how long a share may be used after the report that it answers
	// was sent.
	ShareLifetime = time.Minute
	// reportInterval is the interval between reports of an active tenant: two reports
	// may be lost before a share expires.
	reportInterval = ShareLifetime / 3
	// minReportInterval is the minimum time between two reports of one tenant.
	minReportInterval = 250 * time.Millisecond
	// reportsPerSecond and reportBurst limit the reports that a daemon sends,
	// independent of the number of its tenants. Reports with the highest priority are
	// sent first.
	reportsPerSecond = 4
	reportBurst      = 32
)

const (
	// reserveFraction of a tenant's rate is split evenly among all daemons and may be
	// used without a grant.
	reserveFraction = 0.05
	// burstSeconds is the burst that a tenant may use after a pause, in seconds of its
	// rate.
	burstSeconds = 1.0
	// minBurst is the minimum burst, in requests, of a tenant at one daemon. Requests
	// arrive as irregularly at a small share as at a large one, so a smaller burst
	// would reject many requests that are within the rate.
	minBurst = 5.0
	// headroomFactor is the multiple of its demand that a daemon is granted if the rate
	// allows.
	headroomFactor = 2.0
	// minShareFraction of a tenant's rate is granted to any daemon that receives
	// requests of the tenant, and may be used at once, if the rate allows.
	minShareFraction = 1.0 / 16
	// demandNoise is a change of demand, in requests per second, that a few requests
	// more or less can cause. Smaller changes are not reported to the owner.
	demandNoise = Rate(0.5)
)
