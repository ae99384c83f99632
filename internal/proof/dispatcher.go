package proof

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// answerTimeoutTurns is the number of leader turns after which a dispatch without an
// answer is resumed.
const answerTimeoutTurns = 10

// dispatcher does the work of the leader of the shard. It follows the rules of
// package program: one decision at a time for programs that share an ancestor,
// no dispatch before Dispatched confirms it, and no rejection before a confirmed
// read.
type dispatcher struct {
	node *node
	term uint64
	// pendingProposals are the proposals of this leader by entry index.
	pendingProposals map[uint64]pendingProposal
	// busyRoots are the root programs with a pending proposal.
	busyRoots map[structs.ProgramID]bool
	// turnsLeft is the number of remaining turns by dispatch key while this
	// leader waits for an answer.
	turnsLeft map[string]int
	// deferredTasks are decisions deferred because their root was busy, and
	// confirmed tasks.
	deferredTasks []func()
	// pendingConfirmations are the tasks that wait for a confirmation round.
	pendingConfirmations map[uint64][]func()
}

type pendingProposal struct {
	term      uint64
	onDecided func(applied bool)
}

func (d *dispatcher) reset(n *node) {
	*d = dispatcher{
		node: n, pendingProposals: map[uint64]pendingProposal{}, busyRoots: map[structs.ProgramID]bool{},
		turnsLeft: map[string]int{}, pendingConfirmations: map[uint64][]func(){},
	}
}

// resetInNewTerm resets the dispatcher in each term in which the node becomes
// leader. All proposals of earlier terms are decided by then.
func (d *dispatcher) resetInNewTerm() {
	if !d.node.isServing() {
		return
	}
	if _, term, _, _, _ := d.node.replica.BasicStatus(); term != d.term {
		d.reset(d.node)
		d.term = term
	}
}

func (d *dispatcher) completeProposal(entry *journalv1.Entry) {
	if pending, found := d.pendingProposals[entry.Index]; found {
		delete(d.pendingProposals, entry.Index)
		pending.onDecided(pending.term == entry.Term)
	}
}

func (d *dispatcher) completeConfirmations(round uint64) {
	for _, requestedRound := range slices.Sorted(maps.Keys(d.pendingConfirmations)) {
		if requestedRound <= round {
			d.deferredTasks = append(d.deferredTasks, d.pendingConfirmations[requestedRound]...)
			delete(d.pendingConfirmations, requestedRound)
		}
	}
}

// runAfterConfirmation runs the task after a majority confirmed the leadership of
// this node.
func (d *dispatcher) runAfterConfirmation(task func()) {
	if !d.node.isServing() {
		return
	}
	if round, err := d.node.replica.ConfirmLeadership(); err == nil {
		d.pendingConfirmations[round] = append(d.pendingConfirmations[round], task)
		d.node.processReady()
	}
}

// decisionFunc makes a decision with the node's state machine.
type decisionFunc func(m *program.Machine) (program.Decision, error)

// rootProgram returns the oldest ancestor of a program. Decisions of its descendants
// depend on shared budgets.
func (d *dispatcher) rootProgram(id structs.ProgramID) structs.ProgramID {
	for {
		status, found := d.node.machine.StatusForAnyTenant(id)
		if !found || status.Parent == "" {
			return id
		}
		id = status.Parent
	}
}

// propose makes a decision and proposes its records. It calls done after the records
// are applied, or with the error of the state machine. If the outcome of the
// proposal is unknown, done is not called.
func (d *dispatcher) propose(id structs.ProgramID, decide decisionFunc, done func(err error)) {
	if !d.node.isServing() {
		return
	}
	root := d.rootProgram(id)
	if d.busyRoots[root] {
		d.deferredTasks = append(d.deferredTasks, func() { d.propose(id, decide, done) })
		return
	}
	decision, err := decide(d.node.machine)
	if err != nil || decision.Repeat {
		done(err)
		return
	}
	data, err := proto.Marshal(decision.Batch())
	if err != nil {
		d.node.cluster.checker.reportViolation("cannot encode a record batch: %v", err)
		return
	}
	index, term, err := d.node.replica.Propose([][]byte{data})
	if err != nil {
		return
	}
	d.busyRoots[root] = true
	d.pendingProposals[index] = pendingProposal{term: term, onDecided: func(applied bool) {
		delete(d.busyRoots, root)
		if applied {
			done(nil)
		}
	}}
	d.node.processReady()
}

