package coldstart

import (
	"fmt"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/limit"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// coldCapacity is the capacity of a cold worker in these tests. With testTolerance, it allows
// 39.5 requests in a second.
var (
	coldCapacity  = route.Cold{For: coldFor, PerSecond: 23}
	testTolerance = quota.Tolerance{Window: time.Second, Overshoot: 0.5, Slack: 5}
)

// strategy limits the requests that all gateways send to a cold worker.
type strategy interface {
	// allow reports whether a gateway may send a request to the worker now.
	allow(s *simulation, sender *gateway) bool
	// requestGrant makes a gateway ask a member for a number of requests. The answer arrives
	// after the delay, or is lost.
	requestGrant(s *simulation, requester *gateway, member, wanted int, delay time.Duration, lost bool)
}

// simulation runs a worker, gateways that receive updates about it at different times, and the
// members of a group, on a simulated clock.
type simulation struct {
	now       time.Time
	strategy  strategy
	tolerance quota.Tolerance
	members   []member
	gateways  []*gateway
	// sentAt are the times at which requests were sent to the worker. The check uses nothing
	// else.
	sentAt []time.Time
	fault  faultKind
}

// member is one run of a member's process.
type member struct {
	granter *quota.Granter
	since   time.Time
}

// gateway is one run of a gateway's process.
type gateway struct {
	*testProcess
	allowance quota.Allowance
	// knownGateways is the number of gateways that it knows of. bucket is its share of the
	// worker's capacity.
	knownGateways int
	bucket        limit.Bucket
	pausedUntil   time.Time
	pendingGrants []pendingGrant
}

type pendingGrant struct {
	requestedAt, arrivesAt time.Time
	grant                  quota.Grant
}

// faultKind is a deliberate fault.
type faultKind int

const (
	noFault faultKind = iota
	// grantNeverExpires lets gateways use grants without a time limit.
	grantNeverExpires
	// trustsInitialList makes a starting process trust its initial list.
	trustsInitialList
	// ignoresDrainEnd makes workers count as warm after the drain of their zone.
	ignoresDrainEnd
	// resumesWithoutPermit lets streams be resumed at a worker without a permit.
	resumesWithoutPermit
	// startsFull makes a restarted member grant as if it had been running for a long time.
	startsFull
)

func newSimulation(strategy strategy, members, gateways int, fault faultKind) *simulation {
	s := &simulation{now: time.Unix(1000, 0), strategy: strategy, tolerance: testTolerance, fault: fault}
	for range members {
		s.members = append(s.members, s.newMember())
	}
	for range gateways {
		s.gateways = append(s.gateways, s.newGateway(gateways))
	}
	return s
}

func (s *simulation) newMember() member {
	since := s.now
	if s.fault == startsFull {
		since = since.Add(-time.Hour)
	}
	return member{granter: quota.NewGranter(s.tolerance), since: since}
}

func (s *simulation) newGateway(knownGateways int) *gateway {
	process := newTestProcess(&coldCapacity)
	process.now = s.now
	return &gateway{testProcess: process, knownGateways: knownGateways, bucket: limit.Bucket{Updated: s.now}}
}

// step advances the clock and delivers pending answers.
func (s *simulation) step(by time.Duration) {
	s.now = s.now.Add(by)
	for _, current := range s.gateways {
		current.now = s.now
		current.pendingGrants = slices.DeleteFunc(current.pendingGrants, func(pending pendingGrant) bool {
			if s.now.Before(pending.arrivesAt) || s.now.Before(current.pausedUntil) {
				return false
			}
			current.allowance.AddGrant(pending.requestedAt, pending.grant)
			return true
		})
	}
}

// send makes a gateway send a request to the worker, and reports whether it did. A resumed
// request continues a stream that was started there.
func (s *simulation) send(sender *gateway, resumed bool) bool {
	if s.now.Before(sender.pausedUntil) {
		return false
	}
	reason := sender.reason("a")
	switch {
	case reason == Warm, s.fault == trustsInitialList && reason == InitialList, s.fault == ignoresDrainEnd && reason == DrainEnded,
		s.fault == resumesWithoutPermit && resumed, s.strategy.allow(s, sender):
		s.sentAt = append(s.sentAt, s.now)
		return true
	}
	return false
}

// check is a slow but simple reference check that counts each sliding second.
func (s *simulation) check() error {
	allowed := coldCapacity.PerSecond*(1+s.tolerance.Overshoot) + s.tolerance.Slack
	if sent := s.maxPerWindow(); float64(sent) > allowed {
		return fmt.Errorf("%d requests in a second, %v at most", sent, allowed)
	}
	return nil
}

// maxPerWindow returns the maximum number of requests sent within one second.
func (s *simulation) maxPerWindow() (maximum int) {
	slices.SortFunc(s.sentAt, time.Time.Compare)
	for first, begin := range s.sentAt {
		end, _ := slices.BinarySearchFunc(s.sentAt, begin.Add(s.tolerance.Window), time.Time.Compare)
		maximum = max(maximum, end-first)
	}
	return maximum
}

// grantStrategy is the strategy in use: members grant permits for a short time.
type grantStrategy struct{}

func (grantStrategy) allow(s *simulation, sender *gateway) bool {
	_, found := sender.allowance.Take(s.now, false)
	return found
}

func (grantStrategy) requestGrant(s *simulation, requester *gateway, member, wanted int, delay time.Duration, lost bool) {
	granted := s.members[member].granter.Grant(s.now, quota.GrantRequest{
		Tenant: "a", Limit: quota.Limit{Rate: coldCapacity.PerSecond, Version: 1}, Members: len(s.members),
		SeatSince: s.members[member].since, Wanted: wanted,
	})
	if lost || granted.Requests == 0 {
		return
	}
	requestedAt := s.now
	if s.fault == grantNeverExpires {
		requestedAt = requestedAt.Add(time.Hour)
	}
	requester.pendingGrants = append(requester.pendingGrants, pendingGrant{requestedAt: requestedAt, arrivesAt: s.now.Add(delay), grant: granted})
}

// equalShares gives each gateway an equal share of the worker's capacity, based on the number of
// gateways that it knows. A share allows at least one request, because a share of 10.25/68
// requests would never allow any.
type equalShares struct{}

func (equalShares) allow(s *simulation, sender *gateway) bool {
	gatewayCount := float64(sender.knownGateways)
	capacity := s.tolerance.Overshoot*coldCapacity.PerSecond + s.tolerance.Slack
	sender.bucket.Refill(s.now, limit.Rate(coldCapacity.PerSecond/gatewayCount), max(1, capacity/gatewayCount))
	if sender.bucket.Tokens < 1 {
		return false
	}
	sender.bucket.Tokens--
	return true
}

func (equalShares) requestGrant(*simulation, *gateway, int, int, time.Duration, bool) {}

// unlimited does not limit requests, as in an earlier implementation.
type unlimited struct{}

func (unlimited) allow(*simulation, *gateway) bool { return true }

func (unlimited) requestGrant(*simulation, *gateway, int, int, time.Duration, bool) {}
