package hollow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/membership"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// site is one of the places that watch each other.
type site struct {
	node   structs.Node
	number uint64
	failed time.Duration
	down   bool
	// peers are its links from the other sites, by their index.
	peers []*watchedLink
}

// watchedLink is what a site holds of another.
type watchedLink struct {
	estimator membership.Estimator
	suspected bool
	// detected is set once the present failure of the peer was suspected.
	detected bool
	check    uint64
	// adopted are the sites whose suspicion was taken over; gap is how much
	// more stable a link of that peer must be, and told counts its heartbeats
	// in a row that suspect.
	adopted []int
	gap     float64
	told    []int
}

// comparison is one run of one detector.
type comparison struct {
	detector   detector
	period     time.Duration
	random     *rand.Rand
	queue      queue
	network    *network
	sites      []*site
	detections []time.Duration
	mistakes   int
	missed     int
	heartbeats int
	bytes      int64
}

func newComparison(d detector, seed uint64, period, margin time.Duration) *comparison {
	c := &comparison{
		detector: d,
		period:   period,
		random:   rand.New(rand.NewPCG(seed, 2)),
		network:  newNetwork(seed, 0),
	}
	for i := range siteCount {
		newEstimator := d.links(period, margin)
		s := &site{node: structs.Node{Zone: structs.ZoneName(fmt.Sprintf("site-%d", i)), Region: fmt.Sprintf("place-%d", i)}}
		for range siteCount {
			s.peers = append(s.peers, &watchedLink{estimator: newEstimator(), gap: initialGap, told: make([]int, siteCount)})
		}
		c.sites = append(c.sites, s)
	}
	return c
}

func (c *comparison) run(duration time.Duration) {
	for i, s := range c.sites {
		c.queue.after(time.Duration(c.random.Int64N(int64(c.period))), func() { c.beat(i, s) })
	}
	c.queue.after(failureEvery, c.failOne)
	c.queue.runUntil(duration)
}

// beat sends a site's heartbeat to all others.
func (c *comparison) beat(from int, s *site) {
	c.queue.after(c.period, func() { c.beat(from, s) })
	// Numbers go on during a failure: it is the network that drops them.
	s.number++
	if s.down {
		return
	}
	number := s.number
	told := c.telling(s)
	for to, other := range c.sites {
		if to == from {
			continue
		}
		c.bytes += int64(heartbeatBytes + MessageOverheadBytes + told.size())
		delay, arrives := c.network.deliver(c.queue.now, s.node, other.node)
		if arrives {
			c.queue.after(delay, func() { c.arrive(from, to, number, told) })
		}
	}
}

// arrive handles a heartbeat. One that was under way when its sender failed is
// dropped, as in the paper's own injection of failures.
func (c *comparison) arrive(from, to int, number uint64, told *suspicions) {
	if c.sites[from].down {
		return
	}
	c.heartbeats++
	link := c.sites[to].peers[from]
	now := epoch.Add(c.queue.now)
	if link.suspected {
		link.estimator.Mistake()
		c.forgive(to, link)
	}
	link.suspected = false
	link.estimator.Heartbeat(now, number)
	c.adopt(from, to, told)
	c.arm(from, to, link)
}

// arm waits for the link's deadline.
func (c *comparison) arm(from, to int, link *watchedLink) {
	link.check++
	check := link.check
	wait := link.estimator.Deadline().Sub(epoch) - c.queue.now
	c.queue.after(wait, func() {
		if link.check == check {
			c.expire(from, to, link, check)
		}
	})
}

// expire suspects at once or after a probe.
func (c *comparison) expire(from, to int, link *watchedLink, check uint64) {
	if c.sites[to].down {
		return
	}
	if c.detector.cooperation != CooperationProbe {
		c.suspect(from, to, link)
		return
	}
	timeout := membership.DefaultTiming().ProbeTimeout
	answer, answered := c.probe(from, to)
	if answered && answer <= timeout {
		c.queue.after(answer, func() {
			if link.check == check {
				c.rearm(from, to, link)
			}
		})
		return
	}
	c.queue.after(timeout, func() {
		if link.check == check {
			c.suspect(from, to, link)
		}
	})
}

// rearm trusts a peer that answered for another period.
func (c *comparison) rearm(from, to int, link *watchedLink) {
	link.check++
	check := link.check
	c.queue.after(c.period, func() {
		if link.check == check {
			c.expire(from, to, link, check)
		}
	})
}

func (c *comparison) suspect(from, to int, link *watchedLink) {
	if link.suspected {
		return
	}
	link.suspected = true
	peer := c.sites[from]
	if !peer.down {
		c.mistakes++
		return
	}
	if !link.detected {
		link.detected = true
		c.detections = append(c.detections, c.queue.now-peer.failed)
	}
}

// probe draws the first answer to a direct ping and to two indirect ones.
func (c *comparison) probe(from, to int) (time.Duration, bool) {
	paths := [][]int{{to, from, to}}
	for range 2 {
		helper := c.random.IntN(siteCount)
		if helper != from && helper != to {
			paths = append(paths, []int{to, helper, from, helper, to})
		}
	}
	best, answered := time.Duration(0), false
	for _, path := range paths {
		took, arrived := c.travel(path)
		if arrived && (!answered || took < best) {
			best, answered = took, true
		}
	}
	return best, answered
}

// travel draws the time along a path; every site on it must run.
func (c *comparison) travel(path []int) (time.Duration, bool) {
	var total time.Duration
	for i := 1; i < len(path); i++ {
		c.bytes += probeBytes + MessageOverheadBytes
		delay, arrives := c.network.deliver(c.queue.now+total, c.sites[path[i-1]].node, c.sites[path[i]].node)
		if !arrives || c.sites[path[i]].down {
			return 0, false
		}
		total += delay
	}
	return total, true
}

// failOne stops one site for a while.
func (c *comparison) failOne() {
	c.queue.after(failureEvery, c.failOne)
	failed := c.random.IntN(siteCount)
	s := c.sites[failed]
	s.down, s.failed = true, c.queue.now
	for _, other := range c.sites {
		other.peers[failed].detected = other.peers[failed].suspected
	}
	c.queue.after(failureLength, func() {
		for i, other := range c.sites {
			if i != failed && !other.peers[failed].detected {
				c.missed++
			}
		}
		s.down = false
		// While it was down its own timers meant nothing.
		for i, link := range s.peers {
			link.suspected = false
			if i != failed {
				c.rearm(i, failed, link)
			}
		}
	})
}
