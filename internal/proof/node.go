package proof

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// node is one daemon: its replica, its store and its dispatcher.
type node struct {
	cluster *cluster
	id      journal.MemberID
	zone    structs.ZoneName
	paused  bool
	skew    time.Duration

	replica *journal.Replica
	machine *program.Machine
	// stored survives a crash, with the machine's image at its index.
	stored    journal.InitialState
	image     []byte
	unwritten []journal.Ready
	tombstone *journalv1.State

	dispatcher dispatcher
}

func newNode(c *cluster, name string, zone structs.ZoneName) *node {
	n := &node{cluster: c, zone: zone, id: journal.MemberID{Node: structs.NodeID(name), Incarnation: 1}}
	n.dispatcher.reset(n)
	return n
}

func (n *node) name() string { return string(n.id.Node) }

func (n *node) now() time.Time { return n.cluster.now.Add(n.skew) }

// create makes the node a first member of the group.
func (n *node) create(first []structs.Node) {
	n.stored = journal.BootstrapState(members(first))
	n.begin()
}

func members(nodes []structs.Node) []journal.Member {
	chosen := make([]journal.Member, len(nodes))
	for i, member := range nodes {
		chosen[i] = journal.Member{Node: member.ID, Incarnation: member.Incarnation, Zone: member.Zone}
	}
	return chosen
}

// begin starts the replica from what is stored.
func (n *node) begin() {
	if n.zone == "outside" {
		n.cluster.checker.violate("%s holds history outside the domain", n.name())
	}
	self := n.id
	self.Admission = n.stored.State.GetAdmission()
	config := journal.DefaultConfig(shard, self, rand.New(rand.NewPCG(uint64(self.Incarnation), uint64(len(n.name())))))
	config.ElectionTicks, config.ProbeTicks, config.RetransmitTicks = 2, 2, 2
	config.QuorumTicks, config.CampaignTicks = 20, 20
	n.replica = journal.New(config, n.stored)
	n.machine = program.NewMachine(shard)
	if n.image != nil {
		n.restore(n.image)
	}
	n.unwritten = nil
	n.dispatcher.reset(n)
	n.work()
}

func (n *node) restore(data []byte) {
	if err := n.machine.Restore(data); err != nil {
		n.cluster.checker.violate("%s: %v", n.name(), err)
	}
}

// work does what the replica wants; storing waits for flush.
func (n *node) work() {
	for n.replica != nil && n.replica.HasReady() {
		ready := n.replica.Ready()
		n.transmit(ready.ImmediateMessages)
		n.unwritten = append(n.unwritten, ready)
		if ready.Snapshot != nil {
			n.restore(ready.Snapshot.Data)
		}
		for _, entry := range ready.CommittedEntries {
			n.apply(entry)
		}
		n.dispatcher.confirmed(ready.ConfirmedRound)
		if ready.SnapshotNeeded {
			n.offerSnapshot()
		}
		if ready.Removed {
			n.leave()
		}
	}
	n.dispatcher.observe()
}

func (n *node) apply(entry *journalv1.Entry) {
	if entry.Type == journalv1.EntryType_ENTRY_TYPE_DATA {
		n.machine.Apply(entry.Index, entry.Data)
	}
	n.cluster.checker.committed(n, entry)
	n.dispatcher.applied(entry)
}

func (n *node) transmit(envelopes []journal.Envelope) {
	for _, envelope := range envelopes {
		from := n.id
		from.Admission = envelope.Message.FromAdmission
		receiver := n.cluster.node(envelope.To.Node)
		n.cluster.network.send(n.name(), receiver.name(), false, func() { receiver.receive(from, envelope.To, envelope.Message) })
	}
}

func (n *node) receive(from, to journal.MemberID, message *journalv1.Message) {
	if to.WithoutAdmission() != n.id {
		return
	}
	if n.admits(to, message) {
		n.tombstone, n.image = nil, nil
		n.stored = journal.InitialState{State: &journalv1.State{Admission: to.Admission}}
		n.begin()
	}
	if n.replica != nil {
		n.replica.Step(from, to, message)
		n.work()
	}
}

