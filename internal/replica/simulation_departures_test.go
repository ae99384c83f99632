package replica

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

const (
	// departureRounds is the number of rounds of a schedule before its final fault. In a round
	// every member checks its group once.
	departureRounds = 16
	// suspectRounds and failedRounds are the numbers of rounds without contact after which a node
	// is suspect and failed.
	suspectRounds, failedRounds = 2, 3
	// stopRounds and isolationRounds are the numbers of rounds that a stopped or an isolated node
	// is down.
	stopRounds, isolationRounds = 2, 5
	forever                     = 1 << 20
)

// departureEvent is an event at one node in one round.
type departureEvent struct {
	kind  string
	node  string
	round int
}

func (e departureEvent) String() string { return fmt.Sprintf("%s %s at %d", e.kind, e.node, e.round) }

// departureSimulation simulates retirements, stops and losses of members in rounds. Each member
// decides on its group from the reports that it has received.
type departureSimulation struct {
	*simPartition
	round int
	// downUntil is the round in which a node returns, and downSince the round in which it went
	// down, by node.
	downUntil, downSince map[string]int
	stopping             map[string]bool
	retirements          map[string]bool
	// suspectRounds and failedRounds are the numbers of rounds without contact after which a node is
	// suspect and failed.
	suspectRounds, failedRounds int
	// unregistered are the nodes that have started while the platform's store was away, and stalled
	// those that copy nothing.
	unregistered, stalled map[string]bool
	// lastStanding is the last reported standing of each node.
	lastStanding map[string]*replicav1.Standing
	// startedAt is the round in which each node's process started last. If it is set, a node knows
	// nothing of the others from before its start.
	startedAt map[string]int
}

func newDepartureSimulation(t require.TestingT, members int) *departureSimulation {
	cluster := newSimCluster(t, 1, noMutation, members, 1)
	cluster.enableAnnouncements(1)
	p := cluster.partitions[0]
	p.startAgreedGroup()
	p.agreement = &simAgreement{ballots: newBallots(), stored: proto.CloneOf(p.group)}
	d := &departureSimulation{
		simPartition: p, downUntil: make(map[string]int), downSince: make(map[string]int),
		stopping: make(map[string]bool), retirements: make(map[string]bool), lastStanding: make(map[string]*replicav1.Standing),
		suspectRounds: suspectRounds, failedRounds: failedRounds, unregistered: make(map[string]bool), stalled: make(map[string]bool),
	}
	return d
}

// registeredNodes returns the nodes listed in the platform's store.
func (p *simPartition) registeredNodes() (nodes []directory.Replica) {
	for _, name := range p.nodeNames {
		nodes = append(nodes, directory.Replica{Node: name, Zone: name})
	}
	return nodes
}

// run applies events, followed by the final fault, in which one member loses its disk and all nodes
// lose power. It returns what does not work afterwards. If fewer than two machines are left before
// the final fault, it is skipped.
func (d *departureSimulation) run(events []departureEvent, lostIndex int) string {
	for ; d.round < departureRounds; d.round++ {
		for _, event := range events {
			if event.round == d.round {
				d.applyEvent(event)
			}
		}
		d.runRound()
	}
	survivors := d.presentNodes()
	if len(survivors) < 2 {
		return d.violation
	}
	if problem := d.failure(); problem != "" {
		return "before the final fault: " + problem
	}
	d.loseDisk(survivors[lostIndex%len(survivors)])
	d.powerOff()
	for range livenessRounds {
		d.round++
		d.runRound()
	}
	return d.failure()
}

// failure returns what does not work in the group, or "".
func (d *departureSimulation) failure() string {
	if d.violation != "" {
		return d.violation
	}
	group := d.group
	for _, member := range group.Members {
		if d.nodes[member.Node].down {
			return fmt.Sprintf("%s, which is down, is a member in epoch %d", member.Node, group.Epoch)
		}
		if !d.isInSync(member) {
			return fmt.Sprintf("%s is not in sync in epoch %d", member.Node, group.Epoch)
		}
	}
	if len(group.Members) < 2 {
		return "fewer than two members are left"
	}
	for _, id := range d.acknowledged {
		if missing := d.missingCount(id); missing > quorum.VoterCount(group)-quorum.WriteQuorum(quorum.VoterCount(group)) {
			return fmt.Sprintf("%s is missing at %d members of %d", id, missing, len(group.Members))
		}
	}
	return ""
}

// missingCount returns the number of members without a record.
func (d *departureSimulation) missingCount(id string) (missing int) {
	for _, member := range d.group.Members {
		turns, err := d.nodes[member.Node].state().turnChain(0, id)
		d.must(err)
		if len(turns) == 0 {
			missing++
		}
	}
	return missing
}

