package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/coldstart"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// fakeGranter grants permits for cold workers.
type fakeGranter struct {
	// available is how many permits are left to grant. While failing is set, calls return an
	// error.
	available atomic.Int64
	failing   atomic.Bool
	// retryAfter is returned with refusals; delay is the duration of a call.
	retryAfter, delay time.Duration

	calls, granted atomic.Int64
	subjects       sync.Map
}

func (f *fakeGranter) Grant(_ context.Context, subject quorum.GrantSubject, limit quota.Limit, wanted int, _ bool) (quorum.GrantResult, error) {
	f.calls.Add(1)
	f.subjects.Store(subject, limit)
	time.Sleep(f.delay)
	if f.failing.Load() {
		return quorum.GrantResult{}, &quorum.Unavailable{Needed: 1}
	}
	granted := min(int64(wanted), f.available.Load())
	f.available.Add(-granted)
	f.granted.Add(granted)
	if granted == 0 {
		return quorum.GrantResult{Grant: quota.Grant{RetryAfter: f.retryAfter}, Refused: true, Answered: 5}, nil
	}
	return quorum.GrantResult{Grant: quota.Grant{Requests: int(granted)}}, nil
}

// countingWorker is a worker that counts its requests.
type countingWorker struct {
	requests atomic.Int64
	status   int
}

func startCountingWorker(t *testing.T, status int) (*countingWorker, string) {
	worker := &countingWorker{status: status}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		worker.requests.Add(1)
		w.WriteHeader(worker.status)
	}))
	t.Cleanup(server.Close)
	return worker, strings.TrimPrefix(server.URL, "http://")
}

// rejectingHeaderCodec treats status 421 as a rejection.
type rejectingHeaderCodec struct{ noopHeaderCodec }

func (rejectingHeaderCodec) ReadResponse(status int, _ http.Header) worker.ResponseMetadata {
	return worker.ResponseMetadata{NotRun: status == http.StatusMisdirectedRequest}
}

// coldGateway returns a gateway for a service whose workers can be cold. Workers without
// ColdRemaining have been known for long and are warm.
func coldGateway(granter quotaGranter, workers ...directory.Worker) *Gateway {
	now := time.Now().Add(-time.Hour)
	g := gatewayWithOptions(Options{HeaderCodec: rejectingHeaderCodec{}})
	g.granter = granter
	g.coldWorkers.tracker = coldstart.NewTracker(func() time.Time { return now }, nil)
	g.directory = directory.NewState(func() time.Time { return now }, func(view *directory.View, _ directory.WorkerUpdate) { g.coldWorkers.tracker.Update(view) })
	g.directory.ApplyConfiguration(&route.Configuration{Version: 3, Services: map[string]route.Service{
		"s": {Name: "s", Cold: &route.Cold{For: time.Minute, PerSecond: 20}},
	}})
	warmWorkers := make([]directory.Worker, len(workers))
	copy(warmWorkers, workers)
	for i := range warmWorkers {
		warmWorkers[i].ColdRemaining = 0
	}
	g.directory.ReplaceWorkers(warmWorkers, 1)
	now = time.Now()
	for i, each := range workers {
		if each.ColdRemaining > 0 {
			g.directory.ApplyWorkerChanges([]directory.Change{{Object: directory.Object{Name: each.ID, Worker: &each}}}, int64(2+i))
		}
	}
	return g
}

func coldWorker(id, address string) directory.Worker {
	return directory.Worker{ID: id, Instance: id, Service: "s", Address: address, ColdRemaining: time.Hour}
}

func warmWorker(id, address string) directory.Worker {
	return directory.Worker{ID: id, Instance: id, Service: "s", Address: address}
}

// sendRequest sends one request that has the given time left.
func sendRequest(t *testing.T, g *Gateway, timeLeft time.Duration) (*request, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeLeft)
	defer cancel()
	incoming, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/p", nil)
	require.NoError(t, err)
	r := newRequest(g)
	r.incoming, r.route, r.service = incoming, &route.Route{Kind: route.Unsafe}, route.Service{Name: "s"}
	r.terminated, r.deadline = make(map[string]bool), time.Now().Add(timeLeft)
	attempt, err := r.send(ctx, "")
	if err == nil {
		attempt.response.Close()
		g.attemptDone(r, attempt.worker, balance.Served)
	}
	return r, err
}

