package quorum

import (
	"context"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/estimate"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

const (
	// firstReturn is how long a majority is expected to be away before any return was
	// seen: processes that are killed answer again after about half a second, and a
	// machine that lost power some 200 ms after its start.
	firstReturn = 700 * time.Millisecond
	// minOutage is how long a round must have found no majority before that is taken for
	// an outage: calls are repeated, and made through other gateways, within it.
	minOutage = 200 * time.Millisecond
	// returnRound bounds one round that looks whether a majority is back.
	returnRound = 2 * time.Second
	// returnInterest is for how long after a request asked about an outage its end is
	// looked for: clients that were told to come back have done so twice.
	returnInterest = 2 * maxComeBack
	// awayLogInterval is how often an outage is logged in which the members say the same.
	awayLogInterval = 10 * time.Second
	// maxComeBack bounds the time after which a client is asked to come back: the end of
	// an outage is not known before, and clients that wait longer than needed lose time.
	maxComeBack = 2 * time.Second
)

// Availability is what is expected of a partition's majority.
type Availability struct {
	// WaitLimit is how long a request that comes now may wait for the majority; 0 where the
	// majority has been away for longer than is usual, and waiting is in vain.
	WaitLimit time.Duration
	// RetryAfter is after what time the majority is likely back, counted from now.
	RetryAfter time.Duration
	// UnavailableFor is how long the majority has been away; 0 while it answers.
	UnavailableFor time.Duration
	// MemberAnswers is what the members said last, while the majority is away.
	MemberAnswers string
}

// outages knows which partitions' majorities are away, since when, and how long that
// usually takes. While one is away, and requests ask for it, a goroutine looks for its
// return, so that requests which are refused meanwhile are not needed to find it.
type outages struct {
	now func() time.Time
	// look returns nil once a majority of a partition answers.
	look func(ctx context.Context, partition uint32) error
	// usual is how long outages took that have ended, writes how long a replica takes to write.
	usual, writes estimate.Latency

	mutex sync.Mutex
	away  map[uint32]*outage
	// counted is when a majority of each partition answered last.
	counted map[uint32]time.Time
}

type outage struct {
	since time.Time
	// asked is when a request last asked about the outage.
	asked time.Time
	// why is what the members said last, told when that was logged last.
	why    string
	logged time.Time
}

// note logs what the members said where that has changed, or has lasted: an outage whose members
// begin to answer, and still do not count, is another matter than one in which they are silent.
func (o *outage) note(now time.Time, partition uint32, why Shortfall) {
	said := why.String()
	if said == o.why && now.Sub(o.logged) < awayLogInterval {
		return
	}
	o.why, o.logged = said, now
	eventMajorityAway.Log("partition", partition, "members", said, "away_ms", now.Sub(o.since).Milliseconds())
}

func newOutages(now func() time.Time, look func(ctx context.Context, partition uint32) error) *outages {
	created := &outages{now: now, look: look, away: make(map[uint32]*outage), counted: make(map[uint32]time.Time)}
	created.usual.SetInitial(firstReturn)
	return created
}

// answered notes that a majority has answered a round.
func (o *outages) answered(partition uint32) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.now()
	o.counted[partition] = now
	if ended := o.away[partition]; ended != nil {
		delete(o.away, partition)
		o.usual.Observe(now.Sub(ended.since))
		eventMajorityBack.Log("partition", partition, "milliseconds", now.Sub(ended.since).Milliseconds())
	}
}

// answeredWithin reports whether a majority of a partition has answered so lately.
func (o *outages) answeredWithin(partition uint32, limit time.Duration) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.away[partition] == nil && o.now().Sub(o.counted[partition]) < limit
}

// unanswered notes a round that found no majority, and when it began. One in which
// another round was answered says nothing, nor does one that had less time than a
// return usually takes and may have ended because its caller left.
func (o *outages) unanswered(partition uint32, began time.Time, why Shortfall) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.now()
	if known := o.away[partition]; known != nil {
		known.note(now, partition, why)
		return
	}
	if o.counted[partition].After(began) || now.Sub(began) < minOutage {
		return
	}
	noted := &outage{since: began, asked: now}
	noted.note(now, partition, why)
	o.away[partition] = noted
	go o.awaitReturn(partition, noted)
}

// outlook returns what is expected of a partition's majority. A request waits for as long as an
// outage usually lasts, and for the write after it: replicas whose disks are slow are not away.
func (o *outages) outlook(partition uint32) Availability {
	usual, write := o.usual.Typical(), o.writes.Typical()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	known := o.away[partition]
	if known == nil {
		return Availability{WaitLimit: usual + write, RetryAfter: usual}
	}
	now := o.now()
	known.asked = now
	away := now.Sub(known.since)
	if left := usual - away; left+write > 0 {
		return Availability{WaitLimit: left + write, RetryAfter: max(left, write), UnavailableFor: away, MemberAnswers: known.why}
	}
	// Past what is usual, nothing better is known than that it may last as long again.
	return Availability{RetryAfter: min(maxComeBack, away), UnavailableFor: away, MemberAnswers: known.why}
}

// awaitReturn makes rounds until a majority answers, or nobody asks any more.
func (o *outages) awaitReturn(partition uint32, noted *outage) {
	for o.wanted(partition, noted) {
		ctx, cancel := context.WithTimeout(context.Background(), returnRound)
		// A round that is answered notes so itself.
		_ = o.look(ctx, partition)
		cancel()
	}
}

// wanted reports whether an outage goes on and was asked about lately. One that nobody
// asks about is forgotten: nobody would see its end.
func (o *outages) wanted(partition uint32, noted *outage) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.away[partition] != noted {
		return false
	}
	if o.now().Sub(noted.asked) > returnInterest {
		delete(o.away, partition)
		return false
	}
	return true
}

// Availability returns what is expected of the majority that keeps a program's records.
func (c *Client) ProgramAvailability(program string) Availability {
	return c.outages.outlook(PartitionOf(program, c.partitions()))
}

// ScopeAvailability returns what is expected of the majority that keeps the turns of a scope.
func (c *Client) ScopeAvailability(scope Scope) Availability {
	partition, err := c.TurnPartition(scope)
	if err != nil {
		return Availability{}
	}
	return c.outages.outlook(partition)
}

// lookFor makes rounds without records until a majority of a partition answers.
func (c *Client) lookFor(ctx context.Context, partition uint32) error {
	_, err := c.appendTo(ctx, func() *replicav1.Group { return c.groups.Group(partition) }, c.policy(nil), &replicav1.AppendRequest{})
	return err
}
