package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
)

// granterFunc answers as a test wants.
type granterFunc func(wanted int, opening bool) (quorum.GrantResult, error)

func (f granterFunc) Grant(_ context.Context, _ quorum.GrantSubject, _ quota.Limit, wanted int, opening bool) (quorum.GrantResult, error) {
	return f(wanted, opening)
}

// limitedGateway returns a gateway whose members answer as told.
func limitedGateway(answer granterFunc) *Gateway {
	return &Gateway{granter: answer, programs: newRecentPrograms(time.Now), metrics: newMetrics(telemetry.NewRegistry())}
}

// limitedRequest returns a call of a tenant that has a limit, with so much time left.
func limitedRequest(g *Gateway, left time.Duration) *request {
	table := route.NewTable(&route.Configuration{Version: 1})
	return &request{
		gateway: g, view: &directory.View{Table: table}, route: &route.Route{Kind: route.Unsafe}, deadline: time.Now().Add(left),
		tenant: &route.Tenant{Name: "north", Quota: route.Quota{Rate: 10, Burst: 10}}, ran: make(map[string]bool),
	}
}

func TestOneCallRefillsForAllQuotaWaiters(t *testing.T) {
	var inFlight, most, granted atomic.Int64
	g := limitedGateway(func(wanted int, _ bool) (quorum.GrantResult, error) {
		most.Store(max(most.Load(), inFlight.Add(1)))
		defer inFlight.Add(-1)
		time.Sleep(5 * time.Millisecond)
		granted.Add(int64(wanted))
		return quorum.GrantResult{Grant: quota.Grant{Requests: wanted}}, nil
	})
	var admitted atomic.Int64
	var requests sync.WaitGroup
	for range 40 {
		requests.Go(func() {
			if limitedRequest(g, time.Minute).admit(t.Context()) == nil {
				admitted.Add(1)
			}
		})
	}
	requests.Wait()
	require.EqualValues(t, 40, admitted.Load())
	require.EqualValues(t, 1, most.Load(), "one question at a time")
	require.GreaterOrEqual(t, granted.Load(), admitted.Load(), "nothing is let in that was not granted")
}

func TestRequestOfRunningProgramWaitsForQuota(t *testing.T) {
	asked := 0
	g := limitedGateway(func(int, bool) (quorum.GrantResult, error) {
		if asked++; asked < 3 {
			return quorum.GrantResult{Grant: quota.Grant{RetryAfter: time.Millisecond}, Refused: true, Answered: 5}, nil
		}
		return quorum.GrantResult{Grant: quota.Grant{Requests: 1}}, nil
	})
	require.NoError(t, limitedRequest(g, time.Minute).admit(t.Context()))
	require.Equal(t, 3, asked)
}

func TestQuotaRefusalIsImmediateWhenWaitIsUseless(t *testing.T) {
	g := limitedGateway(func(int, bool) (quorum.GrantResult, error) {
		return quorum.GrantResult{Grant: quota.Grant{RetryAfter: time.Hour}, Refused: true, Answered: 5}, nil
	})
	began := time.Now()
	err := limitedRequest(g, time.Minute).admit(t.Context())
	require.Less(t, time.Since(began), time.Minute/3, "it does not wait out its patience")
	var refused *QuotaExceeded
	require.ErrorAs(t, err, &refused)
	require.Equal(t, 5, refused.Replicas)
	require.InDelta(t, time.Hour.Seconds(), refused.RetryAfter.Seconds(), 60)
	require.Equal(t, http.StatusTooManyRequests, statusOf(err))
}

func TestUnavailableReplicasGiveQuotaUnknown(t *testing.T) {
	g := limitedGateway(func(int, bool) (quorum.GrantResult, error) {
		return quorum.GrantResult{}, &quorum.Unavailable{Needed: 3}
	})
	err := limitedRequest(g, time.Minute).admit(t.Context())
	var unknown *QuotaUnknown
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, http.StatusServiceUnavailable, statusOf(err))
}

