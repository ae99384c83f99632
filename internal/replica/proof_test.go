package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

// breakage is a deliberate fault of the replicas or of their clients; the proof
// must see each.
type breakage string

const (
	noBreakage      breakage = ""
	skipSync        breakage = "a sync is skipped"
	countEmpty      breakage = "an empty replica counts as recovered"
	dropReservation breakage = "a replica acknowledges a reservation and drops it"
	readMinority    breakage = "absence is concluded from one answer too few"
	ignoreSeen      breakage = "answers of a former life count"
	skipFence       breakage = "answers of a former epoch count"
	forgetSeen      breakage = "a recovered replica forgets which incarnations were seen"
	sumBeforeWrite  breakage = "the sum is read together with the write"
	retireUnemptied breakage = "a node goes before its records are handed over"
	recoverFromOne  breakage = "recovery is done after one answer"
	anyPredecessor  breakage = "a seat is copied from a predecessor that had lost what it held"
	earlyHolder     breakage = "a seat's holder counts before its transfer is complete"
	shrinkUnsettled breakage = "a node that has lost what its seat held leaves a shrinking group"
	longRound       breakage = "a sum counts in one round however long that took"
	unsettledRound  breakage = "a sum counts in one round although others are under way"
	earlySettlement breakage = "what a turn used is told right after its grant"
	anyPartition    breakage = "a node that is recovered in one partition counts in all"
	// The two that follow keep a group from coming back, which runLiveness sees.
	askOnce         breakage = "a source that was copied is not asked again how it stands"
	noAnnouncements breakage = "no member tells the others which incarnation it is"
	proofBudget              = 100
	proofMost                = 30
	proofReplicas            = 3
	proofSteps               = 400
	// partitionsPlayed are dealt over partitionsNodes, so that nodes hold seats of one,
	// two or three.
	partitionsPlayed = 3
	partitionsNodes  = 4
	// proofPartBytes makes a copy take several parts.
	proofPartBytes = 200
	// proofRound and proofSettle stand for quorum.OneRoundLimit and
	// quorum.SettleDelay; a step is the unit of time.
	proofRound  = 20
	proofSettle = 2 * proofRound
	// proofRivals is how many reservations one program makes there.
	proofRivals = 6
)

// proofNode is one machine with its disk.
type proofNode struct {
	name    string
	disk    *recordlogtest.Disk
	service *service
	gone    bool
}

// proofCopy is the recovery of one seat that is under way.
type proofCopy struct {
	*seatCopy
	// pulled are the standings of the sources that were copied whole, by node.
	pulled map[string]*replicav1.Standing
}

func (n *proofNode) state() *state { return n.service.state }

// write is one record on its way to the members of a group.
type proofWrite struct {
	record    *replicav1.Record
	group     *replicav1.Group
	delivered map[string]bool
	standings []*replicav1.Standing
	entries   [][]*replicav1.Entry
	// written is set once a majority has the record; a reservation's sum is
	// read after that, from the members in asked.
	written bool
	asked   map[string]bool
	done    bool
	// began is the step at which the write began, first what the answers to it told.
	began int64
	first turn.Ledger
}

// proofGrant is a reservation that was granted and is not settled yet.
type proofGrant struct {
	reservation *replicav1.Reservation
	at          int64
}

// proofRead asks members for one turn.
type proofRead struct {
	id        string
	group     *replicav1.Group
	asked     map[string]bool
	standings []*replicav1.Standing
	// acknowledged is set if the turn had been acknowledged when the read began.
	acknowledged bool
	found, done  bool
}

// proofFleet is real replica states on simulated disks, which hold the seats of one
// partition or of several.
type proofFleet struct {
	t          require.TestingT
	random     *rand.Rand
	broken     breakage
	nodes      map[string]*proofNode
	order      []string
	partitions []*proof
	serial     int
	retiring   string
	// oneRound is set where reservations may count in one round and turns are
	// settled; timing is then the source of what that adds. The schedules without
	// it are those from before.
	oneRound bool
	timing   *rand.Rand
	// announcing is set where members also announce themselves to any node, in the
	// middle of a schedule; announcements is then the source of which do.
	announcing    bool
	announcements *rand.Rand
	steps         int64
	// violation is the first promise that was broken.
	violation string
}