// presentNodes returns the running nodes.
func (d *departureSimulation) presentNodes() (nodes []*simNode) {
	for _, name := range d.nodeNames {
		if node := d.nodes[name]; !node.down {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// applyEvent applies one event.
func (d *departureSimulation) applyEvent(event departureEvent) {
	node := d.nodes[event.node]
	switch event.kind {
	case "retire":
		d.retirements[event.node] = true
	case "withdraw":
		delete(d.retirements, event.node)
	case "add":
		d.addNode(event.node)
	case "lose":
		d.stopFor(node, forever)
	case "cut":
		d.stopFor(node, isolationRounds)
	case "stop":
		if !node.down {
			d.stopping[event.node] = true
			d.evaluateGroup(node)
			d.stopFor(node, stopRounds)
		}
	}
}

// knownNodes returns the nodes that the members know of.
func (d *departureSimulation) knownNodes() []directory.Replica {
	return slices.DeleteFunc(d.registeredNodes(), func(node directory.Replica) bool { return d.unregistered[node.Node] })
}

// stopFor takes a node down for some rounds.
func (d *departureSimulation) stopFor(node *simNode, rounds int) {
	if node.down {
		return
	}
	node.down = true
	d.downUntil[node.name], d.downSince[node.name] = d.round+rounds, d.round
}

// loseDisk replaces a node's disk with an empty one.
func (d *departureSimulation) loseDisk(node *simNode) {
	node.state().log.Close()
	node.disk = recordlogtest.NewDisk()
	d.startNode(node)
}

// runRound lets every running node act once.
func (d *departureSimulation) runRound() {
	for _, phase := range d.phases() {
		phase()
	}
}

// phases returns the phases of a round, in order.
func (d *departureSimulation) phases() []func() {
	return []func(){d.returnNodes, d.writeRecord, d.distributeGroup, d.announceAll, d.queryStore, d.runCopies, d.reportStandings, d.evaluateGroups, d.completeRetirements}
}

// returnNodes restarts nodes whose down time is over.
func (d *departureSimulation) returnNodes() {
	for name, until := range d.downUntil {
		if until == d.round {
			delete(d.downUntil, name)
			delete(d.stopping, name)
			d.nodes[name].down = false
			d.restart(d.nodes[name], false)
		}
	}
}

// runCopies lets each member make one complete attempt of its copy.
func (d *departureSimulation) runCopies() {
	for _, member := range d.group.Members {
		if node := d.nodes[member.Node]; !node.down && !d.stalled[node.name] {
			d.runCopyAttempt(node)
		}
	}
}

// reportStandings records the standing that each node reports.
func (d *departureSimulation) reportStandings() {
	for _, node := range d.presentNodes() {
		d.lastStanding[node.name] = node.state().standing(0, d.group.Epoch)
	}
}

// evaluateGroups lets the nodes check their group until one of them has changed it.
func (d *departureSimulation) evaluateGroups() {
	epoch := d.group.Epoch
	for _, node := range d.presentNodes() {
		if d.group.Epoch == epoch {
			d.evaluateGroup(node)
		}
	}
}

// writeRecord writes one record to the running members.
func (d *departureSimulation) writeRecord() {
	d.lastID++
	record := &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: fmt.Sprintf("t%d", d.lastID)}}}
	d.startWrite(record)
	// The members that answer first differ from write to write.
	members := slices.Clone(d.group.Members)
	first := d.lastID % len(members)
	members = append(members[first:], members[:first]...)
	for i, member := range members {
		if node := d.nodes[member.Node]; !node.down && (i < quorum.WriteQuorum(len(members)) || d.lastID%3 == 0) {
			d.deliverTo(d.writes[len(d.writes)-1], node)
		}
	}
}

// evaluateGroup lets one member check the group and install the next one, if it would propose it.
func (d *departureSimulation) evaluateGroup(node *simNode) {
	if member := memberForNode(d.group, node.name); member == nil || quorum.IsJoining(member) {
		return
	}
	status := d.statusSeenBy(node)
	next := nextGroup(status)
	if next == nil {
		return
	}
	if leaving := selfRemovingMember(status, next); leaving != nil && (leaving.Node != node.name || !d.pushRecords(node)) {
		return
	}
	if d.install(node, next, nextDeparture(status)) {
		d.distributeGroup()
	}
}

// statusSeenBy returns the group status that one member knows.
func (d *departureSimulation) statusSeenBy(node *simNode) groupStatus {
	roundsDown := func(name string) int {
		if !d.nodes[name].down {
			return 0
		}
		return d.round - max(d.downSince[name], d.startedAt[node.name])
	}
	heard := func(name string) bool {
		return d.startedAt == nil || !d.nodes[name].down || d.downSince[name] > d.startedAt[node.name]
	}
	status := groupStatus{
		group: d.groupSeenByProposer(), nodes: d.knownNodes(), retiring: d.retirements, reportsStopping: d.isStopping,
		seatCounts: seatsByNode(d.groups()), removedMemberHoldsRecords: d.removedMemberHoldsRecords(),
		isHealthy: func(name string) bool { return heard(name) && roundsDown(name) < d.suspectRounds && !d.stopping[name] },
		hasFailed: func(name string) bool { return roundsDown(name) >= d.failedRounds },
		isInSync: func(name string) bool {
			standing := d.lastStanding[name]
			return heard(name) && roundsDown(name) < d.suspectRounds && standing.GetMember() && standing.GetRecovered() && standing.GetEpoch() == d.group.Epoch
		},
		previousHolderHoldsRecords: func(member *replicav1.Member) bool {
			node := d.nodes[member.Predecessor.Node]
			return !node.down && isPreviousHolder(d.group, member, node.state().standing(0, d.group.Epoch))
		},
		copiedIncarnation: func(name string) uint64 {
			if !heard(name) || roundsDown(name) >= d.suspectRounds {
				return 0
			}
			return copiedIncarnation(d.lastStanding[name], d.group.Epoch)
		},
	}
	status.exchangeComplete = d.exchange(status)
	return status
}

