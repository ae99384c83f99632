// Package mechanism names the parts of the roles that can be switched off by a setting,
// so that an experiment can measure what each is worth. Nothing is switched off in
// operation.
package mechanism

import "slices"

// Name is a part that can be switched off.
type Name string

// The parts.
const (
	// Affinity sends the turns of a program to the worker that its hash ranks first.
	Affinity Name = "affinity"
	// PaceBalancing passes over workers that answer much more slowly than the others.
	PaceBalancing Name = "paces"
	// Ejection passes over workers whose attempts fail.
	Ejection Name = "ejection"
	// RetryBudget bounds the repeats of safe requests by the successes.
	RetryBudget Name = "retryBudget"
	// UnlistedWorkers uses workers that are no longer listed where no other is left.
	UnlistedWorkers Name = "lapsedWorkers"
	// ResumeAtSameWorker takes a broken stream up at its worker first.
	ResumeAtSameWorker Name = "resumeAtSameWorker"
	// TurnCache remembers kept turns in the gateway.
	TurnCache Name = "keptChains"
	// ReplicaUpdates learns workers and groups from replicas, not from the store.
	ReplicaUpdates Name = "newsThroughReplicas"
	// Forwarding calls replicas through other gateways.
	Forwarding Name = "forwarding"
	// OneRoundReservations grants a reservation after one round where that is proof enough.
	OneRoundReservations Name = "oneRound"
	// DeferredSettlements writes settlements with later reservations.
	DeferredSettlements Name = "deferredSettlements"
	// RequestQueueing lets requests wait for the first list of workers and for room.
	RequestQueueing Name = "heldRequests"
	// SilentStreamTimeout gives streams up whose worker stays silent for long.
	SilentStreamTimeout Name = "silentStreams"
	// SpentTokenCache remembers what programs have used.
	SpentTokenCache Name = "spentMemory"
	// LocalWorkers prefers workers of the own zone where there are many.
	LocalWorkers Name = "nearWorkers"
	// SharedWorkerReports passes over workers that the gateways of a zone together found slow
	// or failing.
	SharedWorkerReports Name = "sharedSight"
	// LimitedWatchers lets a few replicas of each zone follow the store for all.
	LimitedWatchers Name = "fewWatchers"
	// GrantPrefetch asks for as many requests as are expected; without it for those alone
	// that wait.
	GrantPrefetch Name = "grantsAhead"
	// UnreachableZones passes over workers of zones that are not reached, and takes a gateway out
	// whose own zone is cut off.
	UnreachableZones Name = "lostZones"
	// RegionPreference prefers workers, replicas and forwarders of the own region.
	RegionPreference Name = "distance"
	// BudgetLoans lends a part of a program's budget to a replica of the zone that the
	// program is under way in.
	BudgetLoans Name = "lentBudgets"
	// ColdWorkerGrants asks for a pass before a request goes to a cold worker.
	ColdWorkerGrants Name = "coldGrants"
	// ReadAhead takes answers off their workers while clients pause.
	ReadAhead Name = "readAhead"
	// WorkerSubsets chooses from a subset of each zone's workers first.
	WorkerSubsets Name = "subsets"
)

// All are the parts, in the order of the page.
var All = []Name{
	Affinity, PaceBalancing, Ejection, RetryBudget, UnlistedWorkers, ResumeAtSameWorker, TurnCache, ReplicaUpdates, Forwarding,
	OneRoundReservations, DeferredSettlements, RequestQueueing, SilentStreamTimeout, SpentTokenCache, LocalWorkers, SharedWorkerReports, LimitedWatchers,
	GrantPrefetch, UnreachableZones, RegionPreference, BudgetLoans, ColdWorkerGrants, ReadAhead, WorkerSubsets,
}

// Optional are the parts that are left out unless they are asked for.
var Optional = []Name{BudgetLoans}

// Disabled are the parts that are switched off.
type Disabled []Name

// Has reports whether a part is switched off.
func (d Disabled) Has(name Name) bool { return slices.Contains(d, name) }

// Enabled are the optional parts that are switched on.
type Enabled []Name

// Has reports whether an optional part is switched on.
func (e Enabled) Has(name Name) bool { return slices.Contains(e, name) }