func TestColdWorkerGetsOnlyGrantedRequests(t *testing.T) {
	cold, coldAddress := startCountingWorker(t, http.StatusOK)
	other, otherAddress := startCountingWorker(t, http.StatusOK)
	granter := &fakeGranter{retryAfter: time.Hour}
	granter.available.Store(3)
	g := coldGateway(granter, coldWorker("cold", coldAddress), warmWorker("warm", otherAddress))
	for range 40 {
		r, err := sendRequest(t, g, time.Minute)
		require.NoError(t, err)
		require.Empty(t, r.tried, "a skipped cold worker does not count as tried")
	}
	require.EqualValues(t, 3, cold.requests.Load())
	require.EqualValues(t, 37, other.requests.Load())
	require.Zero(t, g.balancer.InFlight("cold"))
	require.LessOrEqual(t, granter.calls.Load(), int64(4), "no further calls are made while a refusal is active")
	limit, found := granter.subjects.Load(quorum.GrantSubject{Kind: replicav1.GrantKind_GRANT_KIND_COLD_WORKER, Name: "cold"})
	require.True(t, found)
	require.Equal(t, quota.Limit{Rate: 20, Version: 3}, limit)
}

func TestRequestWaitsForColdPermitWithoutWarmWorkers(t *testing.T) {
	cold, address := startCountingWorker(t, http.StatusOK)
	granter := &fakeGranter{retryAfter: 20 * time.Millisecond}
	g := coldGateway(granter, coldWorker("cold", address))
	time.AfterFunc(100*time.Millisecond, func() { granter.available.Store(1) })
	r, err := sendRequest(t, g, time.Minute)
	require.NoError(t, err)
	require.EqualValues(t, 1, cold.requests.Load())
	require.Positive(t, r.waitTimes[waitForSlot])
}

func TestRequestIsRefusedAsWorkersColdWithoutWarmWorkers(t *testing.T) {
	cold, address := startCountingWorker(t, http.StatusOK)
	g := coldGateway(&fakeGranter{retryAfter: time.Hour}, coldWorker("cold", address))
	_, err := sendRequest(t, g, 300*time.Millisecond)
	var refused *WorkersCold
	require.ErrorAs(t, err, &refused)
	require.Equal(t, 1, refused.Skipped)
	require.Equal(t, http.StatusServiceUnavailable, statusOf(err))
	require.Zero(t, cold.requests.Load())
}

// TestWarmWorkerIsChosenWhenNoReplicaAnswers verifies that a cold worker gets no request
// without an answer of the replicas, and that they are not called again for a while.
func TestWarmWorkerIsChosenWhenNoReplicaAnswers(t *testing.T) {
	cold, coldAddress := startCountingWorker(t, http.StatusOK)
	other, otherAddress := startCountingWorker(t, http.StatusOK)
	granter := &fakeGranter{}
	granter.failing.Store(true)
	g := coldGateway(granter, coldWorker("cold", coldAddress), warmWorker("warm", otherAddress))
	start := time.Now()
	for range 20 {
		_, err := sendRequest(t, g, time.Minute)
		require.NoError(t, err)
	}
	require.Zero(t, cold.requests.Load())
	require.EqualValues(t, 20, other.requests.Load())
	require.LessOrEqual(t, granter.calls.Load(), 2+int64(time.Since(start)/coldUnknownRetryDelay))
}

func TestColdPermitOfUnsentRequestIsReturned(t *testing.T) {
	granter := &fakeGranter{retryAfter: time.Hour}
	granter.available.Store(1)
	g := coldGateway(granter, coldWorker("cold", "127.0.0.1:1"))
	_, err := sendRequest(t, g, 50*time.Millisecond)
	require.Error(t, err)
	require.EqualValues(t, 1, granter.granted.Load())
	_, found := g.coldWorkers.allowances.getOrCreate("cold").Take(g.coldWorkers.startedAt, false)
	require.True(t, found, "a valid permit is available to another request")
}

func TestColdPermitOfRejectedRequestIsUsedUp(t *testing.T) {
	_, address := startCountingWorker(t, http.StatusMisdirectedRequest)
	granter := &fakeGranter{retryAfter: time.Hour}
	granter.available.Store(1)
	g := coldGateway(granter, coldWorker("cold", address))
	_, err := sendRequest(t, g, 100*time.Millisecond)
	require.Error(t, err)
	_, found := g.coldWorkers.allowances.getOrCreate("cold").Take(g.coldWorkers.startedAt, false)
	require.False(t, found)
}

