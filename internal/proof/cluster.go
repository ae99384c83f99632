// Package proof simulates a cluster in one process and checks its guarantees to
// callers. The cluster consists of journal replicas, program state machines and
// dispatchers on several nodes, callers that retry at any node, and model
// engines and tools that record their executions. One seeded scheduler chooses
// every step, which makes a run repeatable from its seed. The simulated network
// loses, duplicates, delays and reorders messages. Nodes crash, lose their
// state, pause and are partitioned from each other, and their clocks jump.
package proof

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// InjectedBug is a deliberate bug in the code under test. A run with one shows
// that the checks detect it.
type InjectedBug string

// The bugs that can be injected.
const (
	// SendBeforeStartCommitted sends a call before its start is committed.
	SendBeforeStartCommitted InjectedBug = "send before the start is committed"
	// ResendNonRepeatable sends a started call that is not repeatable again.
	ResendNonRepeatable InjectedBug = "resend a call that is not repeatable"
	// SkipDispatchCheck sends a call without checking that its committed start
	// took effect.
	SkipDispatchCheck InjectedBug = "skip the dispatch check"
	// SkipHoldRelease records holds as released without asking the engine to
	// release them.
	SkipHoldRelease InjectedBug = "skip the release of holds"
	// SkipOrphanRelease does not release engine memory that the journal does
	// not know.
	SkipOrphanRelease InjectedBug = "skip the release of orphans"
	// UseWrongHistory builds a prompt from the history of another program.
	UseWrongHistory InjectedBug = "use a wrong history"
	// ReportStartedAsNotRun records a started attempt as not run when its
	// answer is late.
	ReportStartedAsNotRun InjectedBug = "report a started call as not run"
	// ResendTakenOver sends a repeatable call of an earlier leader again, and
	// treats a rejection of the second attempt as proof that the call did not
	// run.
	ResendTakenOver InjectedBug = "resend a call of an earlier leader"
	// ReuseIncarnation restarts a node that lost its state under its previous
	// incarnation.
	ReuseIncarnation InjectedBug = "reuse an incarnation after state loss"
	// PlaceOutsideDomain places replicas in zones outside the domain.
	PlaceOutsideDomain InjectedBug = "place replicas outside the domain"
	// TruncateAnswers returns only half of an answer to the caller.
	TruncateAnswers InjectedBug = "truncate answers"
)

// Options describe one run.
type Options struct {
	Seed uint64
	// FaultSteps is the number of steps with faults. Steps without faults follow
	// until all work is finished.
	FaultSteps  int
	InjectedBug InjectedBug
}

// Report is the result of a run.
type Report struct {
	Steps, Faults int
	// Answers counts the answers that callers received, including repeated ones.
	Answers int
	// Executions counts the executions of engines and tools.
	// ExecutionsDuringFaults counts those among the steps with faults.
	Executions, ExecutionsDuringFaults int
	// CheckedPrompts counts the prompts that were compared with the callers'
	// records.
	CheckedPrompts int
	// Violation describes the first violated guarantee, or is empty.
	Violation string
}

const (
	shard = structs.ShardID(0)
	// maxFaultFreeSteps bounds the steps until all work is finished.
	maxFaultFreeSteps = 60_000
	// Simulated time per step, and the maximum offset of a clock.
	faultStepDuration     = 3 * time.Millisecond
	faultFreeStepDuration = 20 * time.Millisecond
	maxClockSkew          = 20 * time.Second
	replicaCount          = 3
)

var startTime = time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)

// cluster is the complete state of a simulation.
type cluster struct {
	options   Options
	random    *rand.Rand
	domain    structs.Domain
	now       time.Time
	network   network
	nodes     []*node
	engines   []*engine
	tool      *toolService
	callers   []*caller
	checker   *checker
	report    Report
	faultFree bool
}

// Run runs the simulation for a seed.
func Run(options Options) Report {
	c := newCluster(options)
	for range options.FaultSteps {
		c.step(allActions)
		if c.checker.violation != "" {
			break
		}
	}
	if c.checker.violation == "" {
		c.runUntilIdle()
	}
	c.report.Violation = c.checker.violation
	c.report.Executions = len(c.checker.executions)
	c.report.CheckedPrompts = c.checker.checkedPrompts
	return c.report
}