// admits reports whether a message is for an identity that is new to the node.
func (n *node) admits(to journal.MemberID, message *journalv1.Message) bool {
	if !journal.MayCreateReplica(message.Type) {
		return false
	}
	if n.replica != nil {
		return to.Admission > n.replica.Self().Admission
	}
	return n.tombstone == nil || to.Admission > n.tombstone.Admission
}

func (n *node) offerSnapshot() {
	data, err := n.machine.Snapshot()
	if err != nil {
		n.cluster.checker.violate("%s: %v", n.name(), err)
	}
	index, term, membership := n.replica.AppliedPosition()
	n.replica.OfferSnapshot(journal.Snapshot{Index: index, Term: term, Membership: membership, Data: data})
}

// leave drops a replica that was removed from the group.
func (n *node) leave() {
	n.tombstone = n.replica.Tombstone()
	n.replica, n.image, n.unwritten = nil, nil, nil
	n.stored = journal.InitialState{State: n.tombstone}
	n.dispatcher.reset(n)
}

// flush stores the oldest write and sends what waited for it.
func (n *node) flush() {
	if len(n.unwritten) == 0 || n.paused {
		return
	}
	write := n.unwritten[0]
	n.unwritten = n.unwritten[1:]
	n.write(write)
	n.transmit(write.MessagesAfterStore)
	if count := len(write.Entries); count > 0 && n.replica != nil {
		last := write.Entries[count-1]
		n.replica.Persisted(last.Index, last.Term)
	}
	n.work()
}

func (n *node) write(write journal.Ready) {
	if snapshot := write.Snapshot; snapshot != nil {
		n.stored.Index, n.stored.Term, n.stored.Membership = snapshot.Index, snapshot.Term, snapshot.Membership
		n.stored.Entries, n.image = nil, snapshot.Data
	}
	if write.State != nil {
		n.stored.State = write.State
	}
	if len(write.Entries) > 0 {
		first := write.Entries[0].Index
		later := func(entry *journalv1.Entry) bool { return entry.Index >= first }
		n.stored.Entries = append(slices.DeleteFunc(slices.Clone(n.stored.Entries), later), write.Entries...)
	}
}

// crash loses what was not stored.
func (n *node) crash() {
	if n.replica != nil && !n.paused {
		n.begin()
	}
}

// forget loses everything; the node returns as another incarnation.
func (n *node) forget() {
	membership := n.stored.Membership
	n.stored, n.image, n.tombstone, n.unwritten = journal.InitialState{}, nil, nil, nil
	n.dispatcher.reset(n)
	if n.cluster.options.InjectedBug == ReuseIncarnation && n.replica != nil && membership.GetIndex() == 0 {
		n.stored.Membership = membership
		n.begin()
		return
	}
	n.replica = nil
	n.paused = false
	n.id.Incarnation++
}

func (n *node) tick() {
	if n.replica == nil || n.paused {
		return
	}
	n.replica.Tick()
	if n.cluster.chance(4) {
		n.replica.EnsureLeader()
	}
	n.work()
}

func (n *node) compact() {
	if n.replica != nil && !n.paused {
		n.replica.Compact(0)
	}
}

// reconcile moves the group toward the members that placement wants.
func (n *node) reconcile() {
	if !n.serving() {
		return
	}
	var current []structs.NodeID
	for _, member := range n.replica.Members() {
		if !slices.Contains(current, member.Node) {
			current = append(current, member.Node)
		}
	}
	view := n.cluster.view()
	wanted := placement.DesiredMembers(n.cluster.domain, shard, current, view, replicas)
	if sameNodes(wanted, current) {
		wanted = placement.ImproveZoneSpread(n.cluster.domain, shard, current, view)
	}
	n.replica.SetDesiredVoters(members(wanted))
	n.work()
}

func sameNodes(wanted []structs.Node, current []structs.NodeID) bool {
	for _, member := range wanted {
		if !slices.Contains(current, member.ID) {
			return false
		}
	}
	return len(wanted) == len(current)
}

func (n *node) serving() bool { return n.replica != nil && !n.paused && n.replica.Serving() }
