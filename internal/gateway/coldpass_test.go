package gateway

import (
	"context"
	"errors"
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
	"github.com/barleyshelf/barleyshelf/internal/distance"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// passes is a granter of passes to cold workers.
type passes struct {
	// has is how many passes it still grants; failing ones answer nothing.
	has     atomic.Int64
	failing atomic.Bool
	// after is when a refusal names the next one; takes is how long an answer takes.
	after, takes time.Duration

	asked, granted atomic.Int64
	subjects       sync.Map
}

func (p *passes) Grant(_ context.Context, subject quorum.GrantSubject, limit quota.Limit, wanted int, _ bool) (quorum.GrantResult, error) {
	p.asked.Add(1)
	p.subjects.Store(subject, limit)
	time.Sleep(p.takes)
	if p.failing.Load() {
		return quorum.GrantResult{}, &quorum.Unavailable{Needed: 1}
	}
	granted := min(int64(wanted), p.has.Load())
	p.has.Add(-granted)
	p.granted.Add(granted)
	if granted == 0 {
		return quorum.GrantResult{Grant: quota.Grant{RetryAfter: p.after}, Refused: true, Answered: 5}, nil
	}
	return quorum.GrantResult{Grant: quota.Grant{Requests: int(granted)}}, nil
}

// countingWorker answers, and counts what it gets.
type countingWorker struct {
	got    atomic.Int64
	status int
}

func startCounting(t *testing.T, status int) (*countingWorker, string) {
	counting := &countingWorker{status: status}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		counting.got.Add(1)
		w.WriteHeader(counting.status)
	}))
	t.Cleanup(server.Close)
	return counting, strings.TrimPrefix(server.URL, "http://")
}

// rejectingDialect reads 421 as a rejection.
type rejectingDialect struct{ silentDialect }

func (rejectingDialect) ReadResponse(status int, _ http.Header) worker.ResponseMetadata {
	return worker.ResponseMetadata{NotRun: status == http.StatusMisdirectedRequest}
}