// TestRequestSurvivesBriefReplicaSilence has the replicas that grant be silent for less
// and for longer than a request may wait.
//
// Callers within their limit got 503 "quota_unknown", 5 of 200 beside a thousand slow clients: a call that
// took over 250 ms made each replica count as silent, and until it had answered a probe requests were refused
// within 45 to 77 us ("0 replicas answered, and the answers of 1 must count") although they had 2 s.
func TestRequestSurvivesBriefReplicaSilence(t *testing.T) {
	silentSince := func(began time.Time, answersAfter time.Duration) granterFunc {
		return func(wanted int, _ bool) (quorum.GrantResult, error) {
			if silent := time.Since(began); silent < answersAfter {
				return quorum.GrantResult{}, &quorum.Unavailable{Needed: 2, ShortestSilence: silent + 1}
			}
			return quorum.GrantResult{Grant: quota.Grant{Requests: wanted}}, nil
		}
	}
	var requests sync.WaitGroup
	short := limitedGateway(silentSince(time.Now(), 400*time.Millisecond))
	for range 20 {
		requests.Go(func() {
			if err := limitedRequest(short, time.Minute).admit(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
	requests.Wait()

	var unknown *QuotaUnknown
	asked := 0
	long := limitedGateway(func(int, bool) (quorum.GrantResult, error) {
		asked++
		return quorum.GrantResult{}, &quorum.Unavailable{Needed: 2, ShortestSilence: quorum.SilenceTolerance}
	})
	require.ErrorAs(t, limitedRequest(long, time.Minute).admit(t.Context()), &unknown)
	require.Equal(t, 1, asked, "known to be in vain")
	began := time.Now()
	late := limitedGateway(silentSince(time.Now(), time.Hour))
	require.ErrorAs(t, limitedRequest(late, 900*time.Millisecond).admit(t.Context()), &unknown)
	require.Less(t, time.Since(began), 600*time.Millisecond, "a third of its time")
}

func TestQuotaPermitOfRequestNotRunIsReused(t *testing.T) {
	asked := 0
	g := limitedGateway(func(int, bool) (quorum.GrantResult, error) {
		asked++
		return quorum.GrantResult{Grant: quota.Grant{Requests: 1}}, nil
	})
	first := limitedRequest(g, time.Minute)
	require.NoError(t, first.admit(t.Context()))
	first.returnPass()
	second := limitedRequest(g, time.Minute)
	require.NoError(t, second.admit(t.Context()))
	require.Equal(t, 1, asked)
	second.ran["i-1"] = true
	second.returnPass()
	require.NoError(t, limitedRequest(g, time.Minute).admit(t.Context()))
	require.Equal(t, 2, asked, "what ran is used up")
}

func TestStartsProgram(t *testing.T) {
	g := limitedGateway(func(int, bool) (quorum.GrantResult, error) {
		return quorum.GrantResult{Grant: quota.Grant{Requests: 1, NewProgramsAllowed: true}}, nil
	})
	turn := limitedRequest(g, time.Minute)
	turn.route = &route.Route{Kind: route.Streaming}
	turn.envelope.Program, turn.program = "p", "north/p"
	require.True(t, turn.opensProgram())
	require.NoError(t, turn.admit(t.Context()))
	require.False(t, turn.opensProgram(), "the program is under way")
	later := limitedRequest(g, time.Minute)
	later.route = turn.route
	later.envelope.Program, later.envelope.PreviousTurnID, later.program = "q", "t1", "north/q"
	require.False(t, later.opensProgram(), "it goes on from a turn")
}

func TestRecentProgramsAreBoundedAndExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	programs := newRecentPrograms(func() time.Time { return now })
	for i := range maxPrograms + 10 {
		programs.note(fmt.Sprint(i))
	}
	require.True(t, programs.seen("0"))
	require.False(t, programs.seen(fmt.Sprint(maxPrograms)), "no more than so many")
	now = now.Add(programMemory / 2)
	programs.note("1")
	now = now.Add(programMemory / 2)
	require.False(t, programs.seen("0"))
	require.True(t, programs.seen("1"))
	programs.sweep()
	require.EqualValues(t, 1, programs.count.Load())
}

func TestTenantLabelsAreBounded(t *testing.T) {
	counted := newMetrics(telemetry.NewRegistry())
	for i := range maxLabelledTenants {
		require.Equal(t, fmt.Sprint(i), counted.label(fmt.Sprint(i)))
	}
	require.Equal(t, otherTenants, counted.label("one more"))
	require.Equal(t, "0", counted.label("0"))
}