// proof is one partition's group with a plain oracle: what was acknowledged, and what
// was granted.
type proof struct {
	*proofFleet
	group     *replicav1.Group
	writes    []*proofWrite
	reads     []*proofRead
	acked     []string
	granted   map[string]int64
	unsettled []proofGrant
	// copies are the recoveries under way, by node.
	copies map[string]*proofCopy
}

// newProof returns a fleet of proofReplicas nodes with one partition.
func newProof(t require.TestingT, seed uint64, broken breakage) *proof {
	return newProofFleet(t, seed, broken, proofReplicas, 1).partitions[0]
}

func newProofFleet(t require.TestingT, seed uint64, broken breakage, nodes, partitions int) *proofFleet {
	fleet := &proofFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), broken: broken, nodes: make(map[string]*proofNode),
	}
	var members []directory.Replica
	for i := range nodes {
		node := fleet.addNode(fmt.Sprintf("n%d", i))
		members = append(members, directory.Replica{Node: node.name, Zone: node.name})
	}
	for _, group := range assign(members, partitions, proofReplicas) {
		p := &proof{proofFleet: fleet, group: group, granted: make(map[string]int64), copies: make(map[string]*proofCopy)}
		fleet.partitions = append(fleet.partitions, p)
		for _, member := range group.Members {
			p.must(fleet.nodes[member.Node].state().write(groupRecord(group), identityRecord(group.Partition, &replicav1.Identity{
				Seat: member.Seat, Claim: member.Claim, Incarnation: fleet.random.Uint64() | 1, Recovered: true,
			})))
		}
	}
	return fleet
}

func (f *proofFleet) must(err error) { require.NoError(f.t, err) }

func (f *proofFleet) addNode(name string) *proofNode {
	node := &proofNode{name: name, disk: recordlogtest.NewDisk()}
	f.nodes[name] = node
	f.order = append(f.order, name)
	f.open(node)
	return node
}

// open starts a node's process on its disk.
func (f *proofFleet) open(node *proofNode) {
	node.disk.SkipSync = f.broken == skipSync
	opened, err := openState(node.disk)
	f.must(err)
	node.service = &service{
		state: opened, directory: directory.NewState(time.Now, nil), heard: newHeard(time.Now),
		roster: newRoster(time.Now),
	}
	for _, partition := range f.partitions {
		delete(partition.copies, node.name)
	}
}

func (f *proofFleet) close() {
	for _, node := range f.nodes {
		node.state().log.Close()
	}
}

// any returns a node that is there.
func (f *proofFleet) any() *proofNode {
	for {
		if node := f.nodes[f.order[f.random.IntN(len(f.order))]]; !node.gone {
			return node
		}
	}
}

func (p *proof) anyMember(group *replicav1.Group) *proofNode {
	return p.nodes[group.Members[p.random.IntN(len(group.Members))].Node]
}

// step does one thing in one of the partitions.
func (f *proofFleet) step() {
	f.steps++
	acting := f.partitions[0]
	if len(f.partitions) > 1 {
		acting = f.partitions[f.random.IntN(len(f.partitions))]
	}
	acting.act()
}

func (p *proof) act() {
	if p.oneRound && p.timing.IntN(20) > 0 {
		p.budgetStep()
		return
	}
	switch chance := p.random.IntN(100); {
	case chance < 8:
		p.beginWrite()
	case chance < 12:
		p.beginRead()
	case chance < 52:
		p.deliver()
	case chance < 72:
		p.ask()
	case chance < 86:
		p.recoverStep()
	case chance < 89:
		p.restart(p.any(), false)
	case chance < 91:
		p.powerOff()
	case chance < 94:
		p.wipe()
	case chance < 97:
		p.changeGroup()
	default:
		p.spread()
	}
}

