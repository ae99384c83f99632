package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

const (
	// agreementSchedules is the number of schedules for each size of a group, and agreementSteps the
	// steps of one.
	agreementSchedules, agreementSteps = 1500, 160
	// agreementMutationSchedules is the number of schedules in which a mutation is searched for.
	agreementMutationSchedules = 6000
)

// Mutations of the choice of groups.
const (
	forgetSourcesVotes    mutation = "a recovered acceptor forgets what its sources have promised and accepted"
	countLostVotes        mutation = "votes on a lost disk count"
	proposeAnyway         mutation = "a proposer ignores what the acceptors have accepted"
	skipStoreQuery        mutation = "an acceptor of two takes part before it has queried the store"
	storeAcceptsAnyBallot mutation = "the store accepts a ballot that it has not promised"
	forgetVotesOnRestart  mutation = "an acceptor forgets its votes when it restarts"
	countEachAcceptor     mutation = "one acceptor of three is enough"
	newHolderVotes        mutation = "the previous and the new holder of a seat both count"
)

// simBallot is one proposer's attempt to choose the next group. Its messages arrive in any order, at
// any time, or never.
type simBallot struct {
	ballot             uint64
	wanted, proposed   *replicav1.Group
	promised, accepted *ballotResult
	asked, answered    map[string]bool
}

// agreementSimulation simulates proposers that compete in one epoch while disks are lost.
type agreementSimulation struct {
	*simPartition
	stored  *replicav1.Group
	ballots []*simBallot
	chosen  []*replicav1.Group
	values  uint32
}

func newAgreementSimulation(t require.TestingT, seed uint64, m mutation, members int) *agreementSimulation {
	cluster := newSimCluster(t, seed, m, members, 1)
	p := cluster.partitions[0]
	p.startAgreedGroup()
	return &agreementSimulation{simPartition: p, stored: proto.CloneOf(p.group)}
}

// transferLastSeat gives the last seat to a spare that has not received its records.
func (s *agreementSimulation) transferLastSeat() {
	spare := s.addNode("spare")
	next := proto.CloneOf(s.group)
	next.Epoch++
	last := next.Members[len(next.Members)-1]
	last.Predecessor = &replicav1.Predecessor{Node: last.Node, Claim: last.Claim}
	last.Node, last.Claim = spare.name, next.Epoch
	s.group, s.stored = next, proto.CloneOf(next)
	for _, name := range s.nodeNames {
		s.must(s.nodes[name].state().write(groupRecord(next)))
	}
	s.must(spare.state().write(identityRecord(0, &replicav1.Identity{
		Seat: last.Seat, Claim: last.Claim, Incarnation: s.random.Uint64() | 1, Recovered: s.mutation == newHolderVotes, KnowsStore: true,
	})))
	// The others have met the spare while it copied.
	for _, member := range s.group.Members {
		if member.Seat != last.Seat {
			s.must(s.nodes[member.Node].state().write(incarnationRecord(0, last.Seat, spare.state().currentIdentity(0).Incarnation)))
		}
	}
}

// run runs one schedule and returns the first violated guarantee.
func (s *agreementSimulation) run() string {
	defer s.close()
	for range agreementSteps {
		s.agreementStep()
		for _, chosen := range s.chosen[min(1, len(s.chosen)):] {
			if !proto.Equal(chosen, s.chosen[0]) {
				return fmt.Sprintf("two groups were chosen in epoch %d", s.group.Epoch)
			}
		}
	}
	return ""
}

func (s *agreementSimulation) agreementStep() {
	switch chance := s.random.IntN(100); {
	case chance < 8 || len(s.ballots) == 0:
		s.startBallot()
	case chance < 60:
		s.deliverRequest(s.ballots[s.random.IntN(len(s.ballots))])
	case chance < 72:
		s.askStore(s.ballots[s.random.IntN(len(s.ballots))])
	case chance < 90:
		s.recoverAcceptor()
	case chance < 94:
		s.restartAcceptor(s.randomNode())
	case s.unrecoveredMember() == nil:
		s.loseAcceptorsDisk()
	}
}

// restartAcceptor restarts a node after a power loss.
func (s *agreementSimulation) restartAcceptor(node *simNode) {
	s.restart(node, true)
	if s.mutation == forgetVotesOnRestart {
		node.state().partition(0).agreement = nil
	}
}