// TestExpiredColdPermitIsReplacedBeforeSend simulates a connection that takes longer to open
// than a permit is valid.
func TestExpiredColdPermitIsReplacedBeforeSend(t *testing.T) {
	granter := &fakeGranter{retryAfter: time.Hour}
	granter.available.Store(2)
	g := coldGateway(granter, coldWorker("cold", "127.0.0.1:1"))
	r := newRequest(g)
	r.service = route.Service{Name: "s"}
	permit, err := r.acquireColdPermit(t.Context(), coldWorker("cold", ""))
	require.NoError(t, err)
	time.Sleep(quota.GrantLifetime)
	require.NoError(t, permit.ensureAcquired(t.Context()))
	require.EqualValues(t, 2, granter.granted.Load())
	time.Sleep(quota.GrantLifetime)
	var cold *WorkerCold
	require.ErrorAs(t, permit.ensureAcquired(t.Context()), &cold, "no permit is left to grant")
}

// TestWorkerThatBecomesColdDuringConnectNeedsPermit reports the worker as cold between its
// selection and the send.
func TestWorkerThatBecomesColdDuringConnectNeedsPermit(t *testing.T) {
	g := coldGateway(&fakeGranter{retryAfter: time.Hour}, warmWorker("a", "127.0.0.1:1"))
	r := newRequest(g)
	r.service = route.Service{Name: "s"}
	permit, err := r.acquireColdPermit(t.Context(), warmWorker("a", ""))
	require.NoError(t, err)
	require.NoError(t, permit.ensureAcquired(t.Context()))
	changed := coldWorker("a", "127.0.0.1:1")
	g.directory.ApplyWorkerChanges([]directory.Change{{Object: directory.Object{Name: "a", Worker: &changed}}}, 9)
	require.Error(t, permit.ensureAcquired(t.Context()))
}

func TestStreamResumesAtColdWorkerOnlyWithPermit(t *testing.T) {
	cold, address := startCountingWorker(t, http.StatusOK)
	granter := &fakeGranter{retryAfter: 10 * time.Millisecond}
	g := coldGateway(granter, coldWorker("cold", address))
	resume := func() error {
		incoming, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/p", nil)
		require.NoError(t, err)
		r := newRequest(g)
		r.incoming, r.route, r.service, r.deadline = incoming, &route.Route{Kind: route.Unsafe}, route.Service{Name: "s"}, time.Now().Add(time.Minute)
		attempt, err := r.resumeAtSameWorker(t.Context(), coldWorker("cold", address), "7")
		if err == nil {
			attempt.response.Close()
			g.attemptDone(r, attempt.worker, balance.Served)
		}
		return err
	}
	var refused *WorkerCold
	require.ErrorAs(t, resume(), &refused)
	require.Zero(t, cold.requests.Load())
	time.AfterFunc(30*time.Millisecond, func() { granter.available.Store(1) })
	require.NoError(t, resume(), "the stream waits for a permit")
	require.EqualValues(t, 1, cold.requests.Load())
	require.Zero(t, g.balancer.InFlight("cold"))
}

// TestColdBackoffGrowsUntilGrant verifies the backoff of consecutive refusals and its reset by
// a grant.
func TestColdBackoffGrowsUntilGrant(t *testing.T) {
	g := coldGateway(&fakeGranter{})
	allowance := g.coldWorkers.allowances.getOrCreate("a")
	backoffOfRefusal := func() time.Duration {
		g.coldWorkers.recordRefusal(allowance, time.Now(), quorum.GrantResult{Grant: quota.Grant{RetryAfter: time.Millisecond}, Refused: true, Answered: 5})
		refusal, refused := allowance.ActiveRefusal(g.coldWorkers.startedAt, false)
		require.True(t, refused)
		return refusal.RetryAt.Sub(refusal.ReceivedAt)
	}
	require.LessOrEqual(t, backoffOfRefusal(), initialColdBackoff)
	for range 10 {
		backoffOfRefusal()
	}
	require.GreaterOrEqual(t, backoffOfRefusal(), maxColdBackoff/2)
	require.LessOrEqual(t, backoffOfRefusal(), maxColdBackoff)
	allowance.resetRefusals()
	require.LessOrEqual(t, backoffOfRefusal(), initialColdBackoff)
}

