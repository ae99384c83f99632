package quota

import (
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/limit"
)

// GrantRequest is a gateway's wish to let requests of a tenant in.
type GrantRequest struct {
	Tenant string
	Limit  Limit
	// Replicas is how many members share the limit.
	Members int
	// SeatSince is when this member began to hold its seat; it grants nothing that it would
	// have gained before.
	SeatSince time.Time
	// RequestSize is how many requests the gateway asks for.
	Wanted int
	// StartsProgram is set where the first of them begins a program.
	StartsProgram bool
}

// Grant is a member's answer.
type Grant struct {
	// Requests is how many the gateway may let in, for Lifetime from when it asked.
	Requests int
	// NewProgramsAllowed is set where programs may be begun with them.
	NewProgramsAllowed bool
	// RetryAfter is when the member has a further request to grant.
	RetryAfter time.Duration
}

// openingReserve is the part of a member's capacity that is kept for programs under way:
// a program that is refused in its middle has used what its turns before cost in vain.
const openingReserve = 0.1

// Granter grants one member's parts of tenants' limits. It is safe for concurrent use.
type Granter struct {
	tolerance Tolerance

	mutex sync.Mutex
	// tenants are the parts in use, by tenant.
	tenants map[string]*part
}

// part is one member's part of a tenant's limit.
type part struct {
	// limit is the one with the highest version that any gateway has named.
	limit   Limit
	members int
	terms   terms
	// since is when this process took the seat that the part belongs to.
	since  time.Time
	bucket limit.Bucket
}

// NewGranter returns a granter that has granted nothing.
func NewGranter(tolerance Tolerance) *Granter {
	return &Granter{tolerance: tolerance, tenants: make(map[string]*part)}
}

// Grant answers a gateway.
func (g *Granter) Grant(now time.Time, ask GrantRequest) Grant {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	held := g.part(now, ask)
	held.bucket.Refill(now, limit.Rate(held.terms.rate), held.terms.capacity)
	reserve := openingReserve * held.terms.capacity
	if held.terms.capacity < 1/openingReserve {
		// A part this small holds less than one request back.
		reserve = 0
	}
	least := 1.0
	if ask.StartsProgram {
		least += reserve
	}
	if held.bucket.Tokens < least {
		return Grant{RetryAfter: timeFor(least-held.bucket.Tokens, held.terms.rate)}
	}
	granted := min(max(ask.Wanted, 1), int(held.bucket.Tokens-least+1), held.mostAtATime())
	held.bucket.Tokens -= float64(granted)
	return Grant{
		Requests: granted, NewProgramsAllowed: held.bucket.Tokens >= reserve,
		RetryAfter: timeFor(max(0, 1-held.bucket.Tokens), held.terms.rate),
	}
}

// mostOfPart is the part of what a member has that one gateway gets at a time: what one
// does not use in its lifetime is lost to the others.
const mostOfPart = 0.25

// mostAtATime returns how many requests one gateway gets at most.
func (p *part) mostAtATime() int { return max(1, int(mostOfPart*p.bucket.Tokens)) }

// part returns this member's part of a tenant's limit under the newest terms.
func (g *Granter) part(now time.Time, ask GrantRequest) *part {
	held := g.tenants[ask.Tenant]
	if held == nil || held.since.Before(ask.SeatSince) {
		held = &part{since: ask.SeatSince, bucket: limit.Bucket{Updated: ask.SeatSince}}
		g.tenants[ask.Tenant] = held
	}
	if ask.Limit.Version > held.limit.Version || held.members != ask.Members {
		held.bucket.Refill(now, limit.Rate(held.terms.rate), held.terms.capacity)
		if ask.Limit.Version >= held.limit.Version {
			held.limit = ask.Limit
		}
		held.members = ask.Members
		first := held.terms == terms{}
		held.terms = termsOf(held.limit, g.tolerance, held.members)
		if first {
			held.bucket.Updated = held.since
		}
	}
	return held
}

// DropFull drops the parts that are full: one that is asked for again is as full.
func (g *Granter) DropFull(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for tenant, held := range g.tenants {
		idle := held.terms.rate * now.Sub(held.bucket.Updated).Seconds()
		sinceSeat := held.terms.rate * now.Sub(held.since).Seconds()
		if held.bucket.Tokens+idle >= held.terms.capacity && sinceSeat >= held.terms.capacity {
			delete(g.tenants, tenant)
		}
	}
}

// timeFor returns the time in which a rate gains a number of requests.
func timeFor(requests, rate float64) time.Duration {
	return time.Duration(requests / rate * float64(time.Second))
}
