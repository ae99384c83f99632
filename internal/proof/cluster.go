// Package proof runs a whole cluster in one process and checks what its callers
// were promised: journal replicas, program state machines and a dispatcher on
// several nodes, callers that retry anywhere, and model engines and tools that
// keep ledgers of what really ran. One seeded scheduler chooses every step, so
// that a run can be repeated from its seed. Its network loses, doubles, delays
// and reorders; nodes crash, forget, pause and are cut off; clocks jump.
package proof

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// InjectedBug is a deliberate fault in the cluster's own work. A run with one
// shows that the checks notice it.
type InjectedBug string

// The breakages.
const (
	// SendBeforeStartCommitted sends a call when its start is proposed.
	SendBeforeStartCommitted InjectedBug = "send before the record"
	// ResendNonRepeatable sends a started call that is not repeatable once more.
	ResendNonRepeatable InjectedBug = "send a started call again"
	// SkipDispatchCheck sends without asking whether the start took effect.
	SkipDispatchCheck InjectedBug = "send without asking Dispatched"
	// SkipHoldRelease reports holds as released without asking the engine.
	SkipHoldRelease InjectedBug = "record a release that was not made"
	// SkipOrphanRelease leaves memory that the journal does not know.
	SkipOrphanRelease InjectedBug = "leave orphans"
	// UseWrongHistory builds a prompt from another program's history.
	UseWrongHistory InjectedBug = "mix histories"
	// ReportStartedAsNotRun calls a started attempt not run when its answer is late.
	ReportStartedAsNotRun InjectedBug = "refuse a started call"
	// ResendTakenOver sends a repeatable call of an earlier leader again, and
	// takes a refusal of that for proof that the call did not run.
	ResendTakenOver InjectedBug = "take over a call and call it not run"
	// ReuseIncarnation lets a node that lost its memory return as itself.
	ReuseIncarnation InjectedBug = "return from amnesia as before"
	// PlaceOutsideDomain places replicas in every zone.
	PlaceOutsideDomain InjectedBug = "leave the domain"
	// TruncateAnswers sends callers half of an answer.
	TruncateAnswers InjectedBug = "cut answers"
)

// Options describe one run.
type Options struct {
	Seed uint64
	// FaultSteps of the hostile part; a calm part follows until all is quiet.
	FaultSteps  int
	InjectedBug InjectedBug
}

// Report is what a run did and found.
type Report struct {
	Steps, Faults int
	// Answers that callers received, repeats included.
	Answers int
	// Executions are the runs in the ledgers; Disturbed are those among faults.
	Executions, ExecutionsDuringFaults int
	// CheckedPrompts are the prompts that were compared with the callers' records.
	CheckedPrompts int
	// Violation is the first broken promise, or empty.
	Violation string
}

const (
	shard = structs.ShardID(0)
	// calmLimit bounds the steps until everything is quiet.
	calmLimit = 60_000
	// Times that pass with one step, and how far clocks jump.
	hostileStep = 3 * time.Millisecond
	calmStep    = 20 * time.Millisecond
	clockJump   = 20 * time.Second
	replicas    = 3
)

var start = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)

// cluster is the whole world of a run.
type cluster struct {
	options Options
	random  *rand.Rand
	domain  structs.Domain
	now     time.Time
	network network
	nodes   []*node
	engines []*engine
	tool    *toolService
	callers []*caller
	checker *checker
	report  Report
	calm    bool
}

// Run carries a seeded run out.
func Run(options Options) Report {
	c := newCluster(options)
	for range options.FaultSteps {
		c.step(hostileActions)
		if c.checker.violation != "" {
			break
		}
	}
	if c.checker.violation == "" {
		c.settle()
	}
	c.report.Violation = c.checker.violation
	c.report.Executions = len(c.checker.runs)
	c.report.CheckedPrompts = c.checker.histories
	return c.report
}

func newCluster(options Options) *cluster {
	c := &cluster{options: options, random: rand.New(rand.NewPCG(options.Seed, 7)), now: start}
	c.domain = structs.Domain{Name: "a+b+c", Zones: []structs.ZoneName{"a", "b", "c"}, ShardCount: 1}
	c.checker = newChecker(c)
	c.network.cluster = c
	c.addNodes()
	for i := range 2 {
		c.engines = append(c.engines, newEngine(c, fmt.Sprintf("engine-%d", i)))
	}
	c.tool = newToolService(c)
	c.addCallers()
	return c
}