// coldGateway returns a gateway whose workers may be cold, and that has known the others for
// long.
func coldGateway(granter granter, workers ...directory.Worker) *Gateway {
	now := time.Now().Add(-time.Hour)
	g := &Gateway{
		options: Options{HeaderCodec: rejectingDialect{}}, balancer: balance.New(time.Now, ""), subsets: balance.NewSubsetSizes(time.Now), waits: balance.NewServiceLatencies(),
		metrics: newMetrics(telemetry.NewRegistry()), slotQueues: newSlotQueues(), fastest: newFastestAnswers(), granter: granter,
		pool: worker.NewPool(transport.NewDialer(transport.Options{DialTimeout: time.Second, UserTimeout: time.Second})),
		cold: newColdWorkers(func() bool { return false }),
	}
	g.zones, g.ways = newZoneWatch(g), distance.NewZoneLatencies(g.places)
	g.cold.tracker = coldstart.NewTracker(func() time.Time { return now }, nil)
	g.directory = directory.NewState(func() time.Time { return now }, func(view *directory.View, _ directory.WorkerUpdate) { g.cold.tracker.Update(view) })
	g.directory.ApplyConfiguration(&route.Configuration{Version: 3, Services: map[string]route.Service{
		"s": {Name: "s", Cold: &route.Cold{For: time.Minute, PerSecond: 20}},
	}})
	known := make([]directory.Worker, len(workers))
	copy(known, workers)
	for i := range known {
		known[i].ColdRemaining = 0
	}
	g.directory.ReplaceWorkers(known, 1)
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

// sendOne sends one request with so much time left.
func sendOne(t *testing.T, g *Gateway, left time.Duration) (*request, error) {
	ctx, cancel := context.WithTimeout(t.Context(), left)
	defer cancel()
	incoming, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/p", nil)
	require.NoError(t, err)
	r := requestOf(g)
	r.incoming, r.route, r.service = incoming, &route.Route{Kind: route.Unsafe}, route.Service{Name: "s"}
	r.gone, r.deadline = make(map[string]bool), time.Now().Add(left)
	one, err := r.send(ctx, "")
	if err == nil {
		one.answer.Close()
		g.done(r, one.worker, balance.Served)
	}
	return r, err
}

func TestColdWorkerGetsOnlyGrantedRequests(t *testing.T) {
	cold, coldAddress := startCounting(t, http.StatusOK)
	other, otherAddress := startCounting(t, http.StatusOK)
	granter := &passes{after: time.Hour}
	granter.has.Store(3)
	g := coldGateway(granter, coldWorker("cold", coldAddress), warmWorker("warm", otherAddress))
	for range 40 {
		r, err := sendOne(t, g, time.Minute)
		require.NoError(t, err)
		require.Empty(t, r.tried, "the cold worker was not tried")
	}
	require.EqualValues(t, 3, cold.got.Load())
	require.EqualValues(t, 37, other.got.Load())
	require.Zero(t, g.balancer.InFlight("cold"))
	require.LessOrEqual(t, granter.asked.Load(), int64(4), "a refusal is remembered")
	limit, asked := granter.subjects.Load(quorum.GrantSubject{Kind: replicav1.GrantKind_GRANT_KIND_COLD_WORKER, Name: "cold"})
	require.True(t, asked)
	require.Equal(t, quota.Limit{Rate: 20, Version: 3}, limit)
}

func TestRequestWaitsForColdPermitWithoutWarmWorkers(t *testing.T) {
	cold, address := startCounting(t, http.StatusOK)
	granter := &passes{after: 20 * time.Millisecond}
	g := coldGateway(granter, coldWorker("cold", address))
	time.AfterFunc(100*time.Millisecond, func() { granter.has.Store(1) })
	r, err := sendOne(t, g, time.Minute)
	require.NoError(t, err)
	require.EqualValues(t, 1, cold.got.Load())
	require.Positive(t, r.held[heldForSlot])
}

func TestRequestIsRefusedAsWorkersColdWithoutWarmWorkers(t *testing.T) {
	cold, address := startCounting(t, http.StatusOK)
	g := coldGateway(&passes{after: time.Hour}, coldWorker("cold", address))
	_, err := sendOne(t, g, 300*time.Millisecond)
	var refused *WorkersCold
	require.ErrorAs(t, err, &refused)
	require.Equal(t, 1, refused.Skipped)
	require.Equal(t, http.StatusServiceUnavailable, statusOf(err))
	require.Zero(t, cold.got.Load())
}

// TestWarmWorkerIsChosenWhenNoReplicaAnswers holds that not knowing is no pass, and that
// one question finds that out for a while.
func TestWarmWorkerIsChosenWhenNoReplicaAnswers(t *testing.T) {
	cold, coldAddress := startCounting(t, http.StatusOK)
	other, otherAddress := startCounting(t, http.StatusOK)
	granter := &passes{}
	granter.failing.Store(true)
	g := coldGateway(granter, coldWorker("cold", coldAddress), warmWorker("warm", otherAddress))
	began := time.Now()
	for range 20 {
		_, err := sendOne(t, g, time.Minute)
		require.NoError(t, err)
	}
	require.Zero(t, cold.got.Load())
	require.EqualValues(t, 20, other.got.Load())
	require.LessOrEqual(t, granter.asked.Load(), 2+int64(time.Since(began)/coldUnknownFor))
}

func TestColdPermitOfUnsentRequestIsReturned(t *testing.T) {
	granter := &passes{after: time.Hour}
	granter.has.Store(1)
	g := coldGateway(granter, coldWorker("cold", "127.0.0.1:1"))
	_, err := sendOne(t, g, 50*time.Millisecond)
	require.Error(t, err)
	require.EqualValues(t, 1, granter.granted.Load())
	_, found := g.cold.allowances.of("cold").Take(g.cold.began, false)
	require.True(t, found, "it is there for another request as long as it holds")
}

func TestColdPermitOfRejectedRequestIsUsedUp(t *testing.T) {
	_, address := startCounting(t, http.StatusMisdirectedRequest)
	granter := &passes{after: time.Hour}
	granter.has.Store(1)
	g := coldGateway(granter, coldWorker("cold", address))
	_, err := sendOne(t, g, 100*time.Millisecond)
	require.Error(t, err)
	_, found := g.cold.allowances.of("cold").Take(g.cold.began, false)
	require.False(t, found)
}

// TestExpiredColdPermitIsReplacedBeforeSend opens a connection for longer than a pass
// holds.
func TestExpiredColdPermitIsReplacedBeforeSend(t *testing.T) {
	granter := &passes{after: time.Hour}
	granter.has.Store(2)
	g := coldGateway(granter, coldWorker("cold", "127.0.0.1:1"))
	r := requestOf(g)
	r.service = route.Service{Name: "s"}
	pass, err := r.passTo(t.Context(), coldWorker("cold", ""))
	require.NoError(t, err)
	time.Sleep(quota.GrantLifetime)
	require.NoError(t, pass.confirm(t.Context()))
	require.EqualValues(t, 2, granter.granted.Load())
	time.Sleep(quota.GrantLifetime)
	var cold *WorkerCold
	require.ErrorAs(t, pass.confirm(t.Context()), &cold, "nothing is left")
}

// TestWorkerThatBecomesColdDuringConnectNeedsPermit hears of it in between.
func TestWorkerThatBecomesColdDuringConnectNeedsPermit(t *testing.T) {
	g := coldGateway(&passes{after: time.Hour}, warmWorker("a", "127.0.0.1:1"))
	r := requestOf(g)
	r.service = route.Service{Name: "s"}
	pass, err := r.passTo(t.Context(), warmWorker("a", ""))
	require.NoError(t, err)
	require.NoError(t, pass.confirm(t.Context()))
	said := coldWorker("a", "127.0.0.1:1")
	g.directory.ApplyWorkerChanges([]directory.Change{{Object: directory.Object{Name: "a", Worker: &said}}}, 9)
	require.Error(t, pass.confirm(t.Context()))
}

func TestStreamResumesAtColdWorkerOnlyWithPermit(t *testing.T) {
	cold, address := startCounting(t, http.StatusOK)
	granter := &passes{after: 10 * time.Millisecond}
	g := coldGateway(granter, coldWorker("cold", address))
	resume := func() error {
		incoming, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/p", nil)
		require.NoError(t, err)
		r := requestOf(g)
		r.incoming, r.route, r.service, r.deadline = incoming, &route.Route{Kind: route.Unsafe}, route.Service{Name: "s"}, time.Now().Add(time.Minute)
		one, err := r.sendToSame(t.Context(), coldWorker("cold", address), "7")
		if err == nil {
			one.answer.Close()
			g.done(r, one.worker, balance.Served)
		}
		return err
	}
	var refused *WorkerCold
	require.ErrorAs(t, resume(), &refused)
	require.Zero(t, cold.got.Load())
	time.AfterFunc(30*time.Millisecond, func() { granter.has.Store(1) })
	require.NoError(t, resume(), "it waits for a grant")
	require.EqualValues(t, 1, cold.got.Load())
	require.Zero(t, g.balancer.InFlight("cold"))
}

// TestColdBackoffGrowsUntilGrant holds the pauses of refusals in a row,
// and that a grant ends the row.
func TestColdBackoffGrowsUntilGrant(t *testing.T) {
	g := coldGateway(&passes{})
	allowance := g.cold.allowances.of("a")
	pauseAfter := func() time.Duration {
		g.cold.refuse(allowance, time.Now(), quorum.GrantResult{Grant: quota.Grant{RetryAfter: time.Millisecond}, Refused: true, Answered: 5})
		refusal, refused := allowance.ActiveRefusal(g.cold.began, false)
		require.True(t, refused)
		return refusal.RetryAt.Sub(refusal.ReceivedAt)
	}
	require.LessOrEqual(t, pauseAfter(), firstColdPause)
	for range 10 {
		pauseAfter()
	}
	require.GreaterOrEqual(t, pauseAfter(), lastColdPause/2)
	require.LessOrEqual(t, pauseAfter(), lastColdPause)
	allowance.granted()
	require.LessOrEqual(t, pauseAfter(), firstColdPause)
}

func TestEveryWorkerNeedsPermitWhileUpdatesAreStale(t *testing.T) {
	worker, address := startCounting(t, http.StatusOK)
	g := coldGateway(&passes{after: time.Hour}, warmWorker("a", address))
	_, err := sendOne(t, g, time.Minute)
	require.NoError(t, err)
	g.cold.newsOld = func() bool { return true }
	_, err = sendOne(t, g, 200*time.Millisecond)
	var refused *WorkersCold
	require.ErrorAs(t, err, &refused)
	require.EqualValues(t, 1, worker.got.Load())
}

// TestWorkersNeedPermitAfterZoneDrainEnds follows a worker that was warm before.
func TestWorkersNeedPermitAfterZoneDrainEnds(t *testing.T) {
	got, address := startCounting(t, http.StatusOK)
	known := warmWorker("a", address)
	known.Zone = "north"
	granter := &passes{after: time.Hour}
	g := coldGateway(granter, known)
	g.options.WatchZoneDrains = true
	g.directory.ReplaceZoneDrains([]string{"south"}, 1)
	_, err := sendOne(t, g, time.Minute)
	require.NoError(t, err)
	require.Zero(t, granter.asked.Load(), "it is warm")
	g.directory.ReplaceZoneDrains([]string{"north"}, 2)
	_, err = sendOne(t, g, 100*time.Millisecond)
	var none *ZonesDrained
	require.ErrorAs(t, err, &none)
	g.directory.ReplaceZoneDrains(nil, 3)
	granter.has.Store(1)
	_, err = sendOne(t, g, time.Minute)
	require.NoError(t, err)
	_, err = sendOne(t, g, 100*time.Millisecond)
	var cold *WorkersCold
	require.ErrorAs(t, err, &cold)
	require.EqualValues(t, 2, got.got.Load())
}

// TestRefusalIsIgnoredOnceWorkerIsWarm holds that a worker which says that it is warm is chosen at
// once, whatever members said of it before.
func TestRefusalIsIgnoredOnceWorkerIsWarm(t *testing.T) {
	got, address := startCounting(t, http.StatusOK)
	g := coldGateway(&passes{after: time.Hour}, coldWorker("a", address))
	_, err := sendOne(t, g, 100*time.Millisecond)
	require.Error(t, err)
	said := warmWorker("a", address)
	g.directory.ApplyWorkerChanges([]directory.Change{{Object: directory.Object{Name: "a", Worker: &said}}}, 9)
	_, err = sendOne(t, g, time.Minute)
	require.NoError(t, err)
	require.EqualValues(t, 1, got.got.Load())
}

func TestNewGatewayHasStaleUpdates(t *testing.T) {
	g := New(Options{Node: "a", Zone: "z", HeaderCodec: silentDialect{}}, nil)
	require.True(t, g.newsAreOld())
	require.True(t, g.cold.newsOld())
}

func TestOneCallRefillsForAllColdWaiters(t *testing.T) {
	cold, address := startCounting(t, http.StatusOK)
	granter := &passes{takes: 10 * time.Millisecond}
	granter.has.Store(1000)
	g := coldGateway(granter, coldWorker("cold", address))
	var sent sync.WaitGroup
	for range 40 {
		sent.Go(func() {
			if _, err := sendOne(t, g, time.Minute); err != nil {
				t.Error(err)
			}
		})
	}
	sent.Wait()
	require.EqualValues(t, 40, cold.got.Load())
	require.Less(t, granter.asked.Load(), int64(40))
	require.GreaterOrEqual(t, granter.granted.Load(), int64(40))
}

func TestServiceWithoutColdSettingNeedsNoPermit(t *testing.T) {
	worker, address := startCounting(t, http.StatusOK)
	g := coldGateway(&passes{after: time.Hour}, coldWorker("cold", address))
	g.directory.ApplyConfiguration(&route.Configuration{Version: 4, Services: map[string]route.Service{"s": {Name: "s"}}})
	_, err := sendOne(t, g, time.Minute)
	require.NoError(t, err)
	require.EqualValues(t, 1, worker.got.Load())
}

// TestOnlySendToUsesPoolSend holds that nothing reaches a worker but through sendTo, which asks for a
// pass.
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
