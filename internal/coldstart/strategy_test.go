package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

// runLoad makes all gateways send requests to the worker for a time. Each gateway has the given
// number of requests per tick.
func (s *simulation) runLoad(duration time.Duration, requests int) {
	const tick = 10 * time.Millisecond
	for range duration / tick {
		for i, sender := range s.gateways {
			for range requests {
				if !s.send(sender, false) {
					s.strategy.requestGrant(s, sender, i%max(1, len(s.members)), 1, 2*time.Millisecond, false)
					break
				}
			}
		}
		s.step(tick)
	}
}

func (s *simulation) announceWorker() {
	for _, receiver := range s.gateways {
		receiver.listWorkers(workerEntry("b", 0))
		receiver.updateWorker(workerEntry("a", coldFor))
	}
}

// TestStrategiesForReturningWorker is the comparison referred to in docs/design/newcomers.md. 68
// gateways learn simultaneously that a worker has returned, and each has requests for it.
func TestStrategiesForReturningWorker(t *testing.T) {
	run := func(strategy strategy, prepare func(s *simulation)) (maximum, sent int) {
		s := newSimulation(strategy, 5, 68, noFault)
		s.step(time.Minute)
		if prepare != nil {
			prepare(s)
		}
		s.announceWorker()
		s.runLoad(4*time.Second, 1)
		return s.maxPerWindow(), len(s.sentAt)
	}
	maximum, sent := run(grantStrategy{}, nil)
	require.LessOrEqual(t, maximum, 39)
	require.GreaterOrEqual(t, sent, 4*20, "the worker's capacity must be used")
	maximum, _ = run(unlimited{}, nil)
	require.GreaterOrEqual(t, maximum, 68, "all gateways send their first request simultaneously")
	maximum, _ = run(equalShares{}, nil)
	require.GreaterOrEqual(t, maximum, 68, "each share allows at least one request")
	maximum, _ = run(equalShares{}, func(s *simulation) {
		for _, uninformed := range s.gateways[:34] {
			uninformed.knownGateways = 8
		}
	})
	require.Greater(t, maximum, 39, "the gateways' known gateway counts differ")
}

// TestEqualSharesExceedLimitWhenGatewayCountsDiffer checks that equal shares do not enforce the
// limit even if each share is larger than one request.
func TestEqualSharesExceedLimitWhenGatewayCountsDiffer(t *testing.T) {
	s := newSimulation(equalShares{}, 5, 8, noFault)
	s.step(time.Minute)
	s.announceWorker()
	s.runLoad(4*time.Second, 20)
	require.NoError(t, s.check(), "all gateways know that there are eight")
	s = newSimulation(equalShares{}, 5, 8, noFault)
	s.step(time.Minute)
	for _, uninformed := range s.gateways[4:] {
		uninformed.knownGateways = 1
	}
	s.announceWorker()
	s.runLoad(4*time.Second, 20)
	require.Error(t, s.check(), "four gateways that have just started only know themselves")
}

// TestLeastLoadedChoiceOverloadsReturningWorker shows that a load balancer without an additional
// limit overloads a returning worker. The worker has no requests in flight, so it is the least
// loaded one at each gateway until it has about as many there as the others. With n requests in
// flight at each other worker, each gateway immediately sends it n-2 requests, or at least n-1 if
// its hash ranks first: 68 x 6 = 408 for n = 8.
func TestLeastLoadedChoiceOverloadsReturningWorker(t *testing.T) {
	const gateways, inFlight, workers = 68, 8, 6
	now := time.Unix(1000, 0)
	var listed []*directory.WorkerRecord
	for i := range workers {
		listed = append(listed, &directory.WorkerRecord{Worker: directory.Worker{ID: fmt.Sprintf("w%d", i)}})
	}
	returning := &directory.WorkerRecord{Worker: directory.Worker{ID: "back"}}
	sent := 0
	for range gateways {
		balancer := balance.New(func() time.Time { return now }, "")
		for _, busy := range listed {
			for range inFlight {
				balancer.Begin(busy.ID)
			}
		}
		for number := range inFlight - 2 {
			chosen, found := balancer.Choose(append([]*directory.WorkerRecord{returning}, listed...), balance.Request{Affinity: fmt.Sprint("program-", number), Service: "model"})
			require.True(t, found)
			if chosen.ID == returning.ID {
				sent++
			}
		}
	}
	require.Greater(t, sent, 39, "the worker's capacity is 39.5 requests in a second")
	require.Equal(t, gateways*(inFlight-2), sent)
}

func TestColdWorkerIsNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(grantStrategy{}, rapid.IntRange(1, 5).Draw(t, "members"), rapid.IntRange(1, 8).Draw(t, "gateways"), noFault)
		s.step(time.Duration(rapid.IntRange(0, 5000).Draw(t, "calm")) * time.Millisecond)
		s.runRandom(t)
		require.NoError(t, s.check())
	})
}