// addNodes adds four nodes in the permitted zones and one outside.
func (c *cluster) addNodes() {
	for i, zone := range []structs.ZoneName{"a", "b", "c", "a", "outside"} {
		c.nodes = append(c.nodes, newNode(c, fmt.Sprintf("node-%d", i), zone))
	}
	first := placement.SelectReplicas(c.domain, shard, c.view(), replicas)
	for _, chosen := range first {
		c.node(chosen.ID).create(first)
	}
}

func (c *cluster) node(id structs.NodeID) *node {
	for _, n := range c.nodes {
		if n.id.Node == id {
			return n
		}
	}
	return nil
}

// view is the nodes as a failure detector shows them.
func (c *cluster) view() []structs.Node {
	view := make([]structs.Node, len(c.nodes))
	for i, n := range c.nodes {
		view[i] = structs.Node{ID: n.id.Node, Incarnation: n.id.Incarnation, Zone: n.zone, State: structs.NodeAlive}
		if n.paused {
			view[i].State = structs.NodeDead
		}
		if c.options.InjectedBug == PlaceOutsideDomain && n.zone == "outside" {
			view[i].Zone = "a"
		}
	}
	return view
}

func (c *cluster) chance(oneIn int) bool { return c.random.IntN(oneIn) == 0 }

func anyOf[T any](c *cluster, from []T) T { return from[c.random.IntN(len(from))] }

// settle stops the faults and goes on until everything is quiet.
func (c *cluster) settle() {
	c.mend()
	c.calm = true
	c.report.ExecutionsDuringFaults = len(c.checker.runs)
	for range calmLimit {
		c.step(calmActions)
		if c.checker.violation != "" {
			return
		}
		if c.report.Steps%100 == 0 && c.unrest() == "" {
			c.checker.finalChecks()
			c.forgetEnded()
			return
		}
	}
	c.checker.violate("not quiet after %d steps: %s", calmLimit, c.unrest())
}

// forgetEnded lets the retention time pass: then no program may be left.
func (c *cluster) forgetEnded() {
	c.now = c.now.Add(program.RetentionTime)
	for range calmLimit {
		if c.checker.violation != "" || c.checker.reference.ProgramCount() == 0 {
			return
		}
		c.step(calmActions)
	}
	c.checker.violate("%d programs stay after their retention", c.checker.reference.ProgramCount())
}

// mend ends every fault.
func (c *cluster) mend() {
	clear(c.network.cut)
	for _, n := range c.nodes {
		n.paused = false
		n.skew = 0
	}
}

// unrest says what is not at rest, or nothing.
func (c *cluster) unrest() string {
	for _, caller := range c.callers {
		if !caller.done && !caller.vanished {
			return "caller " + caller.key
		}
	}
	for _, id := range c.checker.programs() {
		status, held := c.checker.reference.StatusForAnyTenant(id)
		if held && status.State != program.Ended {
			return fmt.Sprintf("program %s is %s", id, status.State)
		}
	}
	if holds := c.checker.reference.Holds(); len(holds) > 0 {
		return fmt.Sprintf("%d holds in the journal", len(holds))
	}
	for _, e := range c.engines {
		if len(e.holds) > 0 {
			return fmt.Sprintf("%d holds at %s", len(e.holds), e.name)
		}
	}
	if !c.onlyJournalFlies() {
		return "messages to back ends under way"
	}
	return c.groupUnrest()
}

// groupUnrest says what is wrong with the replica group: it shall have its
// members in different zones.
func (c *cluster) groupUnrest() string {
	members := c.newest().replica.Members()
	zones := map[structs.ZoneName]bool{}
	for _, member := range members {
		if member.Learner {
			return "a learner is not admitted yet"
		}
		zones[c.node(member.Node).zone] = true
	}
	if len(members) != replicas || len(zones) != replicas {
		return fmt.Sprintf("%d members in %d zones", len(members), len(zones))
	}
	return ""
}

// onlyJournalFlies reports that no message to an engine or tool is under way:
// it could still take effect.
func (c *cluster) onlyJournalFlies() bool {
	for _, f := range c.network.flying {
		if f.once {
			return false
		}
	}
	return true
}
