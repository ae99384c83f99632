package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

const (
	simRetention = time.Minute
	// simLoanRetention is that of some records of programs, as those of loans, but longer.
	simLoanRetention = 3 * simRetention
	// simExpirySubjects is the number of chains, and of programs, that are used at a time.
	simExpirySubjects = 3
	// simExpiryEnd is the time after the last use and the last fault within which all replicas must be empty. A
	// restart or a copy counts as a use, and records are kept for some seconds beyond their retention.
	simExpiryEnd = simLoanRetention + 20*time.Second
)

// expiryMember is one member of the group, with its disk.
type expiryMember struct {
	member *replicav1.Member
	disk   *recordlogtest.Disk
	state  *state
	// away is set while the member is cut off from the others.
	away bool
}

// expirySimulation is a group of real replica states whose records expire. Uses of chains and programs are written to
// random quorums, and members are away, restart and lose their disks.
type expirySimulation struct {
	t       *rapid.T
	now     time.Time
	group   *replicav1.Group
	members []*expiryMember
	lastID  int
	// latest is the latest turn of each chain in use, and lastUse when each chain or program was last used.
	latest  map[string]string
	lastUse map[string]time.Time
	// records are the acknowledged turns and reservations of each chain or program, and retention is the longest of them.
	records   map[string][]string
	retention map[string]time.Duration
}

func newExpirySimulation(t *rapid.T, size int) *expirySimulation {
	s := &expirySimulation{
		t: t, now: time.Unix(1_000_000, 0), group: &replicav1.Group{Epoch: 1, Target: uint32(size)},
		latest: make(map[string]string), lastUse: make(map[string]time.Time), records: make(map[string][]string),
		retention: make(map[string]time.Duration),
	}
	for i := range size {
		member := &replicav1.Member{Seat: uint32(i), Node: fmt.Sprintf("n%d", i), Claim: 1}
		s.group.Members = append(s.group.Members, member)
		s.members = append(s.members, &expiryMember{member: member})
	}
	for _, each := range s.members {
		s.startEmpty(each, uint64(each.member.Seat)+100)
	}
	return s
}

func (s *expirySimulation) open(each *expiryMember) {
	opened, err := openStateWithClock(each.disk, func() time.Time { return s.now })
	require.NoError(s.t, err)
	each.state = opened
}

// startEmpty starts a member with an empty disk and a new incarnation, which holds what its seat held.
func (s *expirySimulation) startEmpty(each *expiryMember, incarnation uint64) {
	each.disk = recordlogtest.NewDisk()
	s.open(each)
	identity := &replicav1.Identity{Seat: each.member.Seat, Claim: 1, Incarnation: incarnation, Recovered: true}
	require.NoError(s.t, each.state.write(groupRecord(s.group), identityRecord(0, identity)))
	for _, other := range s.members {
		if other != each && other.state != nil {
			require.NoError(s.t, other.state.write(incarnationRecord(0, each.member.Seat, incarnation)))
			require.NoError(s.t, each.state.write(incarnationRecord(0, other.member.Seat, other.state.currentIdentity(0).Incarnation)))
		}
	}
}

// present returns the members that are not away.
func (s *expirySimulation) present() (present []*expiryMember) {
	for _, each := range s.members {
		if !each.away {
			present = append(present, each)
		}
	}
	return present
}

func (s *expirySimulation) hasQuorum() bool {
	return len(s.present()) >= quorum.WriteQuorum(len(s.members))
}

// writeToQuorum writes a record of a chain or program to a random write quorum.
func (s *expirySimulation) writeToQuorum(subject, id string, record *replicav1.Record, retention time.Duration) {
	record.RetentionMs = retention.Milliseconds()
	s.retention[subject] = max(s.retention[subject], retention)
	present := s.present()
	rand.New(rand.NewPCG(rapid.Uint64().Draw(s.t, "quorum"), 1)).Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	for _, each := range present[:quorum.WriteQuorum(len(s.members))] {
		require.NoError(s.t, each.state.write(record))
	}
	s.records[subject] = append(s.records[subject], id)
	s.lastUse[subject] = s.now
}

// isInUse reports whether the records of a chain or program must be kept.
func (s *expirySimulation) isInUse(subject string) bool {
	last, known := s.lastUse[subject]
	return known && s.now.Sub(last) < s.retention[subject]
}

// useChain goes on from the latest turn of a chain, or begins a new one if that is too old.
func (s *expirySimulation) useChain(number int) {
	s.lastID++
	id := fmt.Sprintf("t%d", s.lastID)
	slot := fmt.Sprintf("slot%d", number)
	chainID, previous := s.latest[slot], ""
	if s.isInUse(chainID) {
		turns := s.records[chainID]
		previous = turns[len(turns)-1]
	} else {
		chainID = id
		s.latest[slot] = id
	}
	s.writeToQuorum(chainID, id, &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: id, Previous: previous, Chain: chainID}}}, simRetention)
}