func (p *proof) beginWrite() {
	p.serial++
	record := &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: fmt.Sprintf("t%d", p.serial)}}}
	if p.random.IntN(2) == 0 {
		program := fmt.Sprintf("p%d", p.random.IntN(4))
		record.Kind = &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{
			Id: fmt.Sprintf("r%d", p.serial), Program: program, Most: proofMost,
		}}
	}
	p.begin(record)
}

func (p *proof) begin(record *replicav1.Record) {
	p.writes = append(p.writes, &proofWrite{record: record, group: p.group, delivered: map[string]bool{}, began: p.steps})
}

// budgetStep does one thing that concerns budgets.
func (p *proof) budgetStep() {
	switch chance := p.timing.IntN(100); {
	case chance < 12:
		p.serial++
		p.begin(&replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{
			Id: fmt.Sprintf("r%d", p.serial), Program: fmt.Sprintf("b%d", p.serial/proofRivals), Most: proofMost,
		}}})
	case chance < 37:
		p.settle()
	default:
		p.deliver()
	}
}

// settle ends a granted turn that used some of its tokens, not sooner than
// proofSettle after its grant.
func (p *proof) settle() {
	if len(p.unsettled) == 0 {
		return
	}
	i := p.timing.IntN(len(p.unsettled))
	grant := p.unsettled[i]
	if p.steps-grant.at < proofSettle && p.broken != earlySettlement {
		return
	}
	p.unsettled = append(p.unsettled[:i], p.unsettled[i+1:]...)
	used := int64(proofMost - p.timing.IntN(proofMost/3))
	p.granted[grant.reservation.Program] -= grant.reservation.Most - used
	p.begin(&replicav1.Record{Kind: &replicav1.Record_Settlement{Settlement: &replicav1.Settlement{
		Id: grant.reservation.Id, Program: grant.reservation.Program, Used: used,
	}}})
}

// deliver brings one write to one member.
func (p *proof) deliver() {
	if len(p.writes) == 0 {
		return
	}
	write := p.anyWrite()
	p.deliverTo(write, p.anyMember(write.group))
}

func (p *proof) deliverTo(write *proofWrite, node *proofNode) {
	if node.gone {
		return
	}
	if write.written && !write.done {
		p.sum(write, node)
		return
	}
	if write.delivered[node.name] {
		return
	}
	write.delivered[node.name] = true
	request := &replicav1.AppendRequest{Epoch: write.group.Epoch, Partition: write.group.Partition, Records: []*replicav1.Record{write.record}}
	if reservation := write.record.GetReservation(); reservation != nil {
		request.Programs = []string{reservation.Program}
	}
	if p.broken == dropReservation && write.record.GetReservation() != nil && p.random.IntN(2) == 0 {
		request.Records = nil
	}
	response, err := node.service.Append(context.Background(), connect.NewRequest(request))
	p.must(err)
	standing := p.standing(node, response.Msg.Standing)
	if write.done {
		return
	}
	write.standings = append(write.standings, standing)
	write.entries = append(write.entries, response.Msg.Entries)
	chosen := quorum.Choose(p.epoch(write.group), write.standings, quorum.WriteSize(len(write.group.Members)))
	if chosen == nil {
		return
	}
	if kept := write.record.GetTurn(); kept != nil {
		write.done = true
		p.acked = append(p.acked, kept.Id)
		return
	}
	if write.record.GetSettlement() != nil {
		write.done = true
		return
	}
	write.first = p.ledger(write, chosen)
	if p.broken == sumBeforeWrite || p.oneRound && p.countsInOneRound(write) {
		p.grant(write, write.first)
		return
	}
	write.written, write.asked, write.standings, write.entries = true, map[string]bool{}, nil, nil
}

// anyWrite returns a write. Where reservations count in one round it is one of the
// last, so that schedules are about those that meet.
func (p *proof) anyWrite() *proofWrite {
	if !p.oneRound {
		return p.writes[p.random.IntN(len(p.writes))]
	}
	recent := p.writes[max(0, len(p.writes)-4*proofRivals):]
	return recent[p.random.IntN(len(recent))]
}

