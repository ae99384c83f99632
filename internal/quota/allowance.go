package quota

import (
	"slices"
	"sync"
	"time"
)

// Allowance is what one gateway may let in for one tenant. It is safe for concurrent use.
type Allowance struct {
	mutex  sync.Mutex
	grants []held
	// taken counts the requests let in since asked, when a member was last asked.
	taken int
	asked time.Time
	// refusal is what members last said to programs under way, openingRefusal to such as
	// begin.
	refusal, openingRefusal Refusal
}

// Refusal is the word of members that they have nothing to grant.
type Refusal struct {
	// ReceivedAt is when they said so, Until when one of them has a further request to grant.
	ReceivedAt, RetryAt time.Time
	// Replicas is how many said so.
	Replicas int
}

// held is what is left of a grant.
type held struct {
	requests int
	plenty   bool
	expires  time.Time
}

// Permit is one request that may be let in.
type Permit struct {
	plenty  bool
	expires time.Time
}

// IsValid reports whether the pass may still be used.
func (p Permit) IsValid(now time.Time) bool { return now.Before(p.expires) }

const (
	// mostWanted bounds what a gateway asks for at once.
	mostWanted = 64
	// demandMemory is for how long what was let in tells what to expect.
	demandMemory = 2 * time.Second
)

// Take lets a request in if something granted is left for it.
func (a *Allowance) Take(now time.Time, opening bool) (Permit, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.dropExpired(now)
	for i := range a.grants {
		grant := &a.grants[i]
		if grant.requests == 0 || opening && !grant.plenty {
			continue
		}
		grant.requests--
		a.taken++
		return Permit{plenty: grant.plenty, expires: grant.expires}, true
	}
	return Permit{}, false
}

// ReturnUnused gives a pass back whose request has not run and never will.
func (a *Allowance) ReturnUnused(now time.Time, pass Permit) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.taken--
	if now.Before(pass.expires) {
		a.grants = append(a.grants, held{requests: 1, plenty: pass.plenty, expires: pass.expires})
	}
}

// RequestSize returns how many requests to ask for where so many wait: as many more as have
// lately been let in within the lifetime of a grant.
func (a *Allowance) RequestSize(now time.Time, waiting int) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	since := now.Sub(a.asked)
	expected := 0
	if since > 0 && since < demandMemory {
		expected = int(float64(a.taken) * min(1, GrantLifetime.Seconds()/since.Seconds()))
	}
	a.taken, a.asked = 0, now
	return min(mostWanted, waiting+expected)
}

// AddGrant takes a grant that was asked for at a time.
func (a *Allowance) AddGrant(asked time.Time, grant Grant) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.grants = append(a.grants, held{requests: grant.Requests, plenty: grant.NewProgramsAllowed, expires: asked.Add(GrantLifetime)})
}

// RecordRefusal notes that all members that were reached grant nothing. What is refused to
// programs under way is refused to such as begin too.
func (a *Allowance) RecordRefusal(refusal Refusal, opening bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.openingRefusal = refusal
	if !opening {
		a.refusal = refusal
	}
}

// ActiveRefusal returns what members said, if it holds now.
func (a *Allowance) ActiveRefusal(now time.Time, opening bool) (refusal Refusal, refused bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	refusal = a.refusal
	if opening {
		refusal = a.openingRefusal
	}
	return refusal, now.Before(refusal.RetryAt)
}

// IsIdle reports whether nothing was let in or asked for lately.
func (a *Allowance) IsIdle(now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.dropExpired(now)
	return len(a.grants) == 0 && now.Sub(a.asked) > demandMemory && !now.Before(a.refusal.RetryAt)
}

// dropExpired drops what may not be used any more. The mutex is held.
func (a *Allowance) dropExpired(now time.Time) {
	a.grants = slices.DeleteFunc(a.grants, func(grant held) bool { return grant.requests == 0 || !now.Before(grant.expires) })
}