// runRandom runs randomly drawn actions: answers are delayed or lost, gateways pause or restart,
// and members are killed. The worker is cold during the whole run. Either it reports that, or its
// new entry does not contain it yet.
func (s *simulation) runRandom(t *rapid.T) {
	s.announceWorker()
	startedAt := s.now
	actions := rapid.IntRange(0, 99)
	for range rapid.IntRange(50, 300).Draw(t, "steps") {
		if s.now.Sub(startedAt) > coldFor-time.Second {
			return
		}
		number := rapid.IntRange(0, len(s.gateways)-1).Draw(t, "gateway")
		current := s.gateways[number]
		switch action := actions.Draw(t, "action"); {
		case action < 40:
			delay := time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond
			member := rapid.IntRange(0, len(s.members)-1).Draw(t, "member")
			s.strategy.requestGrant(s, current, member, rapid.IntRange(1, 64).Draw(t, "wanted"), delay, action > 36)
		case action < 80:
			for range rapid.IntRange(1, 64).Draw(t, "requests") {
				s.send(current, action < 50)
			}
		case action < 94:
			s.step(time.Duration(rapid.IntRange(1, 400).Draw(t, "milliseconds")) * time.Millisecond)
		case action < 96:
			current.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "pause")) * time.Millisecond)
		case action < 98:
			s.members[rapid.IntRange(0, len(s.members)-1).Draw(t, "killed")] = s.newMember()
		default:
			restarted := s.newGateway(len(s.gateways))
			restarted.listWorkers(workerEntry("a", rapid.SampledFrom([]time.Duration{0, coldFor}).Draw(t, "first")))
			if rapid.Bool().Draw(t, "told") {
				restarted.updateWorker(workerEntry("a", coldFor))
			}
			s.gateways[number] = restarted
			if restarted.reason("a") != Reported {
				// If the initial list hides that the worker is cold, the gateway only learns it
				// within MaxEntryAge.
				return
			}
		}
	}
}

// requestAndSendAll makes all gateways request and send as much as possible, repeatedly.
func (s *simulation) requestAndSendAll(duration time.Duration) {
	const tick = 50 * time.Millisecond
	for range duration / tick {
		for _, current := range s.gateways {
			for member := range s.members {
				s.strategy.requestGrant(s, current, member, 64, 0, false)
			}
		}
		s.step(0)
		for _, current := range s.gateways {
			for s.send(current, false) && len(s.sentAt) < 1<<12 {
			}
		}
		s.step(tick)
	}
}

// requestWithoutSending makes all gateways request as much as possible and keep it until just
// before it expires.
func (s *simulation) requestWithoutSending(rounds int) {
	for range rounds {
		for _, requester := range s.gateways {
			for member := range s.members {
				s.strategy.requestGrant(s, requester, member, 64, 0, false)
			}
		}
		s.step(quota.GrantLifetime - time.Millisecond)
	}
}

func TestFaultsAreDetected(t *testing.T) {
	for name, test := range map[string]struct {
		fault faultKind
		run   func(s *simulation)
	}{
		"a grant is used after its lifetime": {grantNeverExpires, func(s *simulation) {
			s.announceWorker()
			s.requestWithoutSending(10)
			s.requestAndSendAll(time.Second)
		}},
		// The initial list is outdated: the worker has become cold since, and its new entry is in
		// transit.
		"a starting process trusts its initial list": {trustsInitialList, func(s *simulation) {
			for _, current := range s.gateways {
				current.listWorkers(workerEntry("a", 0))
			}
			s.requestAndSendAll(MaxEntryAge - time.Second)
		}},
		"workers count as warm after a drain": {ignoresDrainEnd, func(s *simulation) {
			for _, current := range s.gateways {
				current.listWorkers(workerEntry("a", 0))
				current.setDrainedZones("zone-a")
			}
			s.step(time.Minute)
			for _, current := range s.gateways {
				current.setDrainedZones()
			}
			s.requestAndSendAll(coldFor - time.Second)
		}},
		"a stream is resumed without a permit": {resumesWithoutPermit, func(s *simulation) {
			s.announceWorker()
			s.requestAndSendAll(time.Second)
			for _, current := range s.gateways {
				for range 10 {
					s.send(current, true)
				}
			}
		}},
		"a member starts with a full share": {startsFull, func(s *simulation) {
			s.announceWorker()
			for range 10 {
				s.requestAndSendAll(100 * time.Millisecond)
				for i := range s.members {
					s.members[i] = s.newMember()
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			correct := newSimulation(grantStrategy{}, 5, 6, noFault)
			correct.step(time.Minute)
			test.run(correct)
			require.NoError(t, correct.check())
			require.NotEmpty(t, correct.sentAt)
			faulty := newSimulation(grantStrategy{}, 5, 6, test.fault)
			faulty.step(time.Minute)
			test.run(faulty)
			require.Error(t, faulty.check())
		})
	}
}
