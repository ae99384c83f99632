package quota

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const tenant = "north"

// fleet is members and gateways on a simulated clock. Messages arrive late or never,
// gateways pause, members are killed and start again, seats move, limits change.
type fleet struct {
	now       time.Time
	tolerance Tolerance
	seats     []seat
	gateways  []*gateway
	limit     Limit
	// letIn are the times at which requests were let in: the oracle's whole knowledge.
	letIn []time.Time
	// limits are the limits so far, with the time from which on each was declared.
	limits []declaredLimit
	// broken is what the members or gateways do wrong on purpose.
	broken breakage
}

type declaredLimit struct {
	limit Limit
	since time.Time
}

// seat is a member's life.
type seat struct {
	granter *Granter
	since   time.Time
}

type gateway struct {
	allowance   *Allowance
	pausedUntil time.Time
	// limit is the one that this gateway knows, which may be an older one.
	limit Limit
	// inFlight are answers on their way to it.
	inFlight []answer
}

type answer struct {
	asked, arrives time.Time
	grant          Grant
}

// breakage is a deliberate fault.
type breakage int

const (
	sound breakage = iota
	// grantCountedTwice gives a gateway what it was granted twice.
	grantCountedTwice
	// bornFull lets a member that starts grant as if it had always been there.
	bornFull
	// grantNeverExpires lets gateways use what they were granted for ever.
	grantNeverExpires
	// staleLimit lets members keep the first limit that they heard of.
	staleLimit
	// partsNotShared lets each member grant the whole limit.
	partsNotShared
)

func newFleet(members, gateways int, limit Limit, tolerance Tolerance, broken breakage) *fleet {
	start := time.Unix(1000, 0)
	f := &fleet{now: start, tolerance: tolerance, limit: limit, broken: broken}
	f.limits = []declaredLimit{{limit: limit, since: start}}
	for range members {
		f.seats = append(f.seats, f.newSeat())
	}
	for range gateways {
		f.gateways = append(f.gateways, &gateway{allowance: &Allowance{}, limit: limit})
	}
	return f
}

func (f *fleet) newSeat() seat {
	since := f.now
	if f.broken == bornFull {
		since = since.Add(-time.Hour)
	}
	return seat{granter: NewGranter(f.tolerance), since: since}
}

// ask makes a gateway ask a member; the answer may be lost.
func (f *fleet) ask(from *gateway, member, waiting int, opening, lost bool, way time.Duration) {
	to := f.seats[member]
	members := len(f.seats)
	if f.broken == partsNotShared {
		members = 1
	}
	limit := from.limit
	if f.broken == staleLimit {
		limit = f.limits[0].limit
	}
	grant := to.granter.Grant(f.now, GrantRequest{
		Tenant: tenant, Limit: limit, Members: members, SeatSince: to.since,
		Wanted: from.allowance.RequestSize(f.now, waiting), StartsProgram: opening,
	})
	if lost || grant.Requests == 0 {
		return
	}
	asked := f.now
	if f.broken == grantNeverExpires {
		asked = asked.Add(time.Hour)
	}
	from.inFlight = append(from.inFlight, answer{asked: asked, arrives: f.now.Add(way), grant: grant})
	if f.broken == grantCountedTwice {
		from.inFlight = append(from.inFlight, answer{asked: f.now, arrives: f.now.Add(way), grant: grant})
	}
}

// step lets time pass and takes in what arrives.
func (f *fleet) step(by time.Duration) {
	f.now = f.now.Add(by)
	for _, each := range f.gateways {
		each.inFlight = slices.DeleteFunc(each.inFlight, func(arriving answer) bool {
			if f.now.Before(arriving.arrives) || f.now.Before(each.pausedUntil) {
				return false
			}
			each.allowance.AddGrant(arriving.asked, arriving.grant)
			return true
		})
	}
}

// let lets up to count requests in at a gateway and returns how many.
func (f *fleet) let(at *gateway, count int, opening bool) (taken int) {
	if f.now.Before(at.pausedUntil) {
		return 0
	}
	for range count {
		if _, found := at.allowance.Take(f.now, opening); !found {
			break
		}
		f.letIn = append(f.letIn, f.now)
		taken++
	}
	return taken
}

// declare puts a limit in force at the gateways that hear of it.
func (f *fleet) declare(limit Limit, heard func(i int) bool) {
	limit.Version = f.limit.Version + 1
	f.limit = limit
	f.limits = append(f.limits, declaredLimit{limit: limit, since: f.now})
	for i, each := range f.gateways {
		if heard(i) {
			each.limit = limit
		}
	}
}

// check is the slow and plain oracle: it counts each sliding window. A window that a lower
// limit was declared in, or that begins less than grace after it, may hold what the higher
// one allowed.
func (f *fleet) check(grace time.Duration) error {
	slices.SortFunc(f.letIn, time.Time.Compare)
	for first, begin := range f.letIn {
		end := begin.Add(f.tolerance.Window)
		count := 0
		for _, at := range f.letIn[first:] {
			if at.Before(end) {
				count++
			}
		}
		if most := f.most(begin, end, grace); float64(count) > most {
			return fmt.Errorf("%d requests from %v on, %v at most", count, begin.Sub(f.limits[0].since), most)
		}
	}
	return nil
}

// most returns what a window may hold.
func (f *fleet) most(begin, end time.Time, grace time.Duration) (most float64) {
	for i, each := range f.limits {
		replaced := i+1 < len(f.limits) && f.limits[i+1].since.Add(grace).Before(begin)
		if replaced || each.since.After(end) {
			continue
		}
		allowed := each.limit.Rate*f.tolerance.Window.Seconds() + each.limit.Burst
		most = max(most, allowed*(1+f.tolerance.Overshoot)+f.tolerance.Slack)
	}
	return most
}

// play drives the fleet by drawn actions.
func (f *fleet) play(t *rapid.T, changeLimits bool) {
	pick := rapid.IntRange(0, 99)
	for range rapid.IntRange(50, 400).Draw(t, "steps") {
		each := f.gateways[rapid.IntRange(0, len(f.gateways)-1).Draw(t, "gateway")]
		switch chance := pick.Draw(t, "action"); {
		case chance < 45:
			member := rapid.IntRange(0, len(f.seats)-1).Draw(t, "member")
			way := time.Duration(rapid.IntRange(0, 400).Draw(t, "way")) * time.Millisecond
			f.ask(each, member, rapid.IntRange(1, 64).Draw(t, "waiting"), chance < 10, chance > 40, way)
		case chance < 80:
			f.let(each, rapid.IntRange(1, 64).Draw(t, "requests"), chance < 55)
		case chance < 95:
			f.step(time.Duration(rapid.IntRange(1, 700).Draw(t, "milliseconds")) * time.Millisecond)
		case chance < 97:
			each.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "pause")) * time.Millisecond)
		case chance < 99:
			f.seats[rapid.IntRange(0, len(f.seats)-1).Draw(t, "killed")] = f.newSeat()
		case changeLimits:
			f.declare(drawLimit(t), func(int) bool { return rapid.Bool().Draw(t, "heard") })
		}
	}
}

func drawLimit(t *rapid.T) Limit {
	return Limit{Rate: float64(rapid.IntRange(1, 400).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 400).Draw(t, "burst")), Version: 1}
}
