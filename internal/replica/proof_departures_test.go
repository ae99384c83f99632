package replica

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

const (
	// departureRounds is how many rounds one play of departures has before its closing fault. A
	// round is one look of every member at its group.
	departureRounds = 16
	// suspectRounds and failedRounds are for how many rounds a node is silent until it counts as
	// suspect and as failed.
	suspectRounds, failedRounds = 2, 3
	// stopLasts and cutLasts are how many rounds a node that stops, or is cut off, is away.
	stopLasts, cutLasts = 2, 5
	forGood             = 1 << 20
)

// departureEvent is something that happens to one node in one round.
type departureEvent struct {
	what  string
	node  string
	round int
}

func (e departureEvent) String() string { return fmt.Sprintf("%s %s at %d", e.what, e.node, e.round) }

// departures plays retirements, stops and losses of members, round by round. Each member looks at
// its group by what it has heard.
type departures struct {
	*proof
	round int
	// awayUntil is, by node, until which round it says nothing, silentSince since when.
	awayUntil, silentSince map[string]int
	stopping               map[string]bool
	retirements            map[string]bool
	// shown is what each node said last of its seat.
	shown map[string]*replicav1.Standing
}

func newDepartures(t require.TestingT, members int) *departures {
	fleet := newProofFleet(t, 1, noBreakage, members, 1)
	fleet.announce(1)
	p := fleet.partitions[0]
	p.group = oneGroup(p.registered())
	for _, member := range p.group.Members {
		p.must(p.nodes[member.Node].state().write(groupRecord(p.group), identityRecord(0, &replicav1.Identity{
			Seat: member.Seat, Claim: member.Claim, Incarnation: p.random.Uint64() | 1, Recovered: true,
		})))
	}
	d := &departures{
		proof: p, awayUntil: make(map[string]int), silentSince: make(map[string]int),
		stopping: make(map[string]bool), retirements: make(map[string]bool), shown: make(map[string]*replicav1.Standing),
	}
	return d
}

// registered returns the nodes that the platform's store lists.
func (p *proof) registered() (nodes []directory.Replica) {
	for _, name := range p.order {
		nodes = append(nodes, directory.Replica{Node: name, Zone: name})
	}
	return nodes
}

// play plays events and returns what a closing fault, with the disk of one member lost, leaves
// broken; "" also where fewer than two machines are left for it.
func (d *departures) play(events []departureEvent, lostLast int) string {
	for ; d.round < departureRounds; d.round++ {
		for _, event := range events {
			if event.round == d.round {
				d.strike(event)
			}
		}
		d.oneRound()
	}
	present := d.present()
	if len(present) < 2 {
		return d.violation
	}
	if found := d.fault(); found != "" {
		return "before the closing fault: " + found
	}
	d.lose(present[lostLast%len(present)])
	d.powerOff()
	for range livenessRounds {
		d.round++
		d.oneRound()
	}
	return d.fault()
}

// fault returns what does not work in the group, or "".
func (d *departures) fault() string {
	if d.violation != "" {
		return d.violation
	}
	group := d.group
	for _, member := range group.Members {
		if d.nodes[member.Node].gone {
			return fmt.Sprintf("%s, which has gone, is a member in epoch %d", member.Node, group.Epoch)
		}
		if !d.holds(member) {
			return fmt.Sprintf("%s does not hold its seat in epoch %d", member.Node, group.Epoch)
		}
	}
	if len(group.Members) < 2 {
		return "one member is left"
	}
	for _, id := range d.acked {
		if missing := d.missing(id); missing > quorum.VoterCount(group)-quorum.WriteQuorum(quorum.VoterCount(group)) {
			return fmt.Sprintf("%s is missing at %d members of %d", id, missing, len(group.Members))
		}
	}
	return ""
}

// missing returns at how many members a record is not there.
func (d *departures) missing(id string) (missing int) {
	for _, member := range d.group.Members {
		turns, err := d.nodes[member.Node].state().chain(0, id)
		d.must(err)
		if len(turns) == 0 {
			missing++
		}
	}
	return missing
}

