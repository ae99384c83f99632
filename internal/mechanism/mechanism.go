// Package mechanism names the mechanisms that a setting can disable, so that experiments can
// measure the effect of each. In production all are enabled, except the optional ones.
package mechanism

import "slices"

// Name identifies a mechanism.
type Name string

// The mechanisms.
const (
	// Affinity sends the turns of a program to the worker that its hash ranks first.
	Affinity Name = "affinity"
	// PaceBalancing avoids workers that respond much more slowly than the others.
	PaceBalancing Name = "paces"
	// Ejection avoids workers whose attempts fail.
	Ejection Name = "ejection"
	// RetryBudget limits retries of safe requests to a share of the successful requests.
	RetryBudget Name = "retryBudget"
	// UnlistedWorkers uses workers that are no longer listed if no other worker is left.
	UnlistedWorkers Name = "lapsedWorkers"
	// ResumeAtSameWorker resumes a broken stream at its worker before trying another one.
	ResumeAtSameWorker Name = "resumeAtSameWorker"
	// TurnCache caches stored turns in the gateway.
	TurnCache Name = "keptChains"
	// ReplicaUpdates receives workers and groups from replicas instead of the store.
	ReplicaUpdates Name = "newsThroughReplicas"
	// Forwarding reaches replicas through other gateways.
	Forwarding Name = "forwarding"
	// OneRoundReservations grants a reservation after one quorum round if that round is
	// sufficient proof.
	OneRoundReservations Name = "oneRound"
	// DeferredSettlements writes settlements together with later reservations.
	DeferredSettlements Name = "deferredSettlements"
	// RequestQueueing queues requests until the first list of workers arrives, and while all
	// workers are full.
	RequestQueueing Name = "heldRequests"
	// SilentStreamTimeout abandons streams whose worker sends nothing for a long time.
	SilentStreamTimeout Name = "silentStreams"
	// SpentTokenCache caches how much of their budgets programs have spent.
	SpentTokenCache Name = "spentMemory"
	// LocalWorkers prefers workers of the gateway's own zone if it has many.
	LocalWorkers Name = "nearWorkers"
	// SharedWorkerReports avoids workers that the gateways of a zone together report as slow or
	// failing.
	SharedWorkerReports Name = "sharedSight"
	// LimitedWatchers lets a few replicas of each zone watch the store on behalf of all.
	LimitedWatchers Name = "fewWatchers"
	// GrantPrefetch requests quota grants for as many requests as are expected. Without it,
	// grants are requested for waiting requests only.
	GrantPrefetch Name = "grantsAhead"
	// UnreachableZones avoids workers of unreachable zones, and takes a gateway out of service
	// when its own zone is partitioned from the others.
	UnreachableZones Name = "lostZones"
	// RegionPreference prefers workers, replicas and forwarding gateways of the own region.
	RegionPreference Name = "distance"
	// BudgetLoans lends a part of a program's budget to a replica in the zone that currently
	// serves the program.
	BudgetLoans Name = "lentBudgets"
	// ColdWorkerGrants requests a grant before a request is sent to a cold worker.
	ColdWorkerGrants Name = "coldGrants"
	// ReadAhead reads answers from workers ahead of clients that have paused reading.
	ReadAhead Name = "readAhead"
	// WorkerSubsets chooses from a subset of each zone's workers first.
	WorkerSubsets Name = "subsets"
	// Quarantine sends no request to a further worker under which several workers have ended.
	Quarantine Name = "quarantine"
)

// All lists all mechanisms, in the order of their documentation.
var All = []Name{
	Affinity, PaceBalancing, Ejection, RetryBudget, UnlistedWorkers, ResumeAtSameWorker, TurnCache, ReplicaUpdates, Forwarding,
	OneRoundReservations, DeferredSettlements, RequestQueueing, SilentStreamTimeout, SpentTokenCache, LocalWorkers, SharedWorkerReports, LimitedWatchers,
	GrantPrefetch, UnreachableZones, RegionPreference, BudgetLoans, ColdWorkerGrants, ReadAhead, WorkerSubsets, Quarantine,
}

// Optional lists the mechanisms that are disabled unless a setting enables them.
var Optional = []Name{BudgetLoans}

// Disabled lists the mechanisms that a setting disables.
type Disabled []Name

// Has reports whether a mechanism is disabled.
func (d Disabled) Has(name Name) bool { return slices.Contains(d, name) }

// Enabled lists the optional mechanisms that a setting enables.
type Enabled []Name

// Has reports whether an optional mechanism is enabled.
func (e Enabled) Has(name Name) bool { return slices.Contains(e, name) }
