package quota

import (
	"slices"
	"sync"
	"time"
)

// Allowance tracks the requests that one gateway may admit for one tenant. It is safe for
// concurrent use.
type Allowance struct {
	mutex  sync.Mutex
	grants []remainingGrant
	// admittedSinceRequest is the number of requests admitted since lastRequestedAt, when a
	// member was last asked.
	admittedSinceRequest int
	lastRequestedAt      time.Time
	// refusal is the latest refusal for running programs, newProgramRefusal that for requests
	// which start a program.
	refusal, newProgramRefusal Refusal
}

// Refusal is the members' answer that they have nothing to grant.
type Refusal struct {
	// ReceivedAt is when the members refused. RetryAt is when one of them can grant a request
	// again.
	ReceivedAt, RetryAt time.Time
	// Replicas is the number of members that refused.
	Replicas int
}

// remainingGrant is the unused part of a grant.
type remainingGrant struct {
	requests           int
	newProgramsAllowed bool
	expiresAt          time.Time
}

// Permit permits the admission of one request.
type Permit struct {
	newProgramsAllowed bool
	expiresAt          time.Time
}

// IsValid reports whether the permit may still be used.
func (p Permit) IsValid(now time.Time) bool { return now.Before(p.expiresAt) }

const (
	// maxRequested is the maximum number of requests that a gateway asks for at once.
	maxRequested = 64
	// demandWindow is how long past admissions are used to estimate demand.
	demandWindow = 2 * time.Second
)

// Take takes a permit for a request, if a grant has one left. A request that starts a program only
// takes permits that allow this.
func (a *Allowance) Take(now time.Time, startsProgram bool) (Permit, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.dropExpired(now)
	for i := range a.grants {
		grant := &a.grants[i]
		if grant.requests == 0 || startsProgram && !grant.newProgramsAllowed {
			continue
		}
		grant.requests--
		a.admittedSinceRequest++
		return Permit{newProgramsAllowed: grant.newProgramsAllowed, expiresAt: grant.expiresAt}, true
	}
	return Permit{}, false
}

// ReturnUnused returns the permit of a request that has not run and never will.
func (a *Allowance) ReturnUnused(now time.Time, permit Permit) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.admittedSinceRequest--
	if now.Before(permit.expiresAt) {
		a.grants = append(a.grants, remainingGrant{requests: 1, newProgramsAllowed: permit.newProgramsAllowed, expiresAt: permit.expiresAt})
	}
}

// RequestSize returns how many requests to ask for: the waiting ones, plus the number recently
// admitted per grant lifetime.
func (a *Allowance) RequestSize(now time.Time, waiting int) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	elapsed := now.Sub(a.lastRequestedAt)
	expected := 0
	if elapsed > 0 && elapsed < demandWindow {
		expected = int(float64(a.admittedSinceRequest) * min(1, GrantLifetime.Seconds()/elapsed.Seconds()))
	}
	a.admittedSinceRequest, a.lastRequestedAt = 0, now
	return min(maxRequested, waiting+expected)
}

// AddGrant adds a grant. requestedAt is when it was requested.
func (a *Allowance) AddGrant(requestedAt time.Time, grant Grant) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.grants = append(a.grants, remainingGrant{requests: grant.Requests, newProgramsAllowed: grant.NewProgramsAllowed, expiresAt: requestedAt.Add(GrantLifetime)})
}

// RecordRefusal records that all reachable members have nothing to grant. A refusal for running
// programs also applies to requests that start a program.
func (a *Allowance) RecordRefusal(refusal Refusal, startsProgram bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.newProgramRefusal = refusal
	if !startsProgram {
		a.refusal = refusal
	}
}

// ActiveRefusal returns the latest refusal and whether it still applies.
func (a *Allowance) ActiveRefusal(now time.Time, startsProgram bool) (refusal Refusal, active bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	refusal = a.refusal
	if startsProgram {
		refusal = a.newProgramRefusal
	}
	return refusal, now.Before(refusal.RetryAt)
}

// IsIdle reports whether there is no unused grant, no recent request to members and no active
// refusal.
func (a *Allowance) IsIdle(now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.dropExpired(now)
	return len(a.grants) == 0 && now.Sub(a.lastRequestedAt) > demandWindow && !now.Before(a.refusal.RetryAt)
}

// dropExpired drops used and expired grants. The caller must hold the mutex.
func (a *Allowance) dropExpired(now time.Time) {
	a.grants = slices.DeleteFunc(a.grants, func(grant remainingGrant) bool { return grant.requests == 0 || !now.Before(grant.expiresAt) })
}