// sum asks one member for the sum that a written reservation is part of.
func (p *proof) sum(write *proofWrite, node *proofNode) {
	if write.asked[node.name] {
		return
	}
	write.asked[node.name] = true
	program := write.record.GetReservation().Program
	request := &replicav1.AppendRequest{Epoch: write.group.Epoch, Partition: write.group.Partition, Programs: []string{program}}
	response, err := node.service.Append(context.Background(), connect.NewRequest(request))
	p.must(err)
	standing := p.standing(node, response.Msg.Standing)
	write.standings = append(write.standings, standing)
	write.entries = append(write.entries, response.Msg.Entries)
	if chosen := quorum.Choose(p.epoch(write.group), write.standings, quorum.WriteSize(len(write.group.Members))); chosen != nil {
		ledger := p.ledger(write, chosen)
		ledger.MergeLedger(write.first)
		p.grant(write, ledger)
	}
}

// countsInOneRound applies the breakages that concern reservations in one round.
func (p *proof) countsInOneRound(write *proofWrite) bool {
	took := p.steps - write.began
	switch p.broken {
	case longRound:
		took = 0
	case unsettledRound:
		return took <= proofRound
	}
	return quorum.OneRound(write.first, write.record.GetReservation().Id, took, proofRound)
}

// ledger puts together what the chosen answers tell.
func (p *proof) ledger(write *proofWrite, chosen []int) turn.Ledger {
	ledger := make(turn.Ledger)
	for _, i := range chosen {
		ledger.Merge(write.entries[i])
	}
	return ledger
}

// standing applies the breakages that concern what a replica says of itself.
func (p *proof) standing(node *proofNode, standing *replicav1.Standing) *replicav1.Standing {
	if p.broken == anyPartition {
		for _, other := range p.partitions {
			standing.Recovered = standing.Recovered || node.state().currentIdentity(other.group.Partition).GetRecovered()
		}
	}
	if p.broken == ignoreSeen {
		standing.Seen = nil
	}
	if p.broken == skipFence && standing.Member {
		standing.Epoch = 0
	}
	return standing
}

func (p *proof) epoch(group *replicav1.Group) uint64 {
	if p.broken == skipFence {
		return 0
	}
	return group.Epoch
}

// grant ends a reservation whose sum is known.
func (p *proof) grant(write *proofWrite, ledger turn.Ledger) {
	write.done = true
	reservation := write.record.GetReservation()
	if !ledger.Fits(reservation.Id, reservation.Most, proofBudget) {
		return
	}
	p.granted[reservation.Program] += reservation.Most
	if p.oneRound {
		p.unsettled = append(p.unsettled, proofGrant{reservation: reservation, at: p.steps})
	}
	if p.granted[reservation.Program] > proofBudget {
		p.violation = "program " + reservation.Program + " was granted more than its budget"
	}
}

func (p *proof) beginRead() {
	if len(p.acked) == 0 {
		return
	}
	p.reads = append(p.reads, &proofRead{
		id: p.acked[p.random.IntN(len(p.acked))], group: p.group, asked: map[string]bool{}, acknowledged: true,
	})
}

// ask brings one read to one member.
func (p *proof) ask() {
	if len(p.reads) == 0 {
		return
	}
	read := p.reads[p.random.IntN(len(p.reads))]
	node := p.anyMember(read.group)
	if read.done || read.asked[node.name] || node.gone {
		return
	}
	read.asked[node.name] = true
	request := &replicav1.ReadChainRequest{Epoch: read.group.Epoch, Partition: read.group.Partition, Id: read.id}
	response, err := node.service.ReadChain(context.Background(), connect.NewRequest(request))
	p.must(err)
	if len(response.Msg.Turns) > 0 {
		read.found, read.done = true, true
		return
	}
	read.standings = append(read.standings, p.standing(node, response.Msg.Standing))
	size := quorum.ReadSize(len(read.group.Members))
	if p.broken == readMinority {
		size--
	}
	if quorum.Choose(p.epoch(read.group), read.standings, size) != nil {
		read.done = true
		p.violation = "acknowledged turn " + read.id + " was told as unknown"
	}
}

