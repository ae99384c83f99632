package journal

import (
	"encoding/json"
	"math/rand/v2"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// chooser draws the next choice of a schedule, from rapid or from a seed.
type chooser func(n int) int

func seededChooser(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 1))
	return random.IntN
}

// simulationFaults are faults injected into the protocol and into the nodes.
type simulationFaults struct {
	protocol injectedFaults
	// reuseIncarnation lets a member that lost its memory return under the
	// same identity.
	reuseIncarnation bool
}

// simulation is a group of members on an unreliable network, with an oracle.
// Every choice comes from the chooser, so a run can be repeated.
type simulation struct {
	choose       chooser
	faults       simulationFaults
	profile      profile
	nodeNames    []structs.NodeID
	nodes        map[structs.NodeID]*simulatedNode
	inTransit    []messageInTransit
	blocked      map[[2]structs.NodeID]bool
	oracle       *oracle
	lastProposal int
	stepCount    int
	readCount    int
}

type messageInTransit struct {
	from, to MemberID
	message  *journalv1.Message
}

// simulatedNode is one node with its replica, its store and the writes that
// are not stored yet.
type simulatedNode struct {
	sim           *simulation
	id            MemberID
	replica       *Replica
	appliedData   []string
	appliedIndex  uint64
	paused        bool
	store         InitialState
	storedData    []string
	pendingWrites []Ready
	tombstone     *journalv1.State
	proposals     map[uint64]uint64 // index -> term of this node's proposals
	reads         map[uint64]uint64 // round -> index that must be applied
	servingTerm   uint64            // term in which the node was seen serving
}

func newSimulation(choose chooser, faults simulationFaults, weights profile, nodeCount, initialMemberCount int) *simulation {
	s := &simulation{
		choose: choose, faults: faults, profile: weights, nodes: map[structs.NodeID]*simulatedNode{},
		blocked: map[[2]structs.NodeID]bool{}, oracle: newOracle(),
	}
	var initialMembers []Member
	for i := range nodeCount {
		name := structs.NodeID(string(rune('a' + i)))
		s.nodeNames = append(s.nodeNames, name)
		if i < initialMemberCount {
			initialMembers = append(initialMembers, Member{Node: name, Incarnation: 1})
		}
	}
	for i, name := range s.nodeNames {
		m := &simulatedNode{sim: s, id: MemberID{Node: name, Incarnation: 1}}
		s.nodes[name] = m
		if i < initialMemberCount {
			m.store = BootstrapState(initialMembers)
			m.startReplica()
		}
	}
	return s
}

func (s *simulation) config(id MemberID) Config {
	config := DefaultConfig(1, id, rand.New(rand.NewPCG(uint64(id.Incarnation), uint64(id.Node[0]))))
	config.ElectionTicks, config.ProbeTicks, config.RetransmitTicks = 2, 2, 2
	config.QuorumTicks, config.CampaignTicks = 20, 20
	config.MaxAppendBytes, config.SnapshotChunkBytes = 1, 40
	return config
}

// startReplica starts the replica from the store.
func (m *simulatedNode) startReplica() {
	self := m.id
	self.Admission = m.store.State.GetAdmission()
	m.replica = New(m.sim.config(self), m.store)
	m.replica.injected = m.sim.faults.protocol
	m.appliedData = slices.Clone(m.storedData)
	m.appliedIndex = m.store.Index
	m.proposals, m.reads = map[uint64]uint64{}, map[uint64]uint64{}
	m.pendingWrites, m.paused, m.servingTerm = nil, false, 0
	m.processReady()
}

// processReady processes the replica's Ready, except for the writes, which
// completeWrite stores later.
func (m *simulatedNode) processReady() {
	for m.replica != nil && m.replica.HasReady() {
		ready := m.replica.Ready()
		m.transmit(ready.ImmediateMessages)
		m.pendingWrites = append(m.pendingWrites, ready)
		if ready.Snapshot != nil {
			m.restore(ready.Snapshot)
		}
		for _, entry := range ready.CommittedEntries {
			m.apply(entry)
		}
		m.finishReads(ready.ConfirmedRound)
		if ready.SnapshotNeeded {
			m.offerSnapshot()
		}
		if ready.Removed {
			m.dropRemovedReplica()
		}
	}
	m.reportToOracle()
}

func (m *simulatedNode) transmit(envelopes []Envelope) {
	for _, envelope := range envelopes {
		from := m.id
		from.Admission = envelope.Message.FromAdmission
		m.sim.inTransit = append(m.sim.inTransit, messageInTransit{from: from, to: envelope.To, message: envelope.Message})
	}
}

func (m *simulatedNode) restore(snapshot *Snapshot) {
	var state []string
	if err := json.Unmarshal(snapshot.Data, &state); err != nil {
		m.sim.oracle.recordViolation("snapshot at %v cannot be decoded: %v", m.id, err)
	}
	m.appliedData, m.appliedIndex = state, snapshot.Index
	m.sim.oracle.checkState(m.id, snapshot.Index, state)
}

