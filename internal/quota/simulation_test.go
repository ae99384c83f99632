package quota

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const tenant = "north"

// simulation runs members and gateways on a simulated clock. Messages are delayed or lost,
// gateways pause, members are killed and restarted, seats move, and limits change.
type simulation struct {
	now       time.Time
	tolerance Tolerance
	seats     []seat
	gateways  []*gateway
	limit     Limit
	// admittedAt are the times at which requests were admitted. The check uses nothing else.
	admittedAt []time.Time
	// limitHistory are all declared limits with their declaration times.
	limitHistory []declaredLimit
	// fault is the fault injected into members or gateways.
	fault faultKind
}

type declaredLimit struct {
	limit Limit
	since time.Time
}

// seat is a member's seat during one run of its process.
type seat struct {
	granter *Granter
	since   time.Time
}

type gateway struct {
	allowance   *Allowance
	pausedUntil time.Time
	// limit is the limit known to this gateway, which may be outdated.
	limit Limit
	// pendingGrants are answers in transit to this gateway.
	pendingGrants []pendingGrant
}

type pendingGrant struct {
	requestedAt, arrivesAt time.Time
	grant                  Grant
}

// faultKind is a deliberate fault.
type faultKind int

const (
	noFault faultKind = iota
	// grantCountedTwice gives a gateway each grant twice.
	grantCountedTwice
	// startsFull makes a restarted member grant as if it had been running for a long time.
	startsFull
	// grantNeverExpires lets gateways use grants without a time limit.
	grantNeverExpires
	// staleLimit makes members use the first limit that they received.
	staleLimit
	// undividedLimit makes each member grant the whole limit.
	undividedLimit
)

func newSimulation(members, gateways int, limit Limit, tolerance Tolerance, fault faultKind) *simulation {
	start := time.Unix(1000, 0)
	s := &simulation{now: start, tolerance: tolerance, limit: limit, fault: fault}
	s.limitHistory = []declaredLimit{{limit: limit, since: start}}
	for range members {
		s.seats = append(s.seats, s.newSeat())
	}
	for range gateways {
		s.gateways = append(s.gateways, &gateway{allowance: &Allowance{}, limit: limit})
	}
	return s
}

func (s *simulation) newSeat() seat {
	since := s.now
	if s.fault == startsFull {
		since = since.Add(-time.Hour)
	}
	return seat{granter: NewGranter(s.tolerance), since: since}
}

// requestGrant makes a gateway ask a member. The answer may be lost.
func (s *simulation) requestGrant(requester *gateway, member, waiting int, startsProgram, lost bool, delay time.Duration) {
	granting := s.seats[member]
	members := len(s.seats)
	if s.fault == undividedLimit {
		members = 1
	}
	limit := requester.limit
	if s.fault == staleLimit {
		limit = s.limitHistory[0].limit
	}
	grant := granting.granter.Grant(s.now, GrantRequest{
		Tenant: tenant, Limit: limit, Members: members, SeatSince: granting.since,
		Wanted: requester.allowance.RequestSize(s.now, waiting), StartsProgram: startsProgram,
	})
	if lost || grant.Requests == 0 {
		return
	}
	requestedAt := s.now
	if s.fault == grantNeverExpires {
		requestedAt = requestedAt.Add(time.Hour)
	}
	requester.pendingGrants = append(requester.pendingGrants, pendingGrant{requestedAt: requestedAt, arrivesAt: s.now.Add(delay), grant: grant})
	if s.fault == grantCountedTwice {
		requester.pendingGrants = append(requester.pendingGrants, pendingGrant{requestedAt: s.now, arrivesAt: s.now.Add(delay), grant: grant})
	}
}

// step advances the clock and delivers pending answers.
func (s *simulation) step(by time.Duration) {
	s.now = s.now.Add(by)
	for _, current := range s.gateways {
		current.pendingGrants = slices.DeleteFunc(current.pendingGrants, func(pending pendingGrant) bool {
			if s.now.Before(pending.arrivesAt) || s.now.Before(current.pausedUntil) {
				return false
			}
			current.allowance.AddGrant(pending.requestedAt, pending.grant)
			return true
		})
	}
}

