package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// usual is the tolerance of the users' sheet.
var usual = Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// greed asks all members for as much as they have through all gateways, and lets in all
// that it gets.
func (f *fleet) greed(opening bool) {
	for _, each := range f.gateways {
		for member := range f.seats {
			f.ask(each, member, mostWanted, opening, false, 0)
		}
	}
	f.step(0)
	for _, each := range f.gateways {
		f.let(each, 1<<20, opening)
	}
}

// grab gets all that members have and keeps it for later.
func (f *fleet) grab() {
	for range 20 {
		for _, each := range f.gateways {
			for member := range f.seats {
				f.ask(each, member, mostWanted, false, false, 0)
			}
		}
	}
	f.step(0)
}

func TestAdmittedRequestsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 5).Draw(t, "members"), rapid.IntRange(1, 6).Draw(t, "gateways"), drawLimit(t), usual, sound)
		f.step(time.Duration(rapid.IntRange(0, 8000).Draw(t, "calm")) * time.Millisecond)
		f.play(t, false)
		require.NoError(t, f.check(0))
	})
}

// TestLoweredLimitTakesEffectWithinWindow lets some gateways hear of new limits late. One that
// has not heard asks members that another one has told.
func TestLoweredLimitTakesEffectWithinWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3, rapid.IntRange(1, 4).Draw(t, "gateways"), drawLimit(t), usual, sound)
		f.step(8 * time.Second)
		f.play(t, true)
		for _, each := range f.gateways {
			each.limit = f.limit
		}
		f.greed(false)
		f.step(GrantLifetime)
		f.letIn = nil
		f.limits = []declaredLimit{{limit: f.limit, since: f.now}}
		for range 100 {
			f.greed(false)
			f.step(100 * time.Millisecond)
		}
		require.NoError(t, f.check(0))
	})
}

// worst plays the schedule that takes the most: everything is granted at once, used at the
// end of its lifetime, and asked for again and again.
func worst(members, gateways int, limit Limit, tolerance Tolerance, broken breakage) *fleet {
	f := newFleet(members, gateways, limit, tolerance, broken)
	f.step(time.Minute)
	for range 20 {
		f.grab()
		f.step(GrantLifetime - time.Millisecond)
	}
	for range 600 {
		f.greed(false)
		f.step(10 * time.Millisecond)
	}
	return f
}

func TestWorstCaseScheduleStaysWithinLimit(t *testing.T) {
	for _, limit := range []Limit{{Rate: 1, Burst: 1}, {Rate: 5, Burst: 5}, {Rate: 40, Burst: 10}, {Rate: 390, Burst: 390}, {Rate: 3000, Burst: 0}} {
		limit.Version = 1
		for _, members := range []int{1, 3, 5} {
			require.NoError(t, worst(members, 4, limit, usual, sound).check(0), "%+v at %d members", limit, members)
		}
	}
}

func TestFaultsAreDetected(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 40, Version: 1}
	for broken, name := range map[breakage]string{
		grantCountedTwice: "a grant counted twice", grantNeverExpires: "a grant that never expires", partsNotShared: "parts that are not shared",
	} {
		require.Error(t, worst(5, 4, limit, usual, broken).check(0), name)
	}
}

// killedInTurn kills each member right after it has granted all that it had.
func killedInTurn(broken breakage) *fleet {
	f := newFleet(5, 2, Limit{Rate: 40, Burst: 40, Version: 1}, usual, broken)
	f.step(time.Minute)
	for range 14 {
		f.grab()
		f.greed(false)
		for member := range f.seats {
			f.seats[member] = f.newSeat()
		}
		f.step(300 * time.Millisecond)
	}
	return f
}

func TestRestartedMembersStayWithinLimit(t *testing.T) {
	require.NoError(t, killedInTurn(sound).check(0))
	require.Error(t, killedInTurn(bornFull).check(0), "a member that is born full is seen")
}

