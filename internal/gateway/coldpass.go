package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/balance"
	"github.com/barleyshelf/barleyshelf/internal/coldstart"
	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

const (
	// coldPassWait bounds how long a request waits for a pass to a cold worker: the next
	// member is asked after 40 ms and then has the time to answer. Callers lose that much
	// before another worker is chosen.
	coldPassWait = 60 * time.Millisecond
	// coldUnknownFor is for how long no member is asked again for a worker after none has
	// answered: each question keeps a request for coldPassWait.
	coldUnknownFor = 100 * time.Millisecond
	// coldResumeWait is for how long a stream that broke waits for a pass to its worker:
	// longer than lastColdPause, so that members are asked once more at least. Its caller
	// sees a pause instead of a broken answer.
	coldResumeWait = 600 * time.Millisecond
	// firstColdPause and lastColdPause bound the pause after which members that had nothing
	// for a worker are asked again; it doubles with each refusal in a row. With many
	// gateways the next request to grant is mostly another one's.
	firstColdPause = 20 * time.Millisecond
	lastColdPause  = 500 * time.Millisecond
	// oldNews is from which age on the word of the platform's store says nothing of which
	// workers are cold now; it is asked for several times a second.
	oldNews = 2 * time.Second
)

// coldWorkers keeps which workers are cold, and what this gateway may send to them.
type coldWorkers struct {
	tracker    *coldstart.Tracker
	allowances allowances
	// refusedUntil is when the last refusal of any worker ends, in nanoseconds since
	// began.
	began        time.Time
	refusedUntil atomic.Int64
	// newsOld reports whether nothing was heard lately of which workers are cold.
	newsOld func() bool
}

func newColdWorkers(newsOld func() bool) *coldWorkers {
	return &coldWorkers{tracker: coldstart.NewTracker(time.Now, logCold), began: time.Now(), newsOld: newsOld}
}

// mostColdNamed bounds the workers that one line of the log names.
const mostColdNamed = 20

func logCold(reason coldstart.Reason, workers []string) {
	eventCold.Log("why", string(reason), "count", len(workers), "workers", workers[:min(mostColdNamed, len(workers))])
}

// newsAreOld reports whether neither a replica's word of the platform's store is new, nor the
// workers are followed at the store itself, which answers.
func (g *Gateway) newsAreOld() bool {
	age, heard := g.relay.UpdateAge()
	return (!heard || age > oldNews) && !g.feed.WorkerWatchHealthy()
}

// coldness says why a worker counts as cold now, and what it bears then.
func (g *Gateway) coldness(service, id string) (route.Cold, coldstart.Reason) {
	bears, reason := g.cold.tracker.ColdStatus(g.directory.View(), service, id)
	if reason == coldstart.Warm && g.cold.newsOld() {
		return bears, coldstart.Unknown
	}
	return bears, reason
}

// mayBeCold reports whether workers of the request's service may be cold at all.
func (r *request) mayBeCold() bool {
	cold := r.gateway.cold
	return cold != nil && cold.tracker.MayBeCold(r.gateway.directory.View(), r.service.Name) && !r.gateway.disabled(mechanism.ColdWorkerGrants)
}

// workerPass is what lets a request go to one worker of a service whose workers may be cold.
type workerPass struct {
	request *request
	worker  directory.Worker
	pass    quota.Permit
	taken   bool
}

// passTo gets the request a pass to a worker, if it needs one; nil is for workers that are
// never cold.
func (r *request) passTo(ctx context.Context, chosen directory.Worker) (*workerPass, error) {
	if !r.mayBeCold() {
		return nil, nil
	}
	pass := &workerPass{request: r, worker: chosen}
	err := pass.confirm(ctx)
	if err != nil {
		r.passOver(chosen, err)
	}
	return pass, err
}

// passOver leaves a cold worker alone. That is not its failure, and the request may come to
// it again.
func (r *request) passOver(chosen directory.Worker, cause error) {
	r.coldRefused++
	r.note(eventNoPass, "worker", chosen.ID, "cause", cause.Error())
	r.gateway.balancer.Done(chosen.ID, balance.Canceled)
}

// confirm makes sure that the request may be sent now: the worker is never cold, or warm, or
// the pass still holds. A pass that has run out while a connection was opened is replaced.
func (p *workerPass) confirm(ctx context.Context) error {
	if p == nil {
		return nil
	}
	bears, reason := p.request.gateway.coldness(p.request.service.Name, p.worker.ID)
	if reason == coldstart.Warm || p.taken && p.pass.IsValid(time.Now()) {
		return nil
	}
	p.taken = false
	err := p.take(ctx, bears, reason)
	p.request.gateway.metrics.coldRequest(err)
	return err
}

// take takes what was granted before, or asks members for more.
func (p *workerPass) take(ctx context.Context, bears route.Cold, reason coldstart.Reason) error {
	limited, cancel := context.WithTimeout(ctx, coldPassWait)
	defer cancel()
	cold := p.request.gateway.cold
	allowance := cold.allowances.of(p.worker.ID)
	for {
		now := time.Now()
		if p.pass, p.taken = allowance.Take(now, false); p.taken {
			return nil
		}
		if refusal, refused := allowance.ActiveRefusal(now, false); refused {
			return &WorkerCold{Worker: p.worker.ID, Reason: reason, Replicas: refusal.Replicas, RetryAfter: refusal.RetryAt.Sub(now)}
		}
		err := allowance.askOrWait(limited, func(limited context.Context, waiting int) error {
			err := p.request.gateway.askForPasses(limited, allowance, p.worker.ID, bears, waiting)
			if err != nil && ctx.Err() == nil {
				cold.refuse(allowance, now, quorum.GrantResult{Grant: quota.Grant{RetryAfter: coldUnknownFor}, Refused: true})
			}
			return err
		})
		if err != nil {
			return &WorkerCold{Worker: p.worker.ID, Reason: reason, Cause: err, RetryAfter: coldUnknownFor}
		}
	}
}