// startBallot starts an attempt with a group of its own.
func (s *agreementSimulation) startBallot() {
	s.values++
	wanted := proto.CloneOf(s.group)
	wanted.Epoch++
	wanted.Target = s.values
	ballot := uint64(len(s.ballots)+1+s.random.IntN(3))<<proposerBits | uint64(s.values)
	s.ballots = append(s.ballots, &simBallot{
		ballot: ballot, wanted: wanted, promised: &ballotResult{group: s.group}, accepted: &ballotResult{group: s.group},
		asked: make(map[string]bool), answered: make(map[string]bool),
	})
}

// acceptorNodes returns the nodes that choose the next group.
func (s *agreementSimulation) acceptorNodes() (nodes []string) {
	for _, member := range acceptors(s.group) {
		nodes = append(nodes, member.Node)
	}
	if s.mutation == newHolderVotes {
		nodes = append(nodes, "spare")
	}
	return nodes
}

// deliverRequest delivers the present request of a ballot to one acceptor, at most once.
func (s *agreementSimulation) deliverRequest(b *simBallot) {
	nodes := s.acceptorNodes()
	node := nodes[s.random.IntN(len(nodes))]
	request := &replicav1.AgreeRequest{Group: s.group, Ballot: b.ballot}
	result, done := b.promised, b.asked
	if accept := s.acceptRequest(b); accept != nil {
		request, result, done = accept, b.accepted, b.answered
	}
	if done[node] {
		return
	}
	done[node] = true
	response, err := s.nodes[node].service.Agree(context.Background(), connect.NewRequest(request))
	s.must(err)
	if response.Msg.Granted {
		s.add(result, response.Msg)
	}
	s.noteChosen(b)
}

// add adds an answer to a result.
func (s *agreementSimulation) add(result *ballotResult, answer *replicav1.AgreeResponse) {
	if s.mutation == countLostVotes || s.mutation == newHolderVotes {
		answer.Standing.Seen = nil
	}
	result.add(answer)
	if s.mutation == newHolderVotes {
		result.granted[len(result.granted)-1].Seat = uint32(len(result.granted))
	}
}

// acceptRequest returns the request that a ballot sends after its promises, or nil.
func (s *agreementSimulation) acceptRequest(b *simBallot) *replicav1.AgreeRequest {
	if b.proposed != nil {
		return &replicav1.AgreeRequest{Group: s.group, Ballot: b.ballot, Next: b.proposed, Promises: s.promises(b)}
	}
	if s.mutation == proposeAnyway {
		b.promised.accepted = nil
	}
	request := b.promised.acceptRequest(b.ballot, b.wanted, nil)
	if s.mutation == countEachAcceptor && len(b.promised.granted) > 0 {
		request = &replicav1.AgreeRequest{Group: s.group, Ballot: b.ballot, Next: b.wanted}
	}
	if request != nil {
		b.proposed = request.Next
	}
	return request
}

func (s *agreementSimulation) promises(b *simBallot) (promises []*replicav1.SeatIncarnation) {
	for _, standing := range b.promised.granted {
		promises = append(promises, &replicav1.SeatIncarnation{Seat: standing.Seat, Incarnation: standing.Incarnation})
	}
	return promises
}

// askStore lets the store take part in a ballot of a group of two, where one member does.
func (s *agreementSimulation) askStore(b *simBallot) {
	switch {
	case !storeIsAcceptor(s.group) || len(b.promised.granted) == 0 || s.stored.Epoch > s.group.Epoch:
	case b.proposed == nil && !b.promised.storeGranted:
		if next := storedPromise(s.stored, s.group.Epoch, b.ballot); next != nil {
			s.stored, b.promised.storeGranted = next, true
		}
	case b.proposed != nil && len(b.accepted.granted) > 0 && (b.promised.storeGranted || s.mutation == storeAcceptsAnyBallot):
		request := &replicav1.AgreeRequest{Group: s.group, Ballot: b.ballot, Next: b.proposed}
		next := storedAcceptance(s.stored, request)
		if s.mutation == storeAcceptsAnyBallot {
			next = b.proposed
		}
		if next != nil {
			s.stored, b.accepted.storeGranted = next, true
			s.noteChosen(b)
		}
	}
}

// noteChosen records the group of a ballot that a majority has accepted.
func (s *agreementSimulation) noteChosen(b *simBallot) {
	if b.proposed != nil && b.accepted.isMajority() {
		s.chosen = append(s.chosen, b.proposed)
	}
}

// loseAcceptorsDisk replaces the disk of a member, which starts anew.
func (s *agreementSimulation) loseAcceptorsDisk() {
	node := s.randomMember(s.group)
	member := memberForNode(s.group, node.name)
	if inTransfer(member) {
		return
	}
	node.state().log.Close()
	node.disk = recordlogtest.NewDisk()
	s.startNode(node)
	s.must(node.state().write(groupRecord(s.group), identityRecord(0, &replicav1.Identity{
		Seat: member.Seat, Claim: member.Claim, Incarnation: s.random.Uint64() | 1,
	})))
	s.copies[node.name] = newSimCopy(member.Claim)
}