// present returns the machines that are there and are not to be emptied, or are still needed.
func (d *departures) present() (nodes []*proofNode) {
	for _, name := range d.order {
		if node := d.nodes[name]; !node.gone {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// strike brings one event about.
func (d *departures) strike(event departureEvent) {
	node := d.nodes[event.node]
	switch event.what {
	case "retire":
		d.retirements[event.node] = true
	case "withdraw":
		delete(d.retirements, event.node)
	case "add":
		d.addNode(event.node)
	case "lose":
		d.leave(node, forGood)
	case "cut":
		d.leave(node, cutLasts)
	case "stop":
		if !node.gone {
			d.stopping[event.node] = true
			d.look(node)
			d.leave(node, stopLasts)
		}
	}
}

// leave makes a node silent for some rounds.
func (d *departures) leave(node *proofNode, rounds int) {
	if node.gone {
		return
	}
	node.gone = true
	d.awayUntil[node.name], d.silentSince[node.name] = d.round+rounds, d.round
}

// lose takes a node's disk.
func (d *departures) lose(node *proofNode) {
	node.state().log.Close()
	node.disk = recordlogtest.NewDisk()
	d.open(node)
}

// oneRound lets everybody who is there act once.
func (d *departures) oneRound() {
	for _, phase := range d.phases() {
		phase()
	}
}

// phases returns the parts of a round, in their order.
func (d *departures) phases() []func() {
	return []func(){d.comeBack, d.write, d.spreadToAll, d.announceAll, d.copyAll, d.show, d.lookAll, d.completeRetirements}
}

// comeBack lets nodes return whose time away is over.
func (d *departures) comeBack() {
	for name, until := range d.awayUntil {
		if until == d.round {
			delete(d.awayUntil, name)
			delete(d.stopping, name)
			d.nodes[name].gone = false
			d.restart(d.nodes[name], false)
		}
	}
}

// copyAll lets each member take one whole attempt of its copy.
func (d *departures) copyAll() {
	for _, member := range d.group.Members {
		if node := d.nodes[member.Node]; !node.gone {
			d.copyWhole(node)
		}
	}
}

// show lets each node say how it stands.
func (d *departures) show() {
	for _, node := range d.present() {
		d.shown[node.name] = node.state().standing(0, d.group.Epoch)
	}
}

// lookAll lets the nodes look at their group until one has changed it.
func (d *departures) lookAll() {
	epoch := d.group.Epoch
	for _, node := range d.present() {
		if d.group.Epoch == epoch {
			d.look(node)
		}
	}
}

// write writes one record to the members that are there.
func (d *departures) write() {
	d.serial++
	record := &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: fmt.Sprintf("t%d", d.serial)}}}
	d.begin(record)
	// Which members answer first differs from write to write.
	members := slices.Clone(d.group.Members)
	first := d.serial % len(members)
	members = append(members[first:], members[:first]...)
	for i, member := range members {
		if node := d.nodes[member.Node]; !node.gone && (i < quorum.WriteQuorum(len(members)) || d.serial%3 == 0) {
			d.deliverTo(d.writes[len(d.writes)-1], node)
		}
	}
}

// look lets one member look at the group and propose the next one, as it would itself.
func (d *departures) look(node *proofNode) {
	if seatOf(d.group, node.name) == nil {
		return
	}
	seen := d.seenBy(node)
	next := nextGroup(seen)
	if next == nil {
		return
	}
	if leaving := handsOver(seen, next); leaving != nil && (leaving.Node != node.name || !d.handOver(node)) {
		return
	}
	d.group = next
	d.spreadToAll()
}

// seenBy is what one member knows.
func (d *departures) seenBy(node *proofNode) observation {
	silent := func(name string) int {
		if !d.nodes[name].gone {
			return 0
		}
		return d.round - d.silentSince[name]
	}
	seen := observation{
		group: d.proposedFrom(), nodes: d.registered(), retiring: d.retirements, stopping: d.stops,
		seats: seatsHeld(d.groups()), removedHolds: d.removedHolds(),
		healthy: func(name string) bool { return silent(name) < suspectRounds && !d.stopping[name] },
		failed:  func(name string) bool { return silent(name) >= failedRounds },
		settled: func(name string) bool {
			shown := d.shown[name]
			return silent(name) < suspectRounds && shown.GetMember() && shown.GetRecovered() && shown.GetEpoch() == d.group.Epoch
		},
	}
	seen.exchanged = d.exchange(seen)
	return seen
}