// lowered lowers a limit and asks for everything after it.
func lowered(broken breakage) *fleet {
	f := newFleet(3, 2, Limit{Rate: 400, Burst: 400, Version: 1}, usual, broken)
	f.step(time.Minute)
	f.greed(false)
	f.declare(Limit{Rate: 10, Burst: 10}, func(int) bool { return true })
	f.step(usual.Window + GrantLifetime)
	for range 100 {
		f.greed(false)
		f.step(100 * time.Millisecond)
	}
	return f
}

func TestLoweredLimitTakesEffect(t *testing.T) {
	require.NoError(t, lowered(sound).check(usual.Window))
	require.Error(t, lowered(staleLimit).check(usual.Window), "a limit that is read stale is seen")
}

// TestLoadBelowLimitIsNotRefused plays a calm fleet below its limit: nothing is refused.
func TestLoadBelowLimitIsNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: float64(rapid.IntRange(2, 400).Draw(t, "rate")), Version: 1}
		limit.Burst = limit.Rate
		members, gateways := 5, rapid.IntRange(1, 73).Draw(t, "gateways")
		f := newFleet(members, gateways, limit, usual, sound)
		f.step(time.Minute)
		// Two thirds of the rate, in requests that come evenly at drawn gateways.
		gap := time.Duration(1.5 / limit.Rate * float64(time.Second))
		for range int(min(2000, 10*limit.Rate)) {
			each := f.gateways[rapid.IntRange(0, gateways-1).Draw(t, "at")]
			if f.let(each, 1, false) == 0 {
				for member := 0; member < members && f.let(each, 1, false) == 0; member++ {
					f.ask(each, member, 1, false, false, 0)
					f.step(0)
				}
			}
			f.step(gap)
		}
		require.Len(t, f.letIn, int(min(2000, 10*limit.Rate)))
	})
}

func TestCapacityIsReservedForRunningPrograms(t *testing.T) {
	f := newFleet(5, 1, Limit{Rate: 40, Burst: 40, Version: 1}, usual, sound)
	f.step(time.Minute)
	for range 40 {
		f.greed(true)
	}
	opened := len(f.letIn)
	for range 40 {
		f.greed(false)
	}
	kept := len(f.letIn) - opened
	require.InDelta(t, openingReserve, float64(kept)/float64(opened+kept), 0.1)
}

func TestUnusedPermitCanBeTakenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	allowance := &Allowance{}
	allowance.AddGrant(now, Grant{Requests: 1, NewProgramsAllowed: true})
	pass, found := allowance.Take(now, true)
	require.True(t, found)
	_, found = allowance.Take(now, false)
	require.False(t, found)
	allowance.ReturnUnused(now, pass)
	pass, found = allowance.Take(now, false)
	require.True(t, found)
	allowance.ReturnUnused(now.Add(2*time.Second), pass)
	_, found = allowance.Take(now.Add(2*time.Second), false)
	require.False(t, found, "not beyond its lifetime")
}

func TestRequestSizeFollowsRecentDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	allowance := &Allowance{}
	require.Equal(t, 1, allowance.RequestSize(now, 1))
	allowance.AddGrant(now, Grant{Requests: 20})
	for range 20 {
		allowance.Take(now, false)
	}
	require.Equal(t, 11, allowance.RequestSize(now.Add(2*GrantLifetime), 1), "half of what was let in in two lifetimes")
	require.Equal(t, 2, allowance.RequestSize(now.Add(3*GrantLifetime), 2))
}

func TestDropFullDoesNotChangeGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := drawLimit(t)
		start := time.Unix(1000, 0)
		kept, swept := NewGranter(usual), NewGranter(usual)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "pause")) * time.Millisecond)
			swept.DropFull(now)
			ask := GrantRequest{Tenant: tenant, Limit: limit, Members: 3, SeatSince: start, Wanted: rapid.IntRange(1, 64).Draw(t, "wanted")}
			require.Equal(t, kept.Grant(now, ask), swept.Grant(now, ask))
		}
	})
}