func newCluster(options Options) *cluster {
	c := &cluster{options: options, random: rand.New(rand.NewPCG(options.Seed, 7)), now: startTime}
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

// addNodes adds four nodes in the zones of the domain and one outside it.
func (c *cluster) addNodes() {
	for i, zone := range []structs.ZoneName{"a", "b", "c", "a", "outside"} {
		c.nodes = append(c.nodes, newNode(c, fmt.Sprintf("node-%d", i), zone))
	}
	first := placement.SelectReplicas(c.domain, shard, c.view(), replicaCount)
	for _, chosen := range first {
		c.node(chosen.ID).createReplica(first)
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

// view returns the nodes as a failure detector reports them.
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

func (c *cluster) oneIn(n int) bool { return c.random.IntN(n) == 0 }

func randomElement[T any](c *cluster, from []T) T { return from[c.random.IntN(len(from))] }

// runUntilIdle ends all faults and continues until all work is finished.
func (c *cluster) runUntilIdle() {
	c.clearFaults()
	c.faultFree = true
	c.report.ExecutionsDuringFaults = len(c.checker.executions)
	for range maxFaultFreeSteps {
		c.step(faultFreeActions)
		if c.checker.violation != "" {
			return
		}
		if c.report.Steps%100 == 0 && c.pendingWork() == "" {
			c.checker.checkFinalState()
			c.checkRetention()
			return
		}
	}
	c.checker.reportViolation("unfinished work after %d steps without faults: %s", maxFaultFreeSteps, c.pendingWork())
}

// checkRetention checks that all programs are removed after the retention time.
func (c *cluster) checkRetention() {
	c.now = c.now.Add(program.RetentionTime)
	for range maxFaultFreeSteps {
		if c.checker.violation != "" || c.checker.referenceMachine.ProgramCount() == 0 {
			return
		}
		c.step(faultFreeActions)
	}
	c.checker.reportViolation("%d programs remain after their retention time", c.checker.referenceMachine.ProgramCount())
}

// clearFaults ends all partitions, pauses and clock offsets.
func (c *cluster) clearFaults() {
	clear(c.network.partitioned)
	for _, n := range c.nodes {
		n.paused = false
		n.clockSkew = 0
	}
}

// pendingWork describes unfinished work, or returns an empty string.
func (c *cluster) pendingWork() string {
	for _, caller := range c.callers {
		if !caller.done && !caller.disconnected {
			return "unfinished caller " + caller.key
		}
	}
	for _, id := range c.checker.programIDs() {
		status, found := c.checker.referenceMachine.StatusForAnyTenant(id)
		if found && status.State != program.Ended {
			return fmt.Sprintf("program %s is %s", id, status.State)
		}
	}
	if holds := c.checker.referenceMachine.Holds(); len(holds) > 0 {
		return fmt.Sprintf("%d holds in the journal", len(holds))
	}
	for _, e := range c.engines {
		if len(e.heldPrograms) > 0 {
			return fmt.Sprintf("%d holds at %s", len(e.heldPrograms), e.name)
		}
	}
	if !c.noBackendMessages() {
		return "messages of engines or tools are in flight"
	}
	return c.pendingMembershipChange()
}

// pendingMembershipChange describes what the membership of the group still lacks:
// it must have replicaCount voters in different zones.
func (c *cluster) pendingMembershipChange() string {
	members := c.mostAdvancedNode().replica.Members()
	zones := map[structs.ZoneName]bool{}
	for _, member := range members {
		if member.Learner {
			return "a learner is not promoted yet"
		}
		zones[c.node(member.Node).zone] = true
	}
	if len(members) != replicaCount || len(zones) != replicaCount {
		return fmt.Sprintf("the group has %d members in %d zones", len(members), len(zones))
	}
	return ""
}

// noBackendMessages reports whether no message to or from an engine or tool is in
// flight. Such a message could still have an effect.
func (c *cluster) noBackendMessages() bool {
	for _, message := range c.network.inFlight {
		if message.isBackend {
			return false
		}
	}
	return true
}