// stops reports whether a node has told that it stops, so lately that it is believed.
func (d *departures) stops(name string) bool {
	return d.stopping[name] && (!d.nodes[name].gone || d.round-d.silentSince[name] < suspectRounds)
}

// handOver writes what a node holds to each member that stays, and reports whether all took it.
func (d *departures) handOver(node *proofNode) bool {
	records, _, _, err := node.state().after(0, 0, 1<<30)
	d.must(err)
	for _, member := range d.group.Members {
		to := d.nodes[member.Node]
		if to == node {
			continue
		}
		if to.gone {
			return false
		}
		request := &replicav1.AppendRequest{Epoch: d.group.Epoch, Records: records}
		response, err := to.service.Append(context.Background(), connect.NewRequest(request))
		d.must(err)
		if standing := response.Msg.Standing; standing.Epoch != d.group.Epoch || !standing.Recovered {
			return false
		}
	}
	return true
}

// completeRetirements takes machines away that hold nothing any more.
func (d *departures) completeRetirements() {
	for name := range d.retirements {
		node := d.nodes[name]
		if !node.gone && seatOf(d.group, name) == nil && d.emptied(node) && d.unrecovered() == nil {
			d.leave(node, forGood)
			if len(d.group.Members) < 2 {
				d.violation = name + " was emptied, and left all there is on one disk"
			}
		}
	}
}

// departurePlays returns, for a group of so many members, each pair of a retirement with another
// departure, in both orders, with and without a node that stands by, and withdrawn.
func departurePlays() (plays [][]departureEvent) {
	seconds := []departureEvent{
		{what: "lose", node: "n0"}, {what: "lose", node: "n1"}, {what: "stop", node: "n0"}, {what: "stop", node: "n1"},
		{what: "cut", node: "n0"}, {what: "cut", node: "n1"}, {what: "retire", node: "n1"},
	}
	thirds := [][]departureEvent{
		nil, {{what: "withdraw", node: "n0", round: 4}}, {{what: "withdraw", node: "n0", round: 7}},
		{{what: "add", node: "spare", round: 0}}, {{what: "add", node: "spare", round: 4}}, {{what: "add", node: "spare", round: 9}},
	}
	for _, second := range seconds {
		for round := range 9 {
			second.round = round
			for _, third := range thirds {
				plays = append(plays, append([]departureEvent{{what: "retire", node: "n0", round: 3}, second}, third...))
			}
		}
	}
	return plays
}

func TestRetirementWithConcurrentDepartureIsTolerated(t *testing.T) {
	for members := proofReplicas; members <= maxSeats; members++ {
		t.Run(fmt.Sprintf("%d members", members), func(t *testing.T) {
			t.Parallel()
			for _, events := range departurePlays() {
				for last := range members {
					d := newDepartures(t, members)
					found := d.play(events, last)
					d.close()
					require.Empty(t, found, fmt.Sprint(events, ", closing ", last))
				}
			}
		})
	}
}

// Neither of two that failed within the same seconds was replaced: each waited for the other to be settled.
func TestTwoFailuresOfFiveMembersAreTolerated(t *testing.T) {
	additions := [][]departureEvent{
		nil, {{what: "add", node: "spare", round: 4}}, {{what: "add", node: "spare", round: 9}},
		{{what: "add", node: "spare", round: 0}, {what: "add", node: "other", round: 9}},
		{{what: "add", node: "spare", round: 4}, {what: "add", node: "other", round: 4}},
	}
	for gap := range 4 {
		for _, added := range additions {
			for last := range maxSeats {
				events := append([]departureEvent{{what: "lose", node: "n1", round: 3}, {what: "lose", node: "n3", round: 3 + gap}}, added...)
				d := newDepartures(t, maxSeats)
				found := d.play(events, last)
				d.close()
				require.Empty(t, found, fmt.Sprint(events, ", closing ", last))
			}
		}
	}
}
