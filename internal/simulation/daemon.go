package simulation

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// call is one model call between a daemon and an engine.
type call struct {
	run      *run
	step     workload.Step
	answer   segment
	engine   *engine
	excluded map[structs.EngineID]bool
}

// daemon chooses engines with the real policy, from its own late view.
type daemon struct {
	world  *world
	zone   structs.ZoneName
	policy schedule.Policy
	random *rand.Rand
	pauses *schedule.PauseEstimator
	growth *schedule.GrowthEstimator
	views  []engineView
}

// engineView is an engine's last report and what this daemon sent since.
type engineView struct {
	status     structs.EngineStatus
	dispatches []dispatched
}

type dispatched struct {
	at     time.Duration
	tokens int64
}

// report takes a load report; dispatches before it are now in its figures.
func (d *daemon) report(index int, status structs.EngineStatus) {
	view := &d.views[index]
	status.ReportedAt = d.world.wallTime()
	view.status = status
	known := d.world.clock.now - d.world.parameters.ReportLag
	left := view.dispatches[:0]
	for _, sent := range view.dispatches {
		if sent.at > known {
			left = append(left, sent)
		}
	}
	view.dispatches = left
}

// snapshot is the daemon's view at this moment. Engines without a fresh report
// are passed over.
func (d *daemon) snapshot() *schedule.Snapshot {
	snapshot := &schedule.Snapshot{Engines: make([]schedule.Engine, 0, len(d.views))}
	now := d.world.wallTime()
	for index := range d.views {
		view := &d.views[index]
		if now.Sub(view.status.ReportedAt) > d.world.parameters.StaleAfter {
			continue
		}
		seen := schedule.Engine{EngineStatus: view.status, DispatchedStreams: len(view.dispatches)}
		for _, sent := range view.dispatches {
			seen.DispatchedTokens += sent.tokens
		}
		snapshot.Engines = append(snapshot.Engines, seen)
	}
	return snapshot
}

// request is what the policy is told of a call.
func (d *daemon) request(c *call) *schedule.Request {
	r := c.run
	started := d.world.timeAt(r.root.started)
	return &schedule.Request{
		Program: r.id, Model: structs.ModelName(c.step.Target), Adapter: r.program.Adapter,
		CacheZones: r.program.CacheZones, CallerZone: d.zone,
		PromptTokens: r.historyTokens, MaxAnswerTokens: r.program.MaxAnswerTokens,
		CachedTokens: r.cached, ParentEngine: r.parentEngine, SharedPrefix: r.root.sharedPrefix, EngineTimeUsed: r.root.received,
		Started: started, Deadline: started.Add(r.root.program.Deadline), Priority: r.root.program.Priority,
		ExpectedPause:  d.pauses.Expected(r.program.Name, c.step.ExpectedPause),
		ExpectedGrowth: d.growth.Expected(r.program.Name), Excluded: c.excluded,
	}
}

// dispatch places a call; where it is refused it comes back when told to.
func (d *daemon) dispatch(c *call) {
	choice, err := d.policy.Choose(d.world.wallTime(), d.snapshot(), d.request(c), d.random)
	if err != nil {
		d.refused(c, err)
		return
	}
	if choice.Defer > 0 {
		c.run.root.totals.Deferred++
		d.world.clock.after(choice.Defer, func() { d.dispatch(c) })
		return
	}
	c.engine = d.world.engineByID(choice.Engine)
	view := &d.views[d.world.engineIndex[choice.Engine]]
	missing := max(0, c.run.historyTokens-c.run.cached[choice.Engine])
	view.dispatches = append(view.dispatches, dispatched{at: d.world.clock.now, tokens: missing})
	c.run.lastDispatch[choice.Engine] = d.world.clock.now
	delay := d.world.commitDelay() + d.world.delay(d.zone, c.engine.zone)
	if choice.MoveFrom != "" {
		delay += d.world.move(c.run, d.world.engineByID(choice.MoveFrom), c.engine)
	}
	d.world.clock.after(delay, func() { c.engine.submit(d.stream(c, choice)) })
}

// minimumRetry bounds how soon a refused call comes back.
const minimumRetry = 50 * time.Millisecond

func (d *daemon) refused(c *call, err error) {
	c.run.root.totals.Refused++
	wait := minimumRetry
	if known, ok := failure.As(err); ok {
		wait = max(wait, known.Retry().After)
	}
	var unavailable *failure.EngineUnavailable
	if errors.As(err, &unavailable) {
		c.excluded = nil
	}
	d.world.clock.after(wait, func() { d.dispatch(c) })
}

func (d *daemon) stream(c *call, choice schedule.Choice) *stream {
	return &stream{
		holder: c.run, prompt: c.run.history, promptTokens: c.run.historyTokens, answer: c.answer,
		maxAnswer: c.run.program.MaxAnswerTokens, priority: choice.Priority, retain: choice.Retain,
		done: func(used usage) {
			d.world.clock.after(d.world.delay(c.engine.zone, d.zone), func() { c.run.answered(c, used) })
		},
		failed: func() {
			d.world.clock.after(d.world.delay(c.engine.zone, d.zone), func() { d.lost(c) })
		},
	}
}

// lost sends a call elsewhere after its engine failed.
func (d *daemon) lost(c *call) {
	if c.excluded == nil {
		c.excluded = map[structs.EngineID]bool{}
	}
	c.excluded[c.engine.id] = true
	delete(c.run.cached, c.engine.id)
	c.run.root.totals.Restarted++
	d.dispatch(c)
}
