package quota

import (
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/limit"
)

// GrantRequest is a gateway's request for a grant for a tenant.
type GrantRequest struct {
	Tenant string
	Limit  Limit
	// Members is the number of members that share the limit.
	Members int
	// SeatSince is when this member took its seat. It does not grant what the seat would have
	// gained before.
	SeatSince time.Time
	// Wanted is the number of requests that the gateway asks for.
	Wanted int
	// StartsProgram is set if the first of them starts a program.
	StartsProgram bool
}

// Grant is a member's answer.
type Grant struct {
	// Requests is the number of requests that the gateway may admit, within GrantLifetime after
	// it asked.
	Requests int
	// NewProgramsAllowed is set if these requests may start programs.
	NewProgramsAllowed bool
	// RetryAfter is the time after which the member can grant another request.
	RetryAfter time.Duration
}

// runningProgramReserve is the fraction of a member's capacity reserved for running programs. If
// a running program is refused, the cost of its earlier turns is wasted.
const runningProgramReserve = 0.1

// Granter grants one member's shares of tenants' limits. It is safe for concurrent use.
type Granter struct {
	tolerance Tolerance

	mutex sync.Mutex
	// shares are the shares in use, by tenant.
	shares map[string]*share
}

// share is one member's share of a tenant's limit.
type share struct {
	// limit is the limit with the highest version received from any gateway.
	limit   Limit
	members int
	params  bucketParams
	// seatSince is when this process took the seat that the share belongs to.
	seatSince time.Time
	bucket    limit.Bucket
}

// NewGranter returns a granter that has granted nothing yet.
func NewGranter(tolerance Tolerance) *Granter {
	return &Granter{tolerance: tolerance, shares: make(map[string]*share)}
}

// Grant answers a gateway's request.
func (g *Granter) Grant(now time.Time, request GrantRequest) Grant {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	memberShare := g.currentShare(now, request)
	memberShare.bucket.Refill(now, limit.Rate(memberShare.params.rate), memberShare.params.capacity)
	reserve := runningProgramReserve * memberShare.params.capacity
	if memberShare.params.capacity < 1/runningProgramReserve {
		// In such a small share the reserve would be less than one request.
		reserve = 0
	}
	required := 1.0
	if request.StartsProgram {
		required += reserve
	}
	if memberShare.bucket.Tokens < required {
		return Grant{RetryAfter: refillTime(required-memberShare.bucket.Tokens, memberShare.params.rate)}
	}
	granted := min(max(request.Wanted, 1), int(memberShare.bucket.Tokens-required+1), memberShare.maxGrant())
	memberShare.bucket.Tokens -= float64(granted)
	return Grant{
		Requests: granted, NewProgramsAllowed: memberShare.bucket.Tokens >= reserve,
		RetryAfter: refillTime(max(0, 1-memberShare.bucket.Tokens), memberShare.params.rate),
	}
}

// maxGrantFraction is the fraction of a share's tokens that one gateway gets at a time. Requests
// that a gateway does not use within GrantLifetime are lost to the others.
const maxGrantFraction = 0.25

// maxGrant returns the maximum number of requests granted to one gateway at a time.
func (s *share) maxGrant() int { return max(1, int(maxGrantFraction*s.bucket.Tokens)) }

// currentShare returns this member's share of a tenant's limit, updated to the newest limit and
// number of members.
func (g *Granter) currentShare(now time.Time, request GrantRequest) *share {
	memberShare := g.shares[request.Tenant]
	if memberShare == nil || memberShare.seatSince.Before(request.SeatSince) {
		memberShare = &share{seatSince: request.SeatSince, bucket: limit.Bucket{Updated: request.SeatSince}}
		g.shares[request.Tenant] = memberShare
	}
	if request.Limit.Version > memberShare.limit.Version || memberShare.members != request.Members {
		memberShare.bucket.Refill(now, limit.Rate(memberShare.params.rate), memberShare.params.capacity)
		if request.Limit.Version >= memberShare.limit.Version {
			memberShare.limit = request.Limit
		}
		memberShare.members = request.Members
		isNew := memberShare.params == bucketParams{}
		memberShare.params = memberBucketParams(memberShare.limit, g.tolerance, memberShare.members)
		if isNew {
			memberShare.bucket.Updated = memberShare.seatSince
		}
	}
	return memberShare
}

// DropFull drops full shares, because a share that is recreated is equally full.
func (g *Granter) DropFull(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for tenant, memberShare := range g.shares {
		refilled := memberShare.params.rate * now.Sub(memberShare.bucket.Updated).Seconds()
		gainedSinceSeat := memberShare.params.rate * now.Sub(memberShare.seatSince).Seconds()
		if memberShare.bucket.Tokens+refilled >= memberShare.params.capacity && gainedSinceSeat >= memberShare.params.capacity {
			delete(g.shares, tenant)
		}
	}
}

// refillTime returns the time in which a number of requests is gained at a rate.
func refillTime(requests, rate float64) time.Duration {
	return time.Duration(requests / rate * float64(time.Second))
}