// askForPasses asks the members of the worker's group. It asks for no more than wait: what
// one gateway does not use in time is lost to the others.
func (g *Gateway) askForPasses(ctx context.Context, allowance *sharedAllowance, id string, bears route.Cold, waiting int) error {
	began := time.Now()
	limit := quota.Limit{Rate: bears.PerSecond, Version: g.directory.View().Table.Version()}
	granted, err := g.granter.Grant(ctx, quorum.ColdWorkerSubject(id), limit, waiting, false)
	switch {
	case err != nil:
		return err
	case granted.Refused:
		g.cold.refuse(allowance, began, granted)
	default:
		allowance.granted()
		allowance.take(began, granted, false)
	}
	return nil
}

// refuse remembers that a worker is not to be chosen for a time.
func (c *coldWorkers) refuse(allowance *sharedAllowance, asked time.Time, refusal quorum.GrantResult) {
	pause := min(lastColdPause, firstColdPause<<min(allowance.refused(), 8))
	refusal.RetryAfter = max(refusal.RetryAfter, pause/2+rand.N(pause/2))
	allowance.take(asked, refusal, false)
	until := int64(time.Since(c.began) + refusal.RetryAfter)
	for {
		known := c.refusedUntil.Load()
		if known >= until || c.refusedUntil.CompareAndSwap(known, until) {
			return
		}
	}
}

// unsent gives the pass back: nothing was sent.
func (p *workerPass) unsent() {
	if p != nil && p.taken {
		p.taken = false
		p.request.gateway.cold.allowances.of(p.worker.ID).ReturnUnused(time.Now(), p.pass)
	}
}

// withoutRefused leaves out the cold workers for which members have just said that they
// have nothing to grant: asking again would keep the request from another one.
func (r *request) withoutRefused(listed []*directory.WorkerRecord) []*directory.WorkerRecord {
	r.coldRefused = 0
	if !r.mayBeCold() {
		return listed
	}
	cold, now := r.gateway.cold, time.Now()
	if int64(now.Sub(cold.began)) >= cold.refusedUntil.Load() {
		return listed
	}
	refused := func(each *directory.WorkerRecord) bool {
		allowance := cold.allowances.known(each.ID)
		if allowance == nil {
			return false
		}
		if _, held := allowance.ActiveRefusal(now, false); !held {
			return false
		}
		_, reason := r.gateway.coldness(r.service.Name, each.ID)
		return reason != coldstart.Warm
	}
	first := slices.IndexFunc(listed, refused)
	if first < 0 {
		return listed
	}
	left := slices.DeleteFunc(slices.Clone(listed), refused)
	r.coldRefused = len(listed) - len(left)
	return left
}

// observeColdness takes what a worker's answer says of itself, to a request sent at a time.
func (r *request) observeColdness(chosen directory.Worker, told worker.ResponseMetadata, sent time.Time) {
	if told.ColdReported && r.mayBeCold() {
		r.gateway.cold.tracker.RecordReport(chosen.ID, sent, told.ColdRemaining)
	}
}

// unreached notes that a worker may have been started again.
func (g *Gateway) unreached(service string, chosen directory.Worker) {
	if g.cold != nil && g.cold.tracker.MayBeCold(g.directory.View(), service) {
		g.cold.tracker.RecordUnreachable(chosen.ID)
	}
}

// WorkerCold reports a worker that has just started and may not get the request now.
type WorkerCold struct {
	Worker string
	Reason coldstart.Reason
	// Replicas is how many members had nothing to grant; 0 where too few answered.
	Replicas int
	// Cause is why no member answered; nil where they did, or that is remembered.
	Cause error
	// RetryAfter is after what time a request may be granted.
	RetryAfter time.Duration
}

func (e *WorkerCold) Error() string {
	if e.Replicas == 0 {
		return fmt.Sprintf("worker %s counts as cold (%s), and too few replicas tell whether it may get a request", e.Worker, e.Reason)
	}
	return fmt.Sprintf("worker %s counts as cold (%s), and %d replicas have no request to grant for it", e.Worker, e.Reason, e.Replicas)
}

// Type returns "worker_cold".
func (e *WorkerCold) Type() failure.Type { return "worker_cold" }

// Outcome returns NotRun.
func (e *WorkerCold) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a repeat: another worker may take the request.
func (e *WorkerCold) Retry() failure.Retry { return failure.Retry{Allowed: true, After: e.RetryAfter} }

// Unwrap returns the cause.
func (e *WorkerCold) Unwrap() error { return e.Cause }

// WorkersCold reports that all workers that are left have just started and get few requests
// for a while, and that the request's turn will not come in its time.
type WorkersCold struct {
	Service string
	// Skipped is how many workers were passed over.
	Skipped int
	// RetryAfter is after what time a request is likely to get a place.
	RetryAfter time.Duration
}

func (e *WorkersCold) Error() string {
	return fmt.Sprintf("%d workers of %s have just started and get few requests for a while; a place is expected in %v",
		e.Skipped, e.Service, e.RetryAfter.Round(time.Millisecond))
}

// Type returns "workers_cold".
func (e *WorkersCold) Type() failure.Type { return "workers_cold" }

// Outcome returns NotRun.
func (e *WorkersCold) Outcome() failure.Outcome { return failure.NotRun }

// Retry says when to come back.
func (e *WorkersCold) Retry() failure.Retry { return failure.Retry{Allowed: true, After: e.RetryAfter} }
