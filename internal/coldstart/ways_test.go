package coldstart

import (
	"fmt"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/limit"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// bears is what a cold worker bears in these tests, usual by how much it may be exceeded:
// 39.5 requests in a second.
var (
	bears = route.Cold{For: coldFor, PerSecond: 23}
	usual = quota.Tolerance{Window: time.Second, Overshoot: 0.5, Slack: 5}
)

// way is a way to keep what all gateways send to a cold worker within what it bears.
type way interface {
	// pass reports whether a gateway may send a request to the worker now.
	pass(w *world, from *process) bool
	// ask lets a gateway ask a member for so many requests; the answer takes a time, or is
	// lost.
	ask(w *world, from *process, member, wanted int, delay time.Duration, lost bool)
}

// world is a worker, gateways that each hear of it in their own time, and members of a
// group, on a simulated clock.
type world struct {
	now       time.Time
	way       way
	tolerance quota.Tolerance
	members   []member
	processes []*process
	// sent are the times at which requests were sent to the worker: the oracle's whole
	// knowledge.
	sent   []time.Time
	broken breakage
}

// member is one life of a member.
type member struct {
	granter *quota.Granter
	since   time.Time
}

// process is one life of a gateway.
type process struct {
	*heardOf
	allowance quota.Allowance
	// crowd is how many gateways it believes there are; bucket is its part of the worker.
	crowd       int
	bucket      limit.Bucket
	pausedUntil time.Time
	inFlight    []answer
}

type answer struct {
	asked, arrives time.Time
	grant          quota.Grant
}

// breakage is a deliberate fault.
type breakage int

const (
	sound breakage = iota
	// grantOutlives lets gateways use what they were granted for ever.
	grantOutlives
	// startsWarm lets a process that starts take its first list at its word.
	startsWarm
	// drainEndIsWarm lets workers be warm after their zone's drain.
	drainEndIsWarm
	// resumesWithoutPass lets streams be taken up at a worker without a pass.
	resumesWithoutPass
	// bornFull lets a member that starts grant as if it had always been there.
	bornFull
)

func newWorld(way way, members, gateways int, broken breakage) *world {
	w := &world{now: time.Unix(1000, 0), way: way, tolerance: usual, broken: broken}
	for range members {
		w.members = append(w.members, w.newMember())
	}
	for range gateways {
		w.processes = append(w.processes, w.newProcess(gateways))
	}
	return w
}

func (w *world) newMember() member {
	since := w.now
	if w.broken == bornFull {
		since = since.Add(-time.Hour)
	}
	return member{granter: quota.NewGranter(w.tolerance), since: since}
}

func (w *world) newProcess(crowd int) *process {
	h := newHeardOf(&bears)
	h.now = w.now
	return &process{heardOf: h, crowd: crowd, bucket: limit.Bucket{Updated: w.now}}
}

// step lets time pass and takes in what arrives.
func (w *world) step(by time.Duration) {
	w.now = w.now.Add(by)
	for _, each := range w.processes {
		each.now = w.now
		each.inFlight = slices.DeleteFunc(each.inFlight, func(arriving answer) bool {
			if w.now.Before(arriving.arrives) || w.now.Before(each.pausedUntil) {
				return false
			}
			each.allowance.AddGrant(arriving.asked, arriving.grant)
			return true
		})
	}
}

// send lets a gateway send a request to the worker, and reports whether it did. A resumed
// one goes on with a stream that has begun there.
func (w *world) send(from *process, resumed bool) bool {
	if w.now.Before(from.pausedUntil) {
		return false
	}
	reason := from.reason("a")
	switch {
	case reason == Warm, w.broken == startsWarm && reason == InitialList, w.broken == drainEndIsWarm && reason == DrainEnded,
		w.broken == resumesWithoutPass && resumed, w.way.pass(w, from):
		w.sent = append(w.sent, w.now)
		return true
	}
	return false
}

// check is the slow and plain oracle: it counts each sliding second.
func (w *world) check() error {
	most := bears.PerSecond*(1+w.tolerance.Overshoot) + w.tolerance.Slack
	if worst := w.worst(); float64(worst) > most {
		return fmt.Errorf("%d requests in a second, %v at most", worst, most)
	}
	return nil
}

// worst returns the most requests that were sent in one second.
func (w *world) worst() (worst int) {
	slices.SortFunc(w.sent, time.Time.Compare)
	for first, begin := range w.sent {
		end, _ := slices.BinarySearchFunc(w.sent, begin.Add(w.tolerance.Window), time.Time.Compare)
		worst = max(worst, end-first)
	}
	return worst
}

// grants is the way that was taken: members grant passes for a short time.
type grants struct{}

func (grants) pass(w *world, from *process) bool {
	_, found := from.allowance.Take(w.now, false)
	return found
}

func (grants) ask(w *world, from *process, to, wanted int, delay time.Duration, lost bool) {
	granted := w.members[to].granter.Grant(w.now, quota.GrantRequest{
		Tenant: "a", Limit: quota.Limit{Rate: bears.PerSecond, Version: 1}, Members: len(w.members),
		SeatSince: w.members[to].since, Wanted: wanted,
	})
	if lost || granted.Requests == 0 {
		return
	}
	asked := w.now
	if w.broken == grantOutlives {
		asked = asked.Add(time.Hour)
	}
	from.inFlight = append(from.inFlight, answer{asked: asked, arrives: w.now.Add(delay), grant: granted})
}

// parts is the way in which each gateway takes the same part of what the worker bears,
// by how many gateways it knows. A part holds one request at least: else a part of
// 10.25/68 requests would never let one through.
type parts struct{}

func (parts) pass(w *world, from *process) bool {
	share := float64(from.crowd)
	capacity := w.tolerance.Overshoot*bears.PerSecond + w.tolerance.Slack
	from.bucket.Refill(w.now, limit.Rate(bears.PerSecond/share), max(1, capacity/share))
	if from.bucket.Tokens < 1 {
		return false
	}
	from.bucket.Tokens--
	return true
}

func (parts) ask(*world, *process, int, int, time.Duration, bool) {}

// unbounded is the way before: nothing holds a request back.
type unbounded struct{}

func (unbounded) pass(*world, *process) bool { return true }

func (unbounded) ask(*world, *process, int, int, time.Duration, bool) {}