// admit admits up to count requests at a gateway and returns how many it admitted.
func (s *simulation) admit(admitting *gateway, count int, startsProgram bool) (admitted int) {
	if s.now.Before(admitting.pausedUntil) {
		return 0
	}
	for range count {
		if _, found := admitting.allowance.Take(s.now, startsProgram); !found {
			break
		}
		s.admittedAt = append(s.admittedAt, s.now)
		admitted++
	}
	return admitted
}

// declare declares a new limit, which reaches some of the gateways.
func (s *simulation) declare(limit Limit, reaches func(i int) bool) {
	limit.Version = s.limit.Version + 1
	s.limit = limit
	s.limitHistory = append(s.limitHistory, declaredLimit{limit: limit, since: s.now})
	for i, known := range s.gateways {
		if reaches(i) {
			known.limit = limit
		}
	}
}

// check is a slow but simple reference check that counts each sliding window. A window in which a
// lower limit was declared, or that begins less than grace after the declaration, may hold what
// the higher limit allowed.
func (s *simulation) check(grace time.Duration) error {
	slices.SortFunc(s.admittedAt, time.Time.Compare)
	for first, begin := range s.admittedAt {
		end := begin.Add(s.tolerance.Window)
		count := 0
		for _, admittedAt := range s.admittedAt[first:] {
			if admittedAt.Before(end) {
				count++
			}
		}
		if allowed := s.maxAllowed(begin, end, grace); float64(count) > allowed {
			return fmt.Errorf("%d requests from %v on, %v at most", count, begin.Sub(s.limitHistory[0].since), allowed)
		}
	}
	return nil
}

// maxAllowed returns the number of requests that a window may hold.
func (s *simulation) maxAllowed(begin, end time.Time, grace time.Duration) (maximum float64) {
	for i, declared := range s.limitHistory {
		replaced := i+1 < len(s.limitHistory) && s.limitHistory[i+1].since.Add(grace).Before(begin)
		if replaced || declared.since.After(end) {
			continue
		}
		allowed := declared.limit.Rate*s.tolerance.Window.Seconds() + declared.limit.Burst
		maximum = max(maximum, allowed*(1+s.tolerance.Overshoot)+s.tolerance.Slack)
	}
	return maximum
}

// runRandom runs randomly drawn actions.
func (s *simulation) runRandom(t *rapid.T, changeLimits bool) {
	actions := rapid.IntRange(0, 99)
	for range rapid.IntRange(50, 400).Draw(t, "steps") {
		current := s.gateways[rapid.IntRange(0, len(s.gateways)-1).Draw(t, "gateway")]
		switch action := actions.Draw(t, "action"); {
		case action < 45:
			member := rapid.IntRange(0, len(s.seats)-1).Draw(t, "member")
			delay := time.Duration(rapid.IntRange(0, 400).Draw(t, "way")) * time.Millisecond
			s.requestGrant(current, member, rapid.IntRange(1, 64).Draw(t, "waiting"), action < 10, action > 40, delay)
		case action < 80:
			s.admit(current, rapid.IntRange(1, 64).Draw(t, "requests"), action < 55)
		case action < 95:
			s.step(time.Duration(rapid.IntRange(1, 700).Draw(t, "milliseconds")) * time.Millisecond)
		case action < 97:
			current.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "pause")) * time.Millisecond)
		case action < 99:
			s.seats[rapid.IntRange(0, len(s.seats)-1).Draw(t, "killed")] = s.newSeat()
		case changeLimits:
			s.declare(drawLimit(t), func(int) bool { return rapid.Bool().Draw(t, "heard") })
		}
	}
}

func drawLimit(t *rapid.T) Limit {
	return Limit{Rate: float64(rapid.IntRange(1, 400).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 400).Draw(t, "burst")), Version: 1}
}
