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

func seeded(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 1))
	return random.IntN
}

// faults are breakages of the members' surroundings.
type faults struct {
	broken breakage
	// reuseIncarnation lets a member that lost its memory return as itself.
	reuseIncarnation bool
}

// simulation is a group of members over a hostile network, with an oracle.
// Every choice comes from the chooser, so that a run can be repeated.
type simulation struct {
	choose  chooser
	faults  faults
	profile profile
	names   []structs.NodeID
	members map[structs.NodeID]*simulated
	flying  []flying
	blocked map[[2]structs.NodeID]bool
	oracle  *oracle
	next    int
	steps   int
	reads   int
}

type flying struct {
	from, to MemberID
	message  *journalv1.Message
}

// simulated is one node: its replica, its store and what is not yet stored.
type simulated struct {
	sim       *simulation
	id        MemberID
	replica   *Replica
	machine   []string
	position  uint64
	paused    bool
	stored    InitialState
	image     []string
	unwritten []Ready
	tombstone *journalv1.State
	proposals map[uint64]uint64 // index -> term of this node's proposals
	reads     map[uint64]uint64 // round -> index that must be applied
	serving   uint64            // term in which the node was seen serving
}

func newSimulation(choose chooser, faulty faults, shares profile, size, genesis int) *simulation {
	s := &simulation{
		choose: choose, faults: faulty, profile: shares, members: map[structs.NodeID]*simulated{},
		blocked: map[[2]structs.NodeID]bool{}, oracle: newOracle(),
	}
	var first []Member
	for i := range size {
		name := structs.NodeID(string(rune('a' + i)))
		s.names = append(s.names, name)
		if i < genesis {
			first = append(first, Member{Node: name, Incarnation: 1})
		}
	}
	for i, name := range s.names {
		m := &simulated{sim: s, id: MemberID{Node: name, Incarnation: 1}}
		s.members[name] = m
		if i < genesis {
			m.stored = BootstrapState(first)
			m.begin()
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

// begin starts the replica from what is stored.
func (m *simulated) begin() {
	self := m.id
	self.Admission = m.stored.State.GetAdmission()
	m.replica = New(m.sim.config(self), m.stored)
	m.replica.broken = m.sim.faults.broken
	m.machine = slices.Clone(m.image)
	m.position = m.stored.Index
	m.proposals, m.reads = map[uint64]uint64{}, map[uint64]uint64{}
	m.unwritten, m.paused, m.serving = nil, false, 0
	m.work()
}

// work does what the replica wants, except that storing waits for flush.
func (m *simulated) work() {
	for m.replica != nil && m.replica.HasReady() {
		ready := m.replica.Ready()
		m.transmit(ready.ImmediateMessages)
		m.unwritten = append(m.unwritten, ready)
		if ready.Snapshot != nil {
			m.restore(ready.Snapshot)
		}
		for _, entry := range ready.CommittedEntries {
			m.apply(entry)
		}
		m.finishReads(ready.ConfirmedRound)
		if ready.SnapshotNeeded {
			m.offer()
		}
		if ready.Removed {
			m.leave()
		}
	}
	m.observe()
}

func (m *simulated) transmit(envelopes []Envelope) {
	for _, envelope := range envelopes {
		from := m.id
		from.Admission = envelope.Message.FromAdmission
		m.sim.flying = append(m.sim.flying, flying{from: from, to: envelope.To, message: envelope.Message})
	}
}

func (m *simulated) restore(snapshot *Snapshot) {
	var state []string
	if err := json.Unmarshal(snapshot.Data, &state); err != nil {
		m.sim.oracle.violate("snapshot of %v is damaged: %v", m.id, err)
	}
	m.machine, m.position = state, snapshot.Index
	m.sim.oracle.checkState(m.id, snapshot.Index, state)
}

func (m *simulated) apply(entry *journalv1.Entry) {
	if entry.Index != m.position+1 {
		m.sim.oracle.violate("%v applied %d after %d", m.id, entry.Index, m.position)
	}
	m.position = entry.Index
	if entry.Type == journalv1.EntryType_ENTRY_TYPE_DATA {
		m.machine = append(m.machine, string(entry.Data))
	}
	m.sim.oracle.applied(m.id, entry)
	if term, mine := m.proposals[entry.Index]; mine && term == entry.Term {
		m.sim.oracle.acknowledged = max(m.sim.oracle.acknowledged, entry.Index)
	}
}

func (m *simulated) finishReads(confirmed uint64) {
	for round, required := range m.reads {
		if round > confirmed {
			continue
		}
		delete(m.reads, round)
		m.sim.reads++
		if m.position < required {
			m.sim.oracle.violate("stale read at %v: applied %d of %d", m.id, m.position, required)
		}
	}
}

func (m *simulated) snapshot() Snapshot {
	index, term, members := m.replica.AppliedPosition()
	data, _ := json.Marshal(m.machine)
	return Snapshot{Index: index, Term: term, Membership: members, Data: data}
}

func (m *simulated) offer() { m.replica.OfferSnapshot(m.snapshot()) }

// leave drops the replica and keeps its tombstone, as a host does.
func (m *simulated) leave() {
	m.tombstone = m.replica.Tombstone()
	m.replica, m.machine, m.image, m.unwritten = nil, nil, nil, nil
	m.stored = InitialState{State: m.tombstone}
}

// observe tells the oracle who leads and who serves.
func (m *simulated) observe() {
	if m.replica == nil {
		return
	}
	role, term, _, _, _ := m.replica.BasicStatus()
	if role == Leader {
		m.sim.oracle.leads(m.replica.Self(), term)
	}
	if m.replica.Serving() && m.serving != term {
		m.serving = term
		m.sim.oracle.serves(m)
	}
}

// flush stores the oldest write and sends what waited for it.
func (m *simulated) flush() {
	if len(m.unwritten) == 0 {
		return
	}
	write := m.unwritten[0]
	m.unwritten = m.unwritten[1:]
	m.write(write)
	m.transmit(write.MessagesAfterStore)
	if count := len(write.Entries); count > 0 && m.replica != nil {
		last := write.Entries[count-1]
		m.replica.Persisted(last.Index, last.Term)
	}
	m.work()
}

func (m *simulated) write(write Ready) {
	if snapshot := write.Snapshot; snapshot != nil {
		m.stored.Index, m.stored.Term, m.stored.Membership = snapshot.Index, snapshot.Term, snapshot.Membership
		m.stored.Entries = nil
		_ = json.Unmarshal(snapshot.Data, &m.image)
	}
	if write.State != nil {
		m.stored.State = write.State
	}
	if len(write.Entries) > 0 {
		first := write.Entries[0].Index
		kept := slices.DeleteFunc(slices.Clone(m.stored.Entries), func(e *journalv1.Entry) bool { return e.Index >= first })
		m.stored.Entries = append(kept, write.Entries...)
	}
}

// crash loses what was not stored; the store and the identity stay.
func (m *simulated) crash() {
	if m.replica != nil {
		m.begin()
	}
}

// forget loses everything; the node returns as another incarnation.
func (m *simulated) forget() {
	if !m.sim.faults.reuseIncarnation {
		m.id.Incarnation++
		m.stored = InitialState{}
	} else {
		m.stored = InitialState{Membership: m.stored.Membership}
	}
	m.replica, m.machine, m.image, m.tombstone, m.unwritten = nil, nil, nil, nil, nil
	m.position, m.paused = 0, false
	if m.sim.faults.reuseIncarnation {
		m.stored.Index, m.stored.Term = 0, 0
		m.begin()
	}
}

// receive hands a message to the replica, which is made where a group sends
// to this very incarnation.
func (m *simulated) receive(f flying) {
	if f.to.WithoutAdmission() != m.id {
		return
	}
	if m.admits(f) {
		m.tombstone, m.image = nil, nil
		m.stored = InitialState{State: &journalv1.State{Admission: f.to.Admission}}
		m.begin()
	}
	if m.replica == nil {
		return
	}
	m.replica.Step(f.from, f.to, f.message)
	m.work()
}

// admits reports whether a message is for an identity that the node has not
// had yet.
func (m *simulated) admits(f flying) bool {
	if !MayCreateReplica(f.message.Type) {
		return false
	}
	if m.replica != nil {
		return f.to.Admission > m.replica.Self().Admission
	}
	return m.tombstone == nil || f.to.Admission > m.tombstone.Admission || m.sim.faults.broken.reuseAdmission
}
