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

// node is a simulated daemon with its replica, its storage and its dispatcher.
type node struct {
	cluster   *cluster
	id        journal.MemberID
	zone      structs.ZoneName
	paused    bool
	clockSkew time.Duration

	replica *journal.Replica
	machine *program.Machine
	// stored survives a crash. storedSnapshot is the state of machine at its index.
	stored         journal.InitialState
	storedSnapshot []byte
	unstoredWrites []journal.Ready
	tombstone      *journalv1.State

	dispatcher dispatcher
}

func newNode(c *cluster, name string, zone structs.ZoneName) *node {
	n := &node{cluster: c, zone: zone, id: journal.MemberID{Node: structs.NodeID(name), Incarnation: 1}}
	n.dispatcher.reset(n)
	return n
}

func (n *node) name() string { return string(n.id.Node) }

func (n *node) now() time.Time { return n.cluster.now.Add(n.clockSkew) }

// createReplica creates a replica as an initial member of the group.
func (n *node) createReplica(initialMembers []structs.Node) {
	n.stored = journal.BootstrapState(members(initialMembers))
	n.startReplica()
}

func members(nodes []structs.Node) []journal.Member {
	chosen := make([]journal.Member, len(nodes))
	for i, member := range nodes {
		chosen[i] = journal.Member{Node: member.ID, Incarnation: member.Incarnation, Zone: member.Zone}
	}
	return chosen
}

// startReplica starts the replica from the stored state.
func (n *node) startReplica() {
	if n.zone == "outside" {
		n.cluster.checker.reportViolation("%s holds history outside the domain", n.name())
	}
	self := n.id
	self.Admission = n.stored.State.GetAdmission()
	config := journal.DefaultConfig(shard, self, rand.New(rand.NewPCG(uint64(self.Incarnation), uint64(len(n.name())))))
	config.ElectionTicks, config.ProbeTicks, config.RetransmitTicks = 2, 2, 2
	config.QuorumTicks, config.CampaignTicks = 20, 20
	n.replica = journal.New(config, n.stored)
	n.machine = program.NewMachine(shard)
	if n.storedSnapshot != nil {
		n.restoreMachine(n.storedSnapshot)
	}
	n.unstoredWrites = nil
	n.dispatcher.reset(n)
	n.processReady()
}

func (n *node) restoreMachine(data []byte) {
	if err := n.machine.Restore(data); err != nil {
		n.cluster.checker.reportViolation("%s cannot restore a snapshot: %v", n.name(), err)
	}
}

// processReady processes the replica's output. Its writes wait for
// storeOldestWrite.
func (n *node) processReady() {
	for n.replica != nil && n.replica.HasReady() {
		ready := n.replica.Ready()
		n.sendEnvelopes(ready.ImmediateMessages)
		n.unstoredWrites = append(n.unstoredWrites, ready)
		if ready.Snapshot != nil {
			n.restoreMachine(ready.Snapshot.Data)
		}
		for _, entry := range ready.CommittedEntries {
			n.applyEntry(entry)
		}
		n.dispatcher.completeConfirmations(ready.ConfirmedRound)
		if ready.SnapshotNeeded {
			n.offerSnapshot()
		}
		if ready.Removed {
			n.removeReplica()
		}
	}
	n.dispatcher.resetInNewTerm()
}

func (n *node) applyEntry(entry *journalv1.Entry) {
	if entry.Type == journalv1.EntryType_ENTRY_TYPE_DATA {
		n.machine.Apply(entry.Index, entry.Data)
	}
	n.cluster.checker.observeEntry(n, entry)
	n.dispatcher.completeProposal(entry)
}

func (n *node) sendEnvelopes(envelopes []journal.Envelope) {
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
	if n.createsReplica(to, message) {
		n.tombstone, n.storedSnapshot = nil, nil
		n.stored = journal.InitialState{State: &journalv1.State{Admission: to.Admission}}
		n.startReplica()
	}
	if n.replica != nil {
		n.replica.Step(from, to, message)
		n.processReady()
	}
}

// createsReplica reports whether a message admits the node under an identity that it
// has not had yet.
func (n *node) createsReplica(to journal.MemberID, message *journalv1.Message) bool {
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
		n.cluster.checker.reportViolation("%s cannot create a snapshot: %v", n.name(), err)
	}
	index, term, membership := n.replica.AppliedPosition()
	n.replica.OfferSnapshot(journal.Snapshot{Index: index, Term: term, Membership: membership, Data: data})
}

// removeReplica removes a replica that the group no longer contains.
func (n *node) removeReplica() {
	n.tombstone = n.replica.Tombstone()
	n.replica, n.storedSnapshot, n.unstoredWrites = nil, nil, nil
	n.stored = journal.InitialState{State: n.tombstone}
	n.dispatcher.reset(n)
}

// storeOldestWrite stores the oldest pending write and sends the messages that depend
// on it.
func (n *node) storeOldestWrite() {
	if len(n.unstoredWrites) == 0 || n.paused {
		return
	}
	write := n.unstoredWrites[0]
	n.unstoredWrites = n.unstoredWrites[1:]
	n.storeWrite(write)
	n.sendEnvelopes(write.MessagesAfterStore)
	if count := len(write.Entries); count > 0 && n.replica != nil {
		last := write.Entries[count-1]
		n.replica.Persisted(last.Index, last.Term)
	}
	n.processReady()
}

func (n *node) storeWrite(write journal.Ready) {
	if snapshot := write.Snapshot; snapshot != nil {
		n.stored.Index, n.stored.Term, n.stored.Membership = snapshot.Index, snapshot.Term, snapshot.Membership
		n.stored.Entries, n.storedSnapshot = nil, snapshot.Data
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

// restartAfterCrash restarts the replica without its pending writes.
func (n *node) restartAfterCrash() {
	if n.replica != nil && !n.paused {
		n.startReplica()
	}
}

// loseState deletes all state. The node returns as a new incarnation.
func (n *node) loseState() {
	membership := n.stored.Membership
	n.stored, n.storedSnapshot, n.tombstone, n.unstoredWrites = journal.InitialState{}, nil, nil, nil
	n.dispatcher.reset(n)
	if n.cluster.options.InjectedBug == ReuseIncarnation && n.replica != nil && membership.GetIndex() == 0 {
		n.stored.Membership = membership
		n.startReplica()
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
	if n.cluster.oneIn(4) {
		n.replica.EnsureLeader()
	}
	n.processReady()
}

func (n *node) compactLog() {
	if n.replica != nil && !n.paused {
		n.replica.Compact(0)
	}
}

// reconcileMembers sets the desired members according to placement.
func (n *node) reconcileMembers() {
	if !n.isServing() {
		return
	}
	var current []structs.NodeID
	for _, member := range n.replica.Members() {
		if !slices.Contains(current, member.Node) {
			current = append(current, member.Node)
		}
	}
	view := n.cluster.view()
	desired := placement.DesiredMembers(n.cluster.domain, shard, current, view, replicaCount)
	if sameNodes(desired, current) {
		desired = placement.ImproveZoneSpread(n.cluster.domain, shard, current, view)
	}
	n.replica.SetDesiredVoters(members(desired))
	n.processReady()
}

func sameNodes(desired []structs.Node, current []structs.NodeID) bool {
	for _, member := range desired {
		if !slices.Contains(current, member.ID) {
			return false
		}
	}
	return len(desired) == len(current)
}

func (n *node) isServing() bool { return n.replica != nil && !n.paused && n.replica.Serving() }