// unrecovered returns a member that is not recovered, or nil.
func (p *proof) unrecovered() *proofNode { return p.unrecoveredBut(nil) }

func (p *proof) unrecoveredBut(except *proofNode) *proofNode {
	for _, member := range p.group.Members {
		if node := p.nodes[member.Node]; node != except && p.lacks(node) {
			return node
		}
	}
	return nil
}

// lacks reports whether a member does not hold everything that its seat held.
func (p *proof) lacks(node *proofNode) bool {
	identity := node.state().currentIdentity(p.group.Partition)
	return identity == nil || !identity.Recovered || identity.Claim != seatOf(p.group, node.name).Claim
}

// recoverStep takes one step of the recovery of a member that needs it.
func (p *proof) recoverStep() {
	node := p.unrecovered()
	if node == nil {
		return
	}
	if other := p.unrecoveredBut(node); other != nil && p.random.IntN(2) == 0 {
		node = other
	}
	p.recoverStepOf(node)
}

// recoverStepOf takes one step of one member's recovery.
func (p *proof) recoverStepOf(node *proofNode) {
	member := seatOf(p.group, node.name)
	p.must(node.state().write(groupRecord(p.group)))
	if begun := node.state().currentIdentity(p.group.Partition); begun != nil && begun.Incarnation == member.Predecessor.GetReceivedBy() {
		p.markRecovered(node)
		return
	}
	if p.copies[node.name] == nil {
		identity := &replicav1.Identity{
			Seat: member.Seat, Claim: member.Claim, Incarnation: p.random.Uint64() | 1, Recovered: p.broken == countEmpty,
		}
		p.must(node.state().write(identityRecord(p.group.Partition, identity)))
		p.copies[node.name] = &proofCopy{seatCopy: newSeatCopy(), pulled: make(map[string]*replicav1.Standing)}
		return
	}
	p.pull(node)
	enough := p.enough(member, p.wholeCopies(node))
	if enough == nil {
		return
	}
	p.must(node.state().write(p.adopted(enough, member.Seat)...))
	identity := node.state().currentIdentity(p.group.Partition)
	if inTransfer(member) && p.broken != earlyHolder {
		p.group = receivedGroup(p.group, member.Seat, identity.Incarnation)
		return
	}
	p.markRecovered(node)
}

// wholeCopies returns the standings of the sources that a node has copied whole, in
// the order of the nodes.
func (p *proof) wholeCopies(node *proofNode) (standings []*replicav1.Standing) {
	for _, name := range p.order {
		if standing := p.copies[node.name].pulled[name]; standing != nil {
			standings = append(standings, standing)
		}
	}
	return standings
}

func (p *proof) markRecovered(node *proofNode) {
	recovered := proto.CloneOf(node.state().currentIdentity(p.group.Partition))
	recovered.Recovered = true
	p.must(node.state().write(identityRecord(p.group.Partition, recovered)))
	delete(p.copies, node.name)
}

// enough applies the breakages that concern when a recovery is done.
func (p *proof) enough(member *replicav1.Member, pulled []*replicav1.Standing) []*replicav1.Standing {
	switch {
	case p.broken == recoverFromOne && len(pulled) > 0 && pulled[0].Member:
		return pulled[:1]
	case p.broken == skipFence:
		if chosen := quorum.Choose(0, pulled, quorum.RecoverSize(len(p.group.Members))); chosen != nil {
			return pulled
		}
		return nil
	}
	for _, standing := range pulled {
		copied := standing.Seat == member.Seat && standing.Claim == member.Predecessor.GetClaim()
		if copied && p.broken == anyPredecessor {
			return []*replicav1.Standing{standing}
		}
	}
	return enoughToRecover(p.group, member, pulled)
}

