package quorum

import (
	"context"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

const (
	// initialOutageEstimate is the expected duration of an outage before any was observed. A
	// killed process answers again after about half a second, and a machine that lost power about
	// 200 ms after its start.
	initialOutageEstimate = 700 * time.Millisecond
	// minOutageDuration is how long a round must have found no majority before that counts as an
	// outage. Within that time, calls are repeated and made through other gateways.
	minOutageDuration = 200 * time.Millisecond
	// recoveryProbeTimeout limits one round that checks whether a majority answers again.
	recoveryProbeTimeout = 2 * time.Second
	// recoveryProbeIdleLimit is how long a majority is probed after a request last asked about
	// its outage. By then, clients that were told to retry have done so twice.
	recoveryProbeIdleLimit = 2 * maxRetryAfter
	// maxRetryAfter limits the retry delay given to clients. The end of an outage is not known in
	// advance, and clients that wait longer than needed lose time.
	maxRetryAfter = 2 * time.Second
)

// Availability is the expected availability of a partition's majority.
type Availability struct {
	// WaitLimit is how long a request that arrives now may wait for the majority. It is 0 if the
	// outage has lasted longer than usual, so that waiting is not worthwhile.
	WaitLimit time.Duration
	// RetryAfter is the time from now after which the majority is likely to be available again.
	RetryAfter time.Duration
	// UnavailableFor is how long the majority has been unavailable; 0 while it answers.
	UnavailableFor time.Duration
	// MemberAnswers describes the members' latest answers while the majority is unavailable.
	MemberAnswers string
}

// outages tracks which partitions' majorities are unavailable, since when, and how long outages
// usually last. While a majority is unavailable and requests ask about it, a goroutine probes it,
// so that recovery is detected although requests are refused.
type outages struct {
	now func() time.Time
	// probe returns nil once a majority of a partition answers.
	probe func(ctx context.Context, partition uint32) error
	// outageDurations are the durations of past outages, writeLatency is how long a replica takes
	// to write.
	outageDurations, writeLatency estimate.Latency

	mutex  sync.Mutex
	active map[uint32]*outage
	// lastAnswered is when a majority of each partition last answered.
	lastAnswered map[uint32]time.Time
}

type outage struct {
	since time.Time
	// lastQueried is when a request last asked about the outage.
	lastQueried time.Time
	// memberAnswers describes the members' latest answers, loggedAt is when these were last
	// logged. memberLogs are the last log lines about each member, by node.
	memberAnswers string
	loggedAt      time.Time
	memberLogs    map[string]memberLog
}

func newOutages(now func() time.Time, probe func(ctx context.Context, partition uint32) error) *outages {
	created := &outages{now: now, probe: probe, active: make(map[uint32]*outage), lastAnswered: make(map[uint32]time.Time)}
	created.outageDurations.SetInitial(initialOutageEstimate)
	return created
}

// majorityAnswered records that a majority has answered a round.
func (o *outages) majorityAnswered(partition uint32) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.now()
	o.lastAnswered[partition] = now
	if recovered := o.active[partition]; recovered != nil {
		delete(o.active, partition)
		o.outageDurations.Observe(now.Sub(recovered.since))
		eventMajorityRecovered.Log("partition", partition, "milliseconds", now.Sub(recovered.since).Milliseconds())
	}
}

// majorityAnsweredWithin reports whether a majority of a partition has answered within the limit
// and is not known to be unavailable since.
func (o *outages) majorityAnsweredWithin(partition uint32, limit time.Duration) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.active[partition] == nil && o.now().Sub(o.lastAnswered[partition]) < limit
}

// majorityMissing records a round that found no majority, with its start time. The round is
// ignored if another round was answered in the meantime, or if it was shorter than
// minOutageDuration: its caller may have left.
func (o *outages) majorityMissing(partition uint32, startedAt time.Time, shortfall Shortfall) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.now()
	if current := o.active[partition]; current != nil {
		current.logMembers(now, partition, shortfall)
		return
	}
	if o.lastAnswered[partition].After(startedAt) || now.Sub(startedAt) < minOutageDuration {
		return
	}
	started := &outage{since: startedAt, lastQueried: now}
	started.logMembers(now, partition, shortfall)
	o.active[partition] = started
	go o.probeUntilRecovered(partition, started)
}

// availability returns the expected availability of a partition's majority. A request waits for
// the rest of a typical outage and for the write after it, because replicas with slow disks are
// not unavailable.
func (o *outages) availability(partition uint32) Availability {
	typicalOutage, typicalWrite := o.outageDurations.Typical(), o.writeLatency.Typical()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	current := o.active[partition]
	if current == nil {
		return Availability{WaitLimit: typicalOutage + typicalWrite, RetryAfter: typicalOutage}
	}
	now := o.now()
	current.lastQueried = now
	unavailableFor := now.Sub(current.since)
	if remaining := typicalOutage - unavailableFor; remaining+typicalWrite > 0 {
		return Availability{WaitLimit: remaining + typicalWrite, RetryAfter: max(remaining, typicalWrite), UnavailableFor: unavailableFor, MemberAnswers: current.memberAnswers}
	}
	// The outage has lasted longer than usual. The best estimate is that it will last as long
	// again.
	return Availability{RetryAfter: min(maxRetryAfter, unavailableFor), UnavailableFor: unavailableFor, MemberAnswers: current.memberAnswers}
}

// probeUntilRecovered makes rounds until a majority answers or no request asks about the outage
// any more.
func (o *outages) probeUntilRecovered(partition uint32, current *outage) {
	for o.probeNeeded(partition, current) {
		ctx, cancel := context.WithTimeout(context.Background(), recoveryProbeTimeout)
		// A successful round calls majorityAnswered itself.
		_ = o.probe(ctx, partition)
		cancel()
	}
}

// probeNeeded reports whether an outage continues and a request has asked about it recently. It
// drops an outage that no request asks about.
func (o *outages) probeNeeded(partition uint32, current *outage) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.active[partition] != current {
		return false
	}
	if o.now().Sub(current.lastQueried) > recoveryProbeIdleLimit {
		delete(o.active, partition)
		return false
	}
	return true
}

// ProgramAvailability returns the expected availability of the majority that stores a program's
// budget records.
func (c *Client) ProgramAvailability(program string) Availability {
	return c.outages.availability(PartitionOf(program, c.budgetPartitionCount()))
}

// ScopeAvailability returns the expected availability of the majority that stores the turns of a
// scope.
func (c *Client) ScopeAvailability(scope Scope) Availability {
	partition, err := c.TurnPartition(scope)
	if err != nil {
		return Availability{}
	}
	return c.outages.availability(partition)
}

// probeMajority makes rounds without records until a majority of a partition answers. Each member
// reports its state, for the log.
func (c *Client) probeMajority(ctx context.Context, partition uint32) error {
	request := &replicav1.AppendRequest{Report: true}
	_, err := c.appendToGroup(ctx, func() *replicav1.Group { return c.groups.Group(partition) }, c.regionPolicy(nil), request)
	return err
}