func (m *simulatedNode) apply(entry *journalv1.Entry) {
	if entry.Index != m.appliedIndex+1 {
		m.sim.oracle.recordViolation("%v applied entry %d after entry %d", m.id, entry.Index, m.appliedIndex)
	}
	m.appliedIndex = entry.Index
	if entry.Type == journalv1.EntryType_ENTRY_TYPE_DATA {
		m.appliedData = append(m.appliedData, string(entry.Data))
	}
	m.sim.oracle.checkApplied(m.id, entry)
	if term, own := m.proposals[entry.Index]; own && term == entry.Term {
		m.sim.oracle.highestAcknowledged = max(m.sim.oracle.highestAcknowledged, entry.Index)
	}
}

func (m *simulatedNode) finishReads(confirmed uint64) {
	for round, required := range m.reads {
		if round > confirmed {
			continue
		}
		delete(m.reads, round)
		m.sim.readCount++
		if m.appliedIndex < required {
			m.sim.oracle.recordViolation("stale read at %v: applied entry %d, must have applied %d", m.id, m.appliedIndex, required)
		}
	}
}

func (m *simulatedNode) snapshot() Snapshot {
	index, term, members := m.replica.AppliedPosition()
	data, _ := json.Marshal(m.appliedData)
	return Snapshot{Index: index, Term: term, Membership: members, Data: data}
}

func (m *simulatedNode) offerSnapshot() { m.replica.OfferSnapshot(m.snapshot()) }

// dropRemovedReplica drops the replica and keeps its tombstone, as the
// replication host does.
func (m *simulatedNode) dropRemovedReplica() {
	m.tombstone = m.replica.Tombstone()
	m.replica, m.appliedData, m.storedData, m.pendingWrites = nil, nil, nil, nil
	m.store = InitialState{State: m.tombstone}
}

// reportToOracle reports to the oracle whether this node leads or serves.
func (m *simulatedNode) reportToOracle() {
	if m.replica == nil {
		return
	}
	role, term, _, _, _ := m.replica.BasicStatus()
	if role == Leader {
		m.sim.oracle.checkLeader(m.replica.Self(), term)
	}
	if m.replica.Serving() && m.servingTerm != term {
		m.servingTerm = term
		m.sim.oracle.checkServing(m)
	}
}

// completeWrite stores the oldest pending write and sends the messages that
// waited for it.
func (m *simulatedNode) completeWrite() {
	if len(m.pendingWrites) == 0 {
		return
	}
	write := m.pendingWrites[0]
	m.pendingWrites = m.pendingWrites[1:]
	m.write(write)
	m.transmit(write.MessagesAfterStore)
	if count := len(write.Entries); count > 0 && m.replica != nil {
		last := write.Entries[count-1]
		m.replica.Persisted(last.Index, last.Term)
	}
	m.processReady()
}

func (m *simulatedNode) write(write Ready) {
	if snapshot := write.Snapshot; snapshot != nil {
		m.store.Index, m.store.Term, m.store.Membership = snapshot.Index, snapshot.Term, snapshot.Membership
		m.store.Entries = nil
		_ = json.Unmarshal(snapshot.Data, &m.storedData)
	}
	if write.State != nil {
		m.store.State = write.State
	}
	if len(write.Entries) > 0 {
		first := write.Entries[0].Index
		kept := slices.DeleteFunc(slices.Clone(m.store.Entries), func(e *journalv1.Entry) bool { return e.Index >= first })
		m.store.Entries = append(kept, write.Entries...)
	}
}

// crash loses the pending writes. The store and the identity remain.
func (m *simulatedNode) crash() {
	if m.replica != nil {
		m.startReplica()
	}
}

// loseMemory loses everything. The node returns under another incarnation.
func (m *simulatedNode) loseMemory() {
	if !m.sim.faults.reuseIncarnation {
		m.id.Incarnation++
		m.store = InitialState{}
	} else {
		m.store = InitialState{Membership: m.store.Membership}
	}
	m.replica, m.appliedData, m.storedData, m.tombstone, m.pendingWrites = nil, nil, nil, nil, nil
	m.appliedIndex, m.paused = 0, false
	if m.sim.faults.reuseIncarnation {
		m.store.Index, m.store.Term = 0, 0
		m.startReplica()
	}
}

// receive passes a message to the replica. It creates the replica first if the
// message is from a group that admitted this incarnation.
func (m *simulatedNode) receive(transit messageInTransit) {
	if transit.to.WithoutAdmission() != m.id {
		return
	}
	if m.createsReplica(transit) {
		m.tombstone, m.storedData = nil, nil
		m.store = InitialState{State: &journalv1.State{Admission: transit.to.Admission}}
		m.startReplica()
	}
	if m.replica == nil {
		return
	}
	m.replica.Step(transit.from, transit.to, transit.message)
	m.processReady()
}

// createsReplica reports whether a message is for an identity that the node
// has not had yet.
func (m *simulatedNode) createsReplica(transit messageInTransit) bool {
	if !MayCreateReplica(transit.message.Type) {
		return false
	}
	if m.replica != nil {
		return transit.to.Admission > m.replica.Self().Admission
	}
	return m.tombstone == nil || transit.to.Admission > m.tombstone.Admission || m.sim.faults.protocol.reuseAdmission
}