// adopted returns what a recovered member takes over of the incarnations seen.
func (p *proof) adopted(pulled []*replicav1.Standing, seat uint32) []*replicav1.Record {
	if p.broken == forgetSeen {
		return nil
	}
	return seenBy(pulled, p.group.Partition, seat)
}

// pull copies one part of another member's records, from where the last one ended.
func (p *proof) pull(node *proofNode) {
	other := p.source(node)
	if other == node || other.gone {
		return
	}
	p.must(other.state().write(groupRecord(p.group)))
	identity := node.state().currentIdentity(p.group.Partition)
	copied := p.copies[node.name]
	source := copied.of(other.name)
	request := &replicav1.PullRequest{
		Epoch: p.group.Epoch, Partition: p.group.Partition, Seat: identity.Seat, Incarnation: identity.Incarnation,
		After: source.after, MaxBytes: proofPartBytes,
	}
	response, err := other.service.Pull(context.Background(), connect.NewRequest(request))
	p.must(err)
	p.must(node.state().write(response.Msg.Records...))
	if p.broken == askOnce && copied.pulled[other.name] != nil {
		return
	}
	delete(copied.pulled, other.name)
	if source.take(response.Msg) {
		return
	}
	if response.Msg.Standing.Recovered || p.broken == anyPredecessor {
		copied.pulled[other.name] = p.standing(other, response.Msg.Standing)
	}
}

// source returns a node to copy from: another member, or the one that held the
// seat before.
func (p *proof) source(node *proofNode) *proofNode {
	sources := recoverySources(p.group, seatOf(p.group, node.name))
	return p.nodes[sources[p.random.IntN(len(sources))].Node]
}

// restart ends a node's process and starts it again, after a loss of power if
// power is set.
func (f *proofFleet) restart(node *proofNode, power bool) {
	if power {
		after := node.disk.LosePower(f.random)
		node.state().log.Close()
		node.disk = after
	} else {
		node.state().log.Close()
	}
	f.open(node)
}

func (f *proofFleet) powerOff() {
	for _, name := range f.order {
		if node := f.nodes[name]; !node.gone {
			f.restart(node, true)
		}
	}
}

// wipe takes a member's disk, while every member is recovered, or while the only
// other seat that is not has a holder before it that still has everything: one
// loss at a time is what must be borne.
func (p *proof) wipe() {
	if p.retiring != "" && len(p.group.Members) < proofReplicas {
		return
	}
	lacking := p.unrecovered()
	if lacking != nil && !p.passedOn(lacking) {
		return
	}
	node := p.anyMember(p.group)
	if lacking != nil && (node == lacking || p.unrecoveredBut(lacking) != nil) {
		return
	}
	for _, other := range p.partitions {
		if other != p && !other.bearsTheLossOf(node) {
			return
		}
	}
	node.state().log.Close()
	node.disk = recordlogtest.NewDisk()
	p.open(node)
	if p.random.IntN(3) == 0 {
		// All others lose power at the same time.
		for _, name := range p.order {
			if other := p.nodes[name]; other != node && !other.gone {
				p.restart(other, true)
			}
		}
	}
}

// bearsTheLossOf reports whether a partition may lose a node's disk: the node holds
// nothing of it, or every member is recovered.
func (p *proof) bearsTheLossOf(node *proofNode) bool {
	if node.state().currentIdentity(p.group.Partition) == nil {
		return true
	}
	return p.unrecovered() == nil && (p.retiring == "" || len(p.group.Members) >= proofReplicas)
}

// passedOn reports whether a member's predecessor still has what the seat held.
func (p *proof) passedOn(node *proofNode) bool {
	member := seatOf(p.group, node.name)
	before := member.Predecessor
	if !inTransfer(member) || p.nodes[before.Node].gone {
		return false
	}
	identity := p.nodes[before.Node].state().currentIdentity(p.group.Partition)
	return identity.GetRecovered() && identity.Claim == before.Claim
}

// spread lets a node learn the group in force.
func (p *proof) spread() {
	p.must(p.any().state().write(groupRecord(p.group)))
	if p.announcing {
		p.announceToAny()
	}
}