// proposeForCaller is propose for a request of a caller. It rejects the request only
// after a leadership confirmation that began after the request arrived.
func (d *dispatcher) proposeForCaller(id structs.ProgramID, decide decisionFunc, done func(err error)) {
	d.propose(id, decide, func(err error) {
		if err == nil {
			done(nil)
			return
		}
		d.runAfterConfirmation(func() { d.propose(id, decide, done) })
	})
}

// runLeaderTurn does one turn of the leader's work.
func (n *node) runLeaderTurn() {
	if !n.isServing() {
		return
	}
	d := &n.dispatcher
	tasks := d.deferredTasks
	d.deferredTasks = nil
	for _, task := range tasks {
		task()
	}
	for key := range d.turnsLeft {
		if d.turnsLeft[key]--; d.turnsLeft[key] <= 0 {
			delete(d.turnsLeft, key)
		}
	}
	for _, duty := range n.machine.DueTasks(n.now()) {
		d.performDuty(duty)
	}
	for _, id := range n.cluster.checker.programIDs() {
		if call, runnable := n.machine.RunnableCall(id); runnable && !d.busyRoots[d.rootProgram(id)] {
			d.startCall(call)
		}
	}
}

func (d *dispatcher) performDuty(duty program.LeaderTask) {
	now := d.node.now()
	switch duty.Kind {
	case program.TaskResumeCall:
		if d.turnsLeft[duty.Call.DispatchKey] == 0 {
			d.resumeCall(duty.Call)
		}
	case program.TaskReleaseHold:
		d.releaseHold(duty.Hold)
	case program.TaskEndProgram:
		d.propose(duty.Program, func(m *program.Machine) (program.Decision, error) {
			return m.End(now, duty.Tenant, duty.Program, duty.Cause)
		}, ignoreError)
	case program.TaskRemoveProgram:
		d.propose(duty.Program, func(m *program.Machine) (program.Decision, error) {
			return m.Remove(now, duty.Program)
		}, ignoreError)
	}
}

func ignoreError(error) {}

// releaseHold asks the engine to release a hold and records the release after the
// engine confirmed it.
func (d *dispatcher) releaseHold(held program.CacheHold) {
	n := d.node
	target := n.cluster.engine(string(held.Engine))
	record := func() {
		d.propose(held.Program, func(m *program.Machine) (program.Decision, error) {
			return m.RecordHoldReleased(n.now(), held.Program, held.Engine, held.Incarnation)
		}, ignoreError)
	}
	if n.cluster.options.InjectedBug == SkipHoldRelease {
		record()
		return
	}
	n.cluster.network.send(n.name(), target.name, true, func() {
		if target.incarnation == held.Incarnation {
			delete(target.heldPrograms, held.Program)
		}
		n.cluster.network.send(target.name, n.name(), true, record)
	})
}

// releaseOrphans compares the programs held by an engine with the journal and
// releases the holds of unknown and ended programs.
func (n *node) releaseOrphans() {
	if !n.isServing() || n.cluster.options.InjectedBug == SkipOrphanRelease {
		return
	}
	d := &n.dispatcher
	target := randomElement(n.cluster, n.cluster.engines)
	n.cluster.network.send(n.name(), target.name, true, func() {
		holders := target.heldProgramIDs()
		incarnation := target.incarnation
		n.cluster.network.send(target.name, n.name(), true, func() {
			d.runAfterConfirmation(func() {
				for _, holder := range holders {
					if status, found := n.machine.StatusForAnyTenant(holder); !found || status.State == program.Ended {
						orphan := program.CacheHold{Program: holder, Engine: structs.EngineID(target.name), Incarnation: incarnation}
						d.releaseHold(orphan)
					}
				}
			})
		})
	})
}

// recordRejection records that a call fails without having been sent.
func (d *dispatcher) recordRejection(call *program.Call, cause failure.Type) {
	d.propose(call.Program, func(m *program.Machine) (program.Decision, error) {
		return m.RecordNotRun(d.node.now(), program.NotRunRequest{
			Program: call.Program, Number: call.Number, Final: true, FailureType: cause,
		})
	}, ignoreError)
}
