package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testTolerance is the tolerance given in the users' specification.
var testTolerance = Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// requestAndAdmitAll requests as much as possible from all members through all gateways, and
// admits everything granted.
func (s *simulation) requestAndAdmitAll(startsProgram bool) {
	for _, requester := range s.gateways {
		for member := range s.seats {
			s.requestGrant(requester, member, maxRequested, startsProgram, false, 0)
		}
	}
	s.step(0)
	for _, requester := range s.gateways {
		s.admit(requester, 1<<20, startsProgram)
	}
}

// requestWithoutAdmitting requests everything that members have and keeps it for later.
func (s *simulation) requestWithoutAdmitting() {
	for range 20 {
		for _, requester := range s.gateways {
			for member := range s.seats {
				s.requestGrant(requester, member, maxRequested, false, false, 0)
			}
		}
	}
	s.step(0)
}

func TestAdmittedRequestsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 5).Draw(t, "members"), rapid.IntRange(1, 6).Draw(t, "gateways"), drawLimit(t), testTolerance, noFault)
		s.step(time.Duration(rapid.IntRange(0, 8000).Draw(t, "calm")) * time.Millisecond)
		s.runRandom(t, false)
		require.NoError(t, s.check(0))
	})
}

// TestLoweredLimitTakesEffectWithinWindow delivers new limits to some gateways late. A gateway
// with an old limit asks members that have received the new one from another gateway.
func TestLoweredLimitTakesEffectWithinWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(3, rapid.IntRange(1, 4).Draw(t, "gateways"), drawLimit(t), testTolerance, noFault)
		s.step(8 * time.Second)
		s.runRandom(t, true)
		for _, current := range s.gateways {
			current.limit = s.limit
		}
		s.requestAndAdmitAll(false)
		s.step(GrantLifetime)
		s.admittedAt = nil
		s.limitHistory = []declaredLimit{{limit: s.limit, since: s.now}}
		for range 100 {
			s.requestAndAdmitAll(false)
			s.step(100 * time.Millisecond)
		}
		require.NoError(t, s.check(0))
	})
}

// runWorstCase runs the schedule with the most admissions: everything is granted at once, used at
// the end of its lifetime, and requested again repeatedly.
func runWorstCase(members, gateways int, limit Limit, tolerance Tolerance, fault faultKind) *simulation {
	s := newSimulation(members, gateways, limit, tolerance, fault)
	s.step(time.Minute)
	for range 20 {
		s.requestWithoutAdmitting()
		s.step(GrantLifetime - time.Millisecond)
	}
	for range 600 {
		s.requestAndAdmitAll(false)
		s.step(10 * time.Millisecond)
	}
	return s
}

func TestWorstCaseScheduleStaysWithinLimit(t *testing.T) {
	for _, limit := range []Limit{{Rate: 1, Burst: 1}, {Rate: 5, Burst: 5}, {Rate: 40, Burst: 10}, {Rate: 390, Burst: 390}, {Rate: 3000, Burst: 0}} {
		limit.Version = 1
		for _, members := range []int{1, 3, 5} {
			require.NoError(t, runWorstCase(members, 4, limit, testTolerance, noFault).check(0), "%+v at %d members", limit, members)
		}
	}
}

func TestFaultsAreDetected(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40, Version: 1}
	for fault, name := range map[faultKind]string{
		grantCountedTwice: "a grant counted twice", grantNeverExpires: "a grant that never expires", undividedLimit: "a limit that is not divided",
	} {
		require.Error(t, runWorstCase(5, 4, limit, testTolerance, fault).check(0), name)
	}
}

// runWithRestarts kills each member right after it has granted everything it had.
func runWithRestarts(fault faultKind) *simulation {
	s := newSimulation(5, 2, Limit{Rate: 40, Burst: 40, Version: 1}, testTolerance, fault)
	s.step(time.Minute)
	for range 14 {
		s.requestWithoutAdmitting()
		s.requestAndAdmitAll(false)
		for member := range s.seats {
			s.seats[member] = s.newSeat()
		}
		s.step(300 * time.Millisecond)
	}
	return s
}

func TestRestartedMembersStayWithinLimit(t *testing.T) {
	require.NoError(t, runWithRestarts(noFault).check(0))
	require.Error(t, runWithRestarts(startsFull).check(0), "a member that starts with a full share must be detected")
}