// announceToAny makes a node that has a seat, as far as it knows, tell any other node,
// as members do that look for one which can take a seat.
func (p *proof) announceToAny() {
	from := p.nodes[p.order[p.announcements.IntN(len(p.order))]]
	to := p.nodes[p.order[p.announcements.IntN(len(p.order))]]
	known := from.state().currentGroup(p.group.Partition)
	if from == to || from.gone || to.gone || known == nil {
		return
	}
	_, err := to.service.Announce(context.Background(), connect.NewRequest(announcementOf(from.state(), known, from.name)))
	p.must(err)
}

// announce makes announcements part of the fleet's schedule.
func (f *proofFleet) announce(seed uint64) *proofFleet {
	f.announcing, f.announcements = true, rand.New(rand.NewPCG(seed, 13))
	return f
}

// changeGroup goes one step on with a retirement, or begins one.
func (p *proof) changeGroup() {
	if p.retiring == "" {
		if p.anyUnrecovered() || len(p.order) > 8 {
			return
		}
		if p.random.IntN(2) == 0 || len(p.group.Members) < proofReplicas {
			p.addNode(fmt.Sprintf("n%d", len(p.order)))
		}
		if p.smallestGroup() > 2 {
			p.retiring = p.anyMember(p.group).name
		}
	}
	p.propose()
	p.completeRetirement()
}

func (f *proofFleet) anyUnrecovered() bool {
	for _, partition := range f.partitions {
		if partition.unrecovered() != nil {
			return true
		}
	}
	return false
}

func (f *proofFleet) smallestGroup() int {
	smallest := len(f.partitions[0].group.Members)
	for _, partition := range f.partitions {
		smallest = min(smallest, len(partition.group.Members))
	}
	return smallest
}

func (f *proofFleet) groups() (groups []*replicav1.Group) {
	for _, partition := range f.partitions {
		groups = append(groups, partition.group)
	}
	return groups
}

func (p *proof) propose() {
	var nodes []directory.Replica
	for _, name := range p.order {
		if !p.nodes[name].gone {
			nodes = append(nodes, directory.Replica{Node: name, Zone: name})
		}
	}
	next := nextGroup(observation{
		group: p.group, nodes: nodes, retiring: map[string]bool{p.retiring: true}, seats: seatsHeld(p.groups()),
		alive: func(string) bool { return true },
		settled: func(name string) bool {
			if p.broken == shrinkUnsettled && name == p.retiring {
				return true
			}
			standing := p.nodes[name].state().standing(p.group.Partition, p.group.Epoch)
			return standing.Member && standing.Recovered && standing.Epoch == p.group.Epoch
		},
	})
	if next != nil {
		p.group = next
	}
}

// completeRetirement lets the retiring node go once every partition has what it held.
func (f *proofFleet) completeRetirement() {
	if f.retiring == "" || f.anyUnrecovered() {
		return
	}
	node := f.nodes[f.retiring]
	for _, partition := range f.partitions {
		if seatOf(partition.group, node.name) != nil {
			return
		}
	}
	for _, partition := range f.partitions {
		if !partition.emptied(node) {
			return
		}
	}
	node.gone = true
	f.retiring = ""
}

// emptied reports whether a node that has no seat in the partition may go, after it
// has handed its records over where its seat was not passed on.
func (p *proof) emptied(node *proofNode) bool {
	if node.state().currentIdentity(p.group.Partition) == nil {
		return true
	}
	p.must(node.state().write(groupRecord(p.group)))
	if p.broken == retireUnemptied || passedSeatOf(p.group, node.name) != nil {
		return true
	}
	records, _, _, err := node.state().after(p.group.Partition, 0, 1<<30)
	p.must(err)
	for _, member := range p.group.Members {
		request := &replicav1.AppendRequest{Epoch: p.group.Epoch, Partition: p.group.Partition, Records: records}
		response, err := p.nodes[member.Node].service.Append(context.Background(), connect.NewRequest(request))
		p.must(err)
		if standing := response.Msg.Standing; standing.Epoch != p.group.Epoch || !standing.Recovered {
			return false
		}
	}
	return true
}