// useProgram reserves for a program, which is another one if it has not been used for long.
func (s *expirySimulation) useProgram(number int) {
	s.lastID++
	id, slot := fmt.Sprintf("r%d", s.lastID), fmt.Sprintf("program%d", number)
	program := s.latest[slot]
	if !s.isInUse(program) {
		program = "p" + id
		s.latest[slot] = program
	}
	retention := rapid.SampledFrom([]time.Duration{simRetention, simLoanRetention}).Draw(s.t, "retention")
	s.writeToQuorum(program, id, &replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{Id: id, Program: program, Most: 1}}}, retention)
}

// expire lets one member ask the others and drop what is unused.
func (s *expirySimulation) expire(asking *expiryMember) {
	unused, found := asking.state.unusedRecords(s.now)[0]
	if !found {
		return
	}
	request := &replicav1.LastUseRequest{Epoch: s.group.Epoch, Chains: unused.Chains, Programs: unused.Programs}
	answers := []*replicav1.LastUseResponse{asking.state.lastUse(request)}
	for _, each := range s.present() {
		if !asking.away && each != asking {
			answers = append(answers, each.state.lastUse(request))
		}
	}
	asking.state.dropUnused(0, unused, answers, isLastUseQuorum(s.group, answers))
}

// loseDisk lets a member lose its disk and copy what enough others hold.
func (s *expirySimulation) loseDisk(lost *expiryMember) {
	var sources []*expiryMember
	for _, each := range s.present() {
		if each != lost {
			sources = append(sources, each)
		}
	}
	needed := quorum.RecoveryQuorum(len(s.members))
	if len(sources) < needed {
		return
	}
	lost.state.log.Close()
	s.startEmpty(lost, rapid.Uint64().Draw(s.t, "incarnation")|1)
	lost.away = false
	for _, source := range sources[:needed] {
		records, _, more, err := source.state.recordsAfter(0, 0, 1<<30)
		require.NoError(s.t, err)
		require.False(s.t, more)
		require.NoError(s.t, lost.state.write(records...))
	}
}

func (s *expirySimulation) restart(each *expiryMember) {
	each.state.log.Close()
	s.open(each)
	each.away = false
}

// holds reports whether a member has a record.
func (e *expiryMember) holds(subject, id string) bool {
	store := e.state.partition(0).store
	if len(store.Chain(id)) > 0 {
		return true
	}
	for _, entry := range store.Entries(subject) {
		if entry.Id == id {
			return true
		}
	}
	return false
}

// check holds that each record in use is on a write quorum of the members, whoever is away.
func (s *expirySimulation) check(t *rapid.T) {
	for subject, last := range s.lastUse {
		if !s.isInUse(subject) {
			continue
		}
		for _, id := range s.records[subject] {
			holders := 0
			for _, each := range s.members {
				if each.holds(subject, id) {
					holders++
				}
			}
			require.GreaterOrEqual(t, holders, quorum.WriteQuorum(len(s.members)), "%s of %s, last used %v ago", id, subject, s.now.Sub(last))
		}
	}
}

// checkEnd holds that all members are empty a stated time after the last use and the last fault.
func (s *expirySimulation) checkEnd() {
	for _, each := range s.members {
		each.away = false
	}
	for end := s.now.Add(simExpiryEnd); s.now.Before(end); s.now = s.now.Add(compactInterval) {
		for _, each := range s.members {
			s.expire(each)
		}
	}
	for _, each := range s.members {
		require.Zero(s.t, each.state.recordCount(), each.member.Node)
	}
}

// Guards against records in use on fewer members than reads count on: members dropped them one by one, by the uses that
// had reached each of them; and against records that never end.
func TestRecordsInUseStayOnAQuorumAndUnusedRecordsEnd(t *testing.T) {
	for size := 2; size <= 5; size++ {
		t.Run(fmt.Sprintf("group of %d", size), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				s := newExpirySimulation(t, size)
				defer func() {
					for _, each := range s.members {
						each.state.log.Close()
					}
				}()
				member := func(t *rapid.T) *expiryMember {
					return s.members[rapid.IntRange(0, size-1).Draw(t, "member")]
				}
				subject := func(t *rapid.T) int { return rapid.IntRange(0, simExpirySubjects-1).Draw(t, "subject") }
				t.Repeat(map[string]func(*rapid.T){
					"": s.check,
					"use a chain": func(t *rapid.T) {
						if s.hasQuorum() {
							s.useChain(subject(t))
						}
					},
					"use a program": func(t *rapid.T) {
						if s.hasQuorum() {
							s.useProgram(subject(t))
						}
					},
					"wait": func(t *rapid.T) {
						s.now = s.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "seconds")) * time.Second)
					},
					"expire": func(t *rapid.T) { s.expire(member(t)) },
					"expire everywhere": func(*rapid.T) {
						for _, each := range s.members {
							s.expire(each)
						}
					},
					"leave":     func(t *rapid.T) { member(t).away = true },
					"return":    func(t *rapid.T) { member(t).away = false },
					"restart":   func(t *rapid.T) { s.restart(member(t)) },
					"lose disk": func(t *rapid.T) { s.loseDisk(member(t)) },
				})
				s.checkEnd()
			})
		})
	}
}