// runWithLoweredLimit lowers a limit and then requests as much as possible.
func runWithLoweredLimit(fault faultKind) *simulation {
	s := newSimulation(3, 2, Limit{Rate: 400, Burst: 400, Version: 1}, testTolerance, fault)
	s.step(time.Minute)
	s.requestAndAdmitAll(false)
	s.declare(Limit{Rate: 10, Burst: 10}, func(int) bool { return true })
	s.step(testTolerance.Window + GrantLifetime)
	for range 100 {
		s.requestAndAdmitAll(false)
		s.step(100 * time.Millisecond)
	}
	return s
}

func TestLoweredLimitTakesEffect(t *testing.T) {
	require.NoError(t, runWithLoweredLimit(noFault).check(testTolerance.Window))
	require.Error(t, runWithLoweredLimit(staleLimit).check(testTolerance.Window), "the use of a stale limit must be detected")
}

// TestLoadBelowLimitIsNotRefused runs a load below the limit without faults: nothing may be
// refused.
func TestLoadBelowLimitIsNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: float64(rapid.IntRange(2, 400).Draw(t, "rate")), Version: 1}
		limit.Burst = limit.Rate
		members, gateways := 5, rapid.IntRange(1, 73).Draw(t, "gateways")
		s := newSimulation(members, gateways, limit, testTolerance, noFault)
		s.step(time.Minute)
		// Evenly spaced requests at two thirds of the rate, each at a random gateway.
		interval := time.Duration(1.5 / limit.Rate * float64(time.Second))
		for range int(min(2000, 10*limit.Rate)) {
			admitting := s.gateways[rapid.IntRange(0, gateways-1).Draw(t, "at")]
			if s.admit(admitting, 1, false) == 0 {
				for member := 0; member < members && s.admit(admitting, 1, false) == 0; member++ {
					s.requestGrant(admitting, member, 1, false, false, 0)
					s.step(0)
				}
			}
			s.step(interval)
		}
		require.Len(t, s.admittedAt, int(min(2000, 10*limit.Rate)))
	})
}

func TestCapacityIsReservedForRunningPrograms(t *testing.T) {
	s := newSimulation(5, 1, Limit{Rate: 40, Burst: 40, Version: 1}, testTolerance, noFault)
	s.step(time.Minute)
	for range 40 {
		s.requestAndAdmitAll(true)
	}
	startedPrograms := len(s.admittedAt)
	for range 40 {
		s.requestAndAdmitAll(false)
	}
	continued := len(s.admittedAt) - startedPrograms
	require.InDelta(t, runningProgramReserve, float64(continued)/float64(startedPrograms+continued), 0.1)
}

func TestUnusedPermitCanBeTakenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	allowance := &Allowance{}
	allowance.AddGrant(now, Grant{Requests: 1, NewProgramsAllowed: true})
	permit, found := allowance.Take(now, true)
	require.True(t, found)
	_, found = allowance.Take(now, false)
	require.False(t, found)
	allowance.ReturnUnused(now, permit)
	permit, found = allowance.Take(now, false)
	require.True(t, found)
	allowance.ReturnUnused(now.Add(2*time.Second), permit)
	_, found = allowance.Take(now.Add(2*time.Second), false)
	require.False(t, found, "an expired permit must not be available again")
}

func TestRequestSizeFollowsRecentDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	allowance := &Allowance{}
	require.Equal(t, 1, allowance.RequestSize(now, 1))
	allowance.AddGrant(now, Grant{Requests: 20})
	for range 20 {
		allowance.Take(now, false)
	}
	require.Equal(t, 11, allowance.RequestSize(now.Add(2*GrantLifetime), 1), "half of the requests admitted during two grant lifetimes")
	require.Equal(t, 2, allowance.RequestSize(now.Add(3*GrantLifetime), 2))
}

func TestDropFullDoesNotChangeGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := drawLimit(t)
		start := time.Unix(1000, 0)
		withoutDrop, withDrop := NewGranter(testTolerance), NewGranter(testTolerance)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "pause")) * time.Millisecond)
			withDrop.DropFull(now)
			request := GrantRequest{Tenant: tenant, Limit: limit, Members: 3, SeatSince: start, Wanted: rapid.IntRange(1, 64).Draw(t, "wanted")}
			require.Equal(t, withoutDrop.Grant(now, request), withDrop.Grant(now, request))
		}
	})
}