// recoverAcceptor performs one step of the recovery of a member that has lost its disk.
func (s *agreementSimulation) recoverAcceptor() {
	node := s.unrecoveredAcceptor()
	if node == nil {
		s.queryStore()
		return
	}
	if s.copies[node.name] == nil {
		s.copies[node.name] = newSimCopy(memberForNode(s.group, node.name).Claim)
	}
	sources := acceptors(s.group)
	source := s.nodes[sources[s.random.IntN(len(sources))].Node]
	if source == node {
		return
	}
	identity := node.state().currentIdentity(0)
	response, err := source.service.Pull(context.Background(), connect.NewRequest(&replicav1.PullRequest{
		Epoch: s.group.Epoch, Seat: identity.Seat, Incarnation: identity.Incarnation,
	}))
	s.must(err)
	if !response.Msg.Standing.Recovered {
		return
	}
	if s.mutation != forgetSourcesVotes {
		s.must(node.state().write(agreementRecord(0, response.Msg.Agreement)))
	}
	s.copies[node.name].pulled[source.name] = response.Msg.Standing
	if sufficient := sufficientSources(s.group, memberForNode(s.group, node.name), s.completeCopies(node)); sufficient != nil {
		s.must(node.state().write(incarnationRecordsFrom(sufficient, 0, identity.Seat)...))
		s.markRecovered(node)
	}
}

// unrecoveredAcceptor returns a member that has lost its disk, or nil. The holder of a seat in
// transfer is not one.
func (s *agreementSimulation) unrecoveredAcceptor() *simNode {
	for _, member := range s.group.Members {
		if node := s.nodes[member.Node]; !inTransfer(member) && s.isUnrecovered(node) {
			return node
		}
	}
	return nil
}

// queryStore lets a member of two that was recovered from the other one query the store.
func (s *agreementSimulation) queryStore() {
	for _, member := range s.group.Members {
		state := s.nodes[member.Node].state()
		identity := state.currentIdentity(0)
		if identity.KnowsStore || !storeIsAcceptor(s.group) {
			continue
		}
		ballot := s.stored.Agreement.GetPromised() + 1<<proposerBits
		if next := storedPromise(s.stored, s.group.Epoch, ballot); next != nil && s.mutation != skipStoreQuery {
			s.stored = next
			s.must(state.markStoreKnown(s.group, identity, ballot))
		} else if s.mutation == skipStoreQuery {
			s.must(state.markStoreKnown(s.group, identity, 0))
		}
	}
}

func runAgreementSimulation(t require.TestingT, seed uint64, m mutation, members int) string {
	return newAgreementSimulation(t, seed, m, members).run()
}

func runTransferAgreementSimulation(t require.TestingT, seed uint64, m mutation) string {
	s := newAgreementSimulation(t, seed, m, simReplicas)
	s.transferLastSeat()
	return s.run()
}

func TestMembersNeverChooseTwoGroupsInOneEpoch(t *testing.T) {
	first := rand.Uint64()
	for members := 2; members <= maxSeats; members++ {
		t.Run(fmt.Sprintf("%d members", members), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(agreementSchedules) {
				require.Empty(t, runAgreementSimulation(t, first+seed, noMutation, members), fmt.Sprintf("seed %d", first+seed))
			}
		})
	}
	t.Run("a seat in transfer", func(t *testing.T) {
		t.Parallel()
		for seed := range uint64(agreementSchedules) {
			require.Empty(t, runTransferAgreementSimulation(t, first+seed, noMutation), fmt.Sprintf("seed %d", first+seed))
		}
	})
}

func TestAgreementSimulationDetectsEachMutation(t *testing.T) {
	sizes := map[int][]mutation{
		2: {proposeAnyway, skipStoreQuery, storeAcceptsAnyBallot},
		3: {proposeAnyway, countEachAcceptor, forgetSourcesVotes, countLostVotes, forgetVotesOnRestart},
	}
	for members, mutations := range sizes {
		t.Run(fmt.Sprintf("%d members", members), func(t *testing.T) {
			requireDetected(t, agreementMutationSchedules, func(t require.TestingT, seed uint64, m mutation) string {
				return runAgreementSimulation(t, seed, m, members)
			}, mutations...)
		})
	}
	t.Run("a seat in transfer", func(t *testing.T) {
		requireDetected(t, agreementMutationSchedules, runTransferAgreementSimulation, newHolderVotes)
	})
}