// runProof plays one schedule and returns the first broken promise.
func runProof(t require.TestingT, seed uint64, broken breakage) string {
	return runSchedule(newProof(t, seed, broken).proofFleet)
}

// runOneRoundProof plays one schedule in which reservations may count in one round.
func runOneRoundProof(t require.TestingT, seed uint64, broken breakage) string {
	p := newProof(t, seed, broken)
	p.oneRound, p.timing = true, rand.New(rand.NewPCG(seed, 11))
	return runSchedule(p.proofFleet)
}

// runPartitionsProof plays one schedule of several partitions on the same nodes.
func runPartitionsProof(t require.TestingT, seed uint64, broken breakage) string {
	return runSchedule(newProofFleet(t, seed, broken, partitionsNodes, partitionsPlayed).announce(seed))
}

func runSchedule(fleet *proofFleet) string {
	defer fleet.close()
	for range proofSteps * len(fleet.partitions) {
		if fleet.step(); fleet.violation != "" {
			return fleet.violation
		}
	}
	return ""
}

// TestFoundSchedules plays schedules that were found: each shows a fault that the
// code once had, or nearly had, and is clean without it.
func TestFoundSchedules(t *testing.T) {
	for broken, seed := range map[breakage]uint64{
		// Absence was concluded from one answer too few after a change of the group.
		readMinority: 9,
		// The replica that had seen the new life of a disk lost its own.
		forgetSeen: 12285,
		// Three reservations, each with the sum read together with the write, missed
		// each other.
		sumBeforeWrite: 44885,
		// A new holder acknowledged a turn, lost its disk and copied its seat once more
		// from the node before it, which never had that turn.
		earlyHolder: 7957,
		// An emptied node left a shrinking group before it had recovered.
		shrinkUnsettled: 29149,
	} {
		require.NotEmpty(t, runProof(t, seed, broken), broken)
		require.Empty(t, runProof(t, seed, noBreakage), broken)
	}
}

func TestNothingAcknowledgedIsLostAndNoBudgetOverdrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		require.Empty(t, runProof(t, seed, noBreakage))
		require.Empty(t, runOneRoundProof(t, seed, noBreakage), "reservations in one round")
		require.Empty(t, runPartitionsProof(t, seed, noBreakage), "several partitions")
	})
}

// rareSeeds are where the search for a rare schedule begins: they were found by
// a longer one.
var rareSeeds = map[breakage]uint64{
	forgetSeen: 12000, sumBeforeWrite: 44500, anyPredecessor: 2500, earlyHolder: 7500, shrinkUnsettled: 29000,
}

// TestEachBreakageIsSeen runs the same schedules with one deliberate fault.
func TestEachBreakageIsSeen(t *testing.T) {
	const seeds = 600
	for _, broken := range []breakage{
		skipSync, countEmpty, dropReservation, readMinority, ignoreSeen, skipFence, sumBeforeWrite, forgetSeen, retireUnemptied, recoverFromOne,
		anyPredecessor, earlyHolder, shrinkUnsettled,
	} {
		t.Run(string(broken), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				if runProof(t, rareSeeds[broken]+seed, broken) != "" {
					return
				}
			}
			t.Fatal("not seen")
		})
	}
}

// TestEachBreakageIsSeenAmongSeveralPartitions runs those faults again where nodes hold
// seats of several partitions, and the one that concerns only these.
func TestEachBreakageIsSeenAmongSeveralPartitions(t *testing.T) {
	const seeds = 600
	for _, broken := range []breakage{
		skipSync, countEmpty, dropReservation, readMinority, ignoreSeen, skipFence, retireUnemptied, recoverFromOne, anyPartition,
	} {
		t.Run(string(broken), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				if runPartitionsProof(t, seed, broken) != "" {
					return
				}
			}
			t.Fatal("not seen")
		})
	}
}