// isStopping reports whether a node has announced its stop recently enough.
func (d *departureSimulation) isStopping(name string) bool {
	return d.stopping[name] && (!d.nodes[name].down || d.round-d.downSince[name] < d.suspectRounds)
}

// pushRecords writes the records of a node to each other member, and reports whether all of them
// accepted it.
func (d *departureSimulation) pushRecords(node *simNode) bool {
	records, _, _, err := node.state().recordsAfter(0, 0, 1<<30)
	d.must(err)
	for _, member := range d.group.Members {
		target := d.nodes[member.Node]
		if target == node {
			continue
		}
		if target.down {
			return false
		}
		request := &replicav1.AppendRequest{Epoch: d.group.Epoch, Records: records}
		response, err := target.service.Append(context.Background(), connect.NewRequest(request))
		d.must(err)
		if standing := response.Msg.Standing; standing.Epoch != d.group.Epoch || !standing.Recovered {
			return false
		}
	}
	return true
}

// completeRetirements takes down retiring nodes that are not needed any more.
func (d *departureSimulation) completeRetirements() {
	for name := range d.retirements {
		node := d.nodes[name]
		if !node.down && memberForNode(d.group, name) == nil && d.isReleased(node) && d.unrecoveredMember() == nil {
			d.stopFor(node, forever)
			if len(d.group.Members) < 2 {
				d.violation = name + " was retired and left all records on one disk"
			}
		}
	}
}

// departureSchedules returns each combination of a retirement with another departure before or
// after it, without a standby, with one, or with the retirement canceled.
func departureSchedules() (schedules [][]departureEvent) {
	seconds := []departureEvent{
		{kind: "lose", node: "n0"}, {kind: "lose", node: "n1"}, {kind: "stop", node: "n0"}, {kind: "stop", node: "n1"},
		{kind: "cut", node: "n0"}, {kind: "cut", node: "n1"}, {kind: "retire", node: "n1"},
	}
	thirds := [][]departureEvent{
		nil, {{kind: "withdraw", node: "n0", round: 4}}, {{kind: "withdraw", node: "n0", round: 7}},
		{{kind: "add", node: "spare", round: 0}}, {{kind: "add", node: "spare", round: 4}}, {{kind: "add", node: "spare", round: 9}},
	}
	for _, second := range seconds {
		for round := range 9 {
			second.round = round
			for _, third := range thirds {
				schedules = append(schedules, append([]departureEvent{{kind: "retire", node: "n0", round: 3}, second}, third...))
			}
		}
	}
	return schedules
}

func TestRetirementWithConcurrentDepartureIsTolerated(t *testing.T) {
	for members := simReplicas; members <= maxSeats; members++ {
		t.Run(fmt.Sprintf("%d members", members), func(t *testing.T) {
			t.Parallel()
			for _, events := range departureSchedules() {
				for lostIndex := range members {
					d := newDepartureSimulation(t, members)
					problem := d.run(events, lostIndex)
					d.close()
					require.Empty(t, problem, fmt.Sprint(events, ", disk loss of member ", lostIndex))
				}
			}
		})
	}
}

// Two members failed within the same seconds and neither was replaced, because each change waited
// for the other one to be in sync.
func TestTwoFailuresOfFiveMembersAreTolerated(t *testing.T) {
	additions := [][]departureEvent{
		nil, {{kind: "add", node: "spare", round: 4}}, {{kind: "add", node: "spare", round: 9}},
		{{kind: "add", node: "spare", round: 0}, {kind: "add", node: "other", round: 9}},
		{{kind: "add", node: "spare", round: 4}, {kind: "add", node: "other", round: 4}},
	}
	for gap := range 4 {
		for _, added := range additions {
			for lostIndex := range maxSeats {
				events := append([]departureEvent{{kind: "lose", node: "n1", round: 3}, {kind: "lose", node: "n3", round: 3 + gap}}, added...)
				d := newDepartureSimulation(t, maxSeats)
				problem := d.run(events, lostIndex)
				d.close()
				require.Empty(t, problem, fmt.Sprint(events, ", disk loss of member ", lostIndex))
			}
		}
	}
}