func TestEveryWorkerNeedsPermitWhileUpdatesAreStale(t *testing.T) {
	counting, address := startCountingWorker(t, http.StatusOK)
	g := coldGateway(&fakeGranter{retryAfter: time.Hour}, warmWorker("a", address))
	_, err := sendRequest(t, g, time.Minute)
	require.NoError(t, err)
	g.coldWorkers.updatesStale = func() bool { return true }
	_, err = sendRequest(t, g, 200*time.Millisecond)
	var refused *WorkersCold
	require.ErrorAs(t, err, &refused)
	require.EqualValues(t, 1, counting.requests.Load())
}

// TestWorkersNeedPermitAfterZoneDrainEnds uses a worker that was warm before the drain.
func TestWorkersNeedPermitAfterZoneDrainEnds(t *testing.T) {
	counting, address := startCountingWorker(t, http.StatusOK)
	warm := warmWorker("a", address)
	warm.Zone = "north"
	granter := &fakeGranter{retryAfter: time.Hour}
	g := coldGateway(granter, warm)
	g.options.WatchZoneDrains = true
	g.directory.ReplaceZoneDrains([]string{"south"}, 1)
	_, err := sendRequest(t, g, time.Minute)
	require.NoError(t, err)
	require.Zero(t, granter.calls.Load(), "a warm worker needs no permit")
	g.directory.ReplaceZoneDrains([]string{"north"}, 2)
	_, err = sendRequest(t, g, 100*time.Millisecond)
	var drained *ZonesDrained
	require.ErrorAs(t, err, &drained)
	g.directory.ReplaceZoneDrains(nil, 3)
	granter.available.Store(1)
	_, err = sendRequest(t, g, time.Minute)
	require.NoError(t, err)
	_, err = sendRequest(t, g, 100*time.Millisecond)
	var cold *WorkersCold
	require.ErrorAs(t, err, &cold)
	require.EqualValues(t, 2, counting.requests.Load())
}

// TestRefusalIsIgnoredOnceWorkerIsWarm verifies that a worker that reports itself as warm is
// chosen at once, even if replicas have refused a permit before.
func TestRefusalIsIgnoredOnceWorkerIsWarm(t *testing.T) {
	counting, address := startCountingWorker(t, http.StatusOK)
	g := coldGateway(&fakeGranter{retryAfter: time.Hour}, coldWorker("a", address))
	_, err := sendRequest(t, g, 100*time.Millisecond)
	require.Error(t, err)
	changed := warmWorker("a", address)
	g.directory.ApplyWorkerChanges([]directory.Change{{Object: directory.Object{Name: "a", Worker: &changed}}}, 9)
	_, err = sendRequest(t, g, time.Minute)
	require.NoError(t, err)
	require.EqualValues(t, 1, counting.requests.Load())
}

func TestNewGatewayHasStaleUpdates(t *testing.T) {
	g := New(Options{Node: "a", Zone: "z", HeaderCodec: noopHeaderCodec{}}, nil)
	require.True(t, g.updatesAreStale())
	require.True(t, g.coldWorkers.updatesStale())
}

func TestOneCallRefillsForAllColdWaiters(t *testing.T) {
	cold, address := startCountingWorker(t, http.StatusOK)
	granter := &fakeGranter{delay: 10 * time.Millisecond}
	granter.available.Store(1000)
	g := coldGateway(granter, coldWorker("cold", address))
	var sent sync.WaitGroup
	for range 40 {
		sent.Go(func() {
			if _, err := sendRequest(t, g, time.Minute); err != nil {
				t.Error(err)
			}
		})
	}
	sent.Wait()
	require.EqualValues(t, 40, cold.requests.Load())
	require.Less(t, granter.calls.Load(), int64(40))
	require.GreaterOrEqual(t, granter.granted.Load(), int64(40))
}

