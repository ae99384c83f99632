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
	// Paces passes over workers that answer much more slowly than the others.
	Paces Name = "paces"
	// Ejection passes over workers whose attempts fail.
	Ejection Name = "ejection"
	// RetryBudget bounds the repeats of safe requests by the successes.
	RetryBudget Name = "retryBudget"
	// LapsedWorkers uses workers that are no longer listed where no other is left.
	LapsedWorkers Name = "lapsedWorkers"
	// ResumeAtSameWorker takes a broken stream up at its worker first.
	ResumeAtSameWorker Name = "resumeAtSameWorker"
	// KeptChains remembers kept turns in the gateway.
	KeptChains Name = "keptChains"
	// NewsThroughReplicas learns workers and groups from replicas, not from the store.
	NewsThroughReplicas Name = "newsThroughReplicas"
	// Forwarding calls replicas through other gateways.
	Forwarding Name = "forwarding"
	// OneRound grants a reservation after one round where that is proof enough.
	OneRound Name = "oneRound"
	// DeferredSettlements writes settlements with later reservations.
	DeferredSettlements Name = "deferredSettlements"
	// HeldRequests lets requests wait for the first list of workers and for room.
	HeldRequests Name = "heldRequests"
	// SilentStreams gives streams up whose worker stays silent for long.
	SilentStreams Name = "silentStreams"
	// SpentMemory remembers what programs have used.
	SpentMemory Name = "spentMemory"
	// NearWorkers prefers workers of the own zone where there are many.
	NearWorkers Name = "nearWorkers"
	// SharedSight passes over workers that the gateways of a zone together found slow
	// or failing.
	SharedSight Name = "sharedSight"
	// FewWatchers lets a few replicas of each zone follow the store for all.
	FewWatchers Name = "fewWatchers"
	// GrantsAhead asks for as many requests as are expected; without it for those alone
	// that wait.
	GrantsAhead Name = "grantsAhead"
	// LostZones passes over workers of zones that are not reached, and takes a gateway out
	// whose own zone is cut off.
	LostZones Name = "lostZones"
	// Distance prefers workers, replicas and forwarders of the own region.
	Distance Name = "distance"
	// LentBudgets lends a part of a program's budget to a replica of the zone that the
	// program is under way in.
	LentBudgets Name = "lentBudgets"
	// ColdGrants asks for a pass before a request goes to a cold worker.
	ColdGrants Name = "coldGrants"
	// ReadAhead takes answers off their workers while clients pause.
	ReadAhead Name = "readAhead"
	// Subsets chooses from a subset of each zone's workers first.
	Subsets Name = "subsets"
)

// All are the parts, in the order of the page.
var All = []Name{
	Affinity, Paces, Ejection, RetryBudget, LapsedWorkers, ResumeAtSameWorker, KeptChains, NewsThroughReplicas, Forwarding,
	OneRound, DeferredSettlements, HeldRequests, SilentStreams, SpentMemory, NearWorkers, SharedSight, FewWatchers,
	GrantsAhead, LostZones, Distance, LentBudgets, ColdGrants, ReadAhead, Subsets,
}

// Optional are the parts that are left out unless they are asked for.
var Optional = []Name{LentBudgets}

// Disabled are the parts that are switched off.
type Disabled []Name

// Has reports whether a part is switched off.
func (d Disabled) Has(name Name) bool { return slices.Contains(d, name) }

// Enabled are the optional parts that are switched on.
type Enabled []Name

// Has reports whether an optional part is switched on.
func (e Enabled) Has(name Name) bool { return slices.Contains(e, name) }
