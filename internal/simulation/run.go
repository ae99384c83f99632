package simulation

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// run is one program under way.
type run struct {
	world   *world
	program *workload.Program
	id      structs.ProgramID
	// root is the outermost program, which is the run itself without a parent.
	root   *run
	daemon *daemon
	// history is the prompt so far; computed is the longest part of it that any
	// engine has computed for this program or the one it inherited from.
	history       []segment
	historyTokens int64
	// firstPrompt is the prompt's length at the first model call.
	firstPrompt int64
	computed    int64
	// cached is what the daemon believes to be cached where.
	cached       map[structs.EngineID]int64
	lastDispatch map[structs.EngineID]time.Duration
	lastEngine   structs.EngineID
	parentEngine structs.EngineID
	// sharedPrefix is the key of the start that programs share, zero without one
	// long enough.
	sharedPrefix uint64
	answeredAt   time.Duration
	started      time.Duration
	ended        bool
	onEnd        func()
	// The rest is kept at the root for the whole program.
	measured bool
	received time.Duration
	paused   time.Duration
	totals   Totals
}

// open starts a program; onEnd is called when it has ended.
func (w *world) open(program *workload.Program, parent *run, onEnd func()) *run {
	r := &run{
		world: w, program: program, id: structs.ProgramID(program.Key), onEnd: onEnd, started: w.clock.now,
		cached: map[structs.EngineID]int64{}, lastDispatch: map[structs.EngineID]time.Duration{},
	}
	r.root = r
	r.daemon = w.daemons[w.environment.IntN(len(w.daemons))]
	for _, prefix := range program.Prefixes {
		r.extend(segment{id: w.prefixID(prefix.Name, program.Adapter), tokens: prefix.Tokens})
	}
	if r.historyTokens*workload.BytesPerToken >= schedule.SharedPrefixBytes {
		r.sharedPrefix = r.history[len(r.history)-1].id
	}
	if parent != nil {
		r.inherit(parent)
	}
	return r
}

// inherit makes the run a sub-agent that starts with its parent's history. A
// sub-agent's program lies in its parent's shard: it has the same daemon.
func (r *run) inherit(parent *run) {
	r.root = parent.root
	r.daemon = parent.daemon
	r.parentEngine = parent.lastEngine
	if !r.program.InheritsHistory {
		return
	}
	r.history = append(r.history, parent.history...)
	r.historyTokens += parent.historyTokens
	r.computed = parent.computed
	for id, tokens := range parent.cached {
		r.cached[id] = tokens
	}
}

func (r *run) extend(piece segment) {
	r.history = append(r.history, piece)
	r.historyTokens += piece.tokens
}

// next runs the program's next step.
func (r *run) next() {
	step, more := r.program.Next()
	if !more {
		r.end()
		return
	}
	switch step.Kind {
	case workload.KindModel:
		r.extend(segment{id: r.world.newSegmentID(), tokens: step.InputTokens, owner: r})
		r.world.clock.after(r.world.requestDelay(), func() { r.call(step) })
	case workload.KindTool:
		r.world.clock.after(step.Duration+r.world.requestDelay()+r.world.deployment.ClientDelay, r.next)
	case workload.KindPause:
		r.root.paused += step.Duration
		r.world.clock.after(step.Duration, r.next)
	case workload.KindSpawn:
		r.spawn(step.Children)
	}
}

// spawn runs sub-agents side by side and goes on when the last has ended.
func (r *run) spawn(children []*workload.Program) {
	left := len(children)
	for _, child := range children {
		opened := r.world.open(child, r, func() {
			left--
			if left == 0 {
				r.next()
			}
		})
		opened.next()
	}
}

// call hands a model call to the run's daemon.
func (r *run) call(step workload.Step) {
	if r.firstPrompt == 0 {
		r.firstPrompt = r.historyTokens
	}
	if r.answeredAt > 0 {
		r.daemon.pauses.Observe(r.program.Name, r.world.clock.now-r.answeredAt)
	}
	r.daemon.dispatch(&call{run: r, step: step, answer: segment{
		id: r.world.newSegmentID(), tokens: step.AnswerTokens, owner: r,
	}})
}

// answered takes a complete answer into the history.
func (r *run) answered(c *call, used usage) {
	wasted := max(0, min(r.computed, used.promptTokens-1)-used.reusedTokens)
	totals := &r.root.totals
	totals.PromptTokens += used.promptTokens
	totals.ReusedTokens += used.reusedTokens
	totals.WastedTokens += wasted
	totals.Calls++
	r.root.received += used.service
	r.extend(c.answer)
	r.computed = r.historyTokens
	r.cached[c.engine.id] = r.historyTokens
	r.lastEngine = c.engine.id
	r.answeredAt = r.world.clock.now
	r.world.clock.after(r.world.deployment.ClientDelay, r.next)
}

// end closes the program: every engine that held memory for it is told.
func (r *run) end() {
	r.ended = true
	r.daemon.growth.Observe(r.program.Name, r.historyTokens-r.firstPrompt)
	for _, e := range r.world.engines {
		if _, held := r.lastDispatch[e.id]; held {
			r.world.clock.after(r.world.deployment.ZoneDelay, func() { e.cache.release(r) })
		}
	}
	r.onEnd()
}
