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

// patience is how many turns of a leader a dispatch may go without an answer.
const patience = 10

// dispatcher is a leader's work on its shard. It follows the rules that package
// program asks of one: decisions of a family of programs one at a time, nothing
// sent before Dispatched confirms it, refusals only after a confirmed read.
type dispatcher struct {
	node *node
	term uint64
	// pending are this leader's proposals by the index of their entry.
	pending map[uint64]proposal
	// busy are the roots of families with a proposal under way.
	busy map[structs.ProgramID]bool
	// waiting counts down for dispatches whose answer this leader awaits.
	waiting map[string]int
	// tasks are decisions put off because their family was busy.
	tasks    []func()
	confirms map[uint64][]func()
}

type proposal struct {
	term uint64
	done func(applied bool)
}

func (d *dispatcher) reset(n *node) {
	*d = dispatcher{
		node: n, pending: map[uint64]proposal{}, busy: map[structs.ProgramID]bool{},
		waiting: map[string]int{}, confirms: map[uint64][]func(){},
	}
}

// observe starts afresh in each term that the node begins to serve. All
// proposals of earlier terms are decided by then.
func (d *dispatcher) observe() {
	if !d.node.serving() {
		return
	}
	if _, term, _, _, _ := d.node.replica.BasicStatus(); term != d.term {
		d.reset(d.node)
		d.term = term
	}
}

func (d *dispatcher) applied(entry *journalv1.Entry) {
	if waiting, found := d.pending[entry.Index]; found {
		delete(d.pending, entry.Index)
		waiting.done(waiting.term == entry.Term)
	}
}

func (d *dispatcher) confirmed(round uint64) {
	for _, asked := range slices.Sorted(maps.Keys(d.confirms)) {
		if asked <= round {
			d.tasks = append(d.tasks, d.confirms[asked]...)
			delete(d.confirms, asked)
		}
	}
}

// confirm runs the task once this node is known to lead still.
func (d *dispatcher) confirm(task func()) {
	if !d.node.serving() {
		return
	}
	if round, err := d.node.replica.ConfirmLeadership(); err == nil {
		d.confirms[round] = append(d.confirms[round], task)
		d.node.work()
	}
}

// decider asks the node's state machine for a decision.
type decider func(m *program.Machine) (program.Decision, error)

// root is the oldest ancestor of a program: decisions of a family concern one
// another's budgets.
func (d *dispatcher) root(id structs.ProgramID) structs.ProgramID {
	for {
		status, found := d.node.machine.StatusForAnyTenant(id)
		if !found || status.Parent == "" {
			return id
		}
		id = status.Parent
	}
}

// mutate decides, proposes and reports once the records are applied, or that
// the machine refused. Where the outcome is not known it reports nothing.
func (d *dispatcher) mutate(id structs.ProgramID, decide decider, done func(refused error)) {
	if !d.node.serving() {
		return
	}
	root := d.root(id)
	if d.busy[root] {
		d.tasks = append(d.tasks, func() { d.mutate(id, decide, done) })
		return
	}
	decision, err := decide(d.node.machine)
	if err != nil || decision.Repeat {
		done(err)
		return
	}
	data, err := proto.Marshal(decision.Batch())
	if err != nil {
		d.node.cluster.checker.violate("marshal: %v", err)
		return
	}
	index, term, err := d.node.replica.Propose([][]byte{data})
	if err != nil {
		return
	}
	d.busy[root] = true
	d.pending[index] = proposal{term: term, done: func(applied bool) {
		delete(d.busy, root)
		if applied {
			done(nil)
		}
	}}
	d.node.work()
}

// request is mutate for a caller: a refusal is given only by a node that is
// known to lead after the request came.
func (d *dispatcher) request(id structs.ProgramID, decide decider, done func(refused error)) {
	d.mutate(id, decide, func(err error) {
		if err == nil {
			done(nil)
			return
		}
		d.confirm(func() { d.mutate(id, decide, done) })
	})
}

// lead is one turn of a leader's own work.
func (n *node) lead() {
	if !n.serving() {
		return
	}
	d := &n.dispatcher
	tasks := d.tasks
	d.tasks = nil
	for _, task := range tasks {
		task()
	}
	for key := range d.waiting {
		if d.waiting[key]--; d.waiting[key] <= 0 {
			delete(d.waiting, key)
		}
	}
	for _, duty := range n.machine.DueTasks(n.now()) {
		d.meet(duty)
	}
	for _, id := range n.cluster.checker.programs() {
		if call, runnable := n.machine.RunnableCall(id); runnable && !d.busy[d.root(id)] {
			d.begin(call)
		}
	}
}

func (d *dispatcher) meet(duty program.LeaderTask) {
	now := d.node.now()
	switch duty.Kind {
	case program.TaskResumeCall:
		if d.waiting[duty.Call.DispatchKey] == 0 {
			d.resume(duty.Call)
		}
	case program.TaskReleaseHold:
		d.release(duty.Hold)
	case program.TaskEndProgram:
		d.mutate(duty.Program, func(m *program.Machine) (program.Decision, error) {
			return m.End(now, duty.Tenant, duty.Program, duty.Cause)
		}, ignore)
	case program.TaskRemoveProgram:
		d.mutate(duty.Program, func(m *program.Machine) (program.Decision, error) {
			return m.Remove(now, duty.Program)
		}, ignore)
	}
}

func ignore(error) {}

// release asks the engine to free a hold and records it once that is certain.
func (d *dispatcher) release(held program.CacheHold) {
	n := d.node
	target := n.cluster.engine(string(held.Engine))
	record := func() {
		d.mutate(held.Program, func(m *program.Machine) (program.Decision, error) {
			return m.RecordHoldReleased(n.now(), held.Program, held.Engine, held.Incarnation)
		}, ignore)
	}
	if n.cluster.options.InjectedBug == SkipHoldRelease {
		record()
		return
	}
	n.cluster.network.send(n.name(), target.name, true, func() {
		if target.incarnation == held.Incarnation {
			delete(target.holds, held.Program)
		}
		n.cluster.network.send(target.name, n.name(), true, record)
	})
}

// sweepOrphans compares an engine's own list with the journal, and releases
// what no program that may still run answers for.
func (n *node) sweepOrphans() {
	if !n.serving() || n.cluster.options.InjectedBug == SkipOrphanRelease {
		return
	}
	d := &n.dispatcher
	target := anyOf(n.cluster, n.cluster.engines)
	n.cluster.network.send(n.name(), target.name, true, func() {
		holders := target.holders()
		incarnation := target.incarnation
		n.cluster.network.send(target.name, n.name(), true, func() {
			d.confirm(func() {
				for _, holder := range holders {
					if status, found := n.machine.StatusForAnyTenant(holder); !found || status.State == program.Ended {
						orphan := program.CacheHold{Program: holder, Engine: structs.EngineID(target.name), Incarnation: incarnation}
						d.release(orphan)
					}
				}
			})
		})
	})
}

// refuse ends a call that was not sent.
func (d *dispatcher) refuse(call *program.Call, cause failure.Type) {
	d.mutate(call.Program, func(m *program.Machine) (program.Decision, error) {
		return m.RecordNotRun(d.node.now(), program.NotRunRequest{
			Program: call.Program, Number: call.Number, Final: true, FailureType: cause,
		})
	}, ignore)
}