func TestServiceWithoutColdSettingNeedsNoPermit(t *testing.T) {
	counting, address := startCountingWorker(t, http.StatusOK)
	g := coldGateway(&fakeGranter{retryAfter: time.Hour}, coldWorker("cold", address))
	g.directory.ApplyConfiguration(&route.Configuration{Version: 4, Services: map[string]route.Service{"s": {Name: "s"}}})
	_, err := sendRequest(t, g, time.Minute)
	require.NoError(t, err)
	require.EqualValues(t, 1, counting.requests.Load())
}

// TestOnlySendToUsesPoolSend verifies that sendTo, which acquires a permit, is the only
// function that sends to workers.
func TestOnlySendToUsesPoolSend(t *testing.T) {
	entries, err := os.ReadDir(".")
	require.NoError(t, err)
	var sends []string
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), ".go") || strings.HasSuffix(entry.Name(), "_test.go") {
			continue
		}
		text, err := os.ReadFile(entry.Name())
		require.NoError(t, err)
		for range strings.Count(string(text), "pool.Send(") {
			sends = append(sends, entry.Name())
		}
	}
	require.Equal(t, []string{"attempt.go"}, sends)
}

func TestWorkerColdErrorText(t *testing.T) {
	require.ErrorIs(t, &WorkerCold{Cause: errCause}, errCause)
	require.Contains(t, (&WorkerCold{Worker: "w", Reason: coldstart.WorkerAdded}).Error(), "too few replicas")
	require.Contains(t, (&WorkerCold{Worker: "w", Reason: coldstart.WorkerAdded, Replicas: 3}).Error(), "3 replicas")
	require.False(t, errors.Is(&WorkerCold{}, errCause))
}

// slowReplicas grant at a rate to several gateways, and answer after a delay.
type slowReplicas struct {
	granter *quota.Granter
	since   time.Time
	delay   time.Duration
}

func newSlowReplicas(delay time.Duration) *slowReplicas {
	tolerance := quota.Tolerance{Window: time.Second, Overshoot: 0.5, Slack: 5}
	return &slowReplicas{granter: quota.NewGranter(tolerance), since: time.Now().Add(-time.Minute), delay: delay}
}

func (s *slowReplicas) Grant(ctx context.Context, subject quorum.GrantSubject, limit quota.Limit, wanted int, startsProgram bool) (quorum.GrantResult, error) {
	grant := s.granter.Grant(time.Now(), quota.GrantRequest{
		Tenant: subject.Name, Limit: limit, Members: 1, SeatSince: s.since, Wanted: wanted, StartsProgram: startsProgram,
	})
	select {
	case <-time.After(s.delay):
		return quorum.GrantResult{Grant: grant, Refused: grant.Requests == 0, Answered: 1}, nil
	case <-ctx.Done():
		return quorum.GrantResult{}, &quorum.Unavailable{Needed: 1}
	}
}

// TestColdWorkerGetsItsShareFromSlowReplicas guards against a worker that gets next to nothing while
// replicas take longer to answer than a request waits for a permit.
func TestColdWorkerGetsItsShareFromSlowReplicas(t *testing.T) {
	const (
		gateways, senders = 3, 4
		lasts             = 4 * time.Second
		// share is half of what replicas grant in that time.
		share = 40
	)
	for _, delay := range []time.Duration{0, 40 * time.Millisecond, 90 * time.Millisecond, 120 * time.Millisecond} {
		for name, others := range map[string]int{"alone": 0, "beside a warm worker": 1} {
			t.Run(fmt.Sprint(delay, " ", name), func(t *testing.T) {
				t.Parallel()
				cold, coldAddress := startCountingWorker(t, http.StatusOK)
				_, warmAddress := startCountingWorker(t, http.StatusOK)
				workers := []directory.Worker{coldWorker("cold", coldAddress), warmWorker("warm", warmAddress)}[:1+others]
				replicas := newSlowReplicas(delay)
				until := time.Now().Add(lasts)
				var sent sync.WaitGroup
				for range gateways {
					g := coldGateway(replicas, workers...)
					for range senders {
						sent.Go(func() {
							for time.Now().Before(until) {
								time.Sleep(5 * time.Millisecond)
								// A request that is refused as cold says so before its time is over.
								_, _ = sendRequest(t, g, 2*time.Second)
							}
						})
					}
				}
				sent.Wait()
				t.Log("served by the cold worker: ", cold.requests.Load())
				require.GreaterOrEqual(t, cold.requests.Load(), int64(share))
			})
		}
	}
}
