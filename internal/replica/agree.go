package replica

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

const (
	// agreeTimeout bounds one round of calls to the acceptors. It is as long as that of a write, so
	// that members which can store records can also choose their group.
	agreeTimeout = 900 * time.Millisecond
	// confirmTimeout is how long a round that a majority has answered waits for further acceptors.
	confirmTimeout = 400 * time.Millisecond
)

// NoAgreement reports that the members of a group have not chosen the next one. Another attempt
// follows.
type NoAgreement struct {
	Partition uint32
	Epoch     uint64
	// Stage is the request that too few acceptors granted, and Granted how many did.
	Stage   string
	Granted int
}

// Error implements error.
func (e *NoAgreement) Error() string {
	return fmt.Sprintf("%d acceptors of partition %d in epoch %d granted the %s, which is not enough", e.Granted, e.Partition, e.Epoch, e.Stage)
}

// agree lets the acceptors of a group choose the next one, in two rounds as in Paxos: a majority
// promises a ballot and reports what it has accepted, then a majority accepts the group. It returns
// the chosen group, which may be one that another node proposed. All seats in confirm must take
// part before a group is proposed that no acceptor has accepted yet.
func (r *Replica) agree(ctx context.Context, group, wanted *replicav1.Group, confirm []uint32) (*replicav1.Group, error) {
	ballot := r.ballots.next()
	promised := r.askAcceptors(ctx, &replicav1.AgreeRequest{Group: group, Ballot: ballot}, confirm)
	r.ballots.observe(promised.promised)
	if !promised.isMajority() && len(promised.granted) > 0 && storeIsAcceptor(group) && r.isStoreReachable() {
		promised.storeGranted = r.askStoreForPromise(ctx, group, ballot)
	}
	request := promised.acceptRequest(ballot, wanted, confirm)
	if request == nil {
		return nil, &NoAgreement{Partition: group.Partition, Epoch: group.Epoch, Stage: "ballot", Granted: len(promised.granted)}
	}
	accepted := r.askAcceptors(ctx, request, nil)
	if !accepted.isMajority() && len(accepted.granted) > 0 && promised.storeGranted {
		accepted.storeGranted = r.writeAcceptedGroup(ctx, request)
	}
	if !accepted.isMajority() {
		return nil, &NoAgreement{Partition: group.Partition, Epoch: group.Epoch, Stage: "group", Granted: len(accepted.granted)}
	}
	return request.Next, nil
}

// askAcceptors sends a request to all acceptors of a group. It returns once a majority, and all
// given seats, take part, or once every acceptor has answered or failed. After confirmTimeout a
// majority is enough.
func (r *Replica) askAcceptors(ctx context.Context, request *replicav1.AgreeRequest, confirm []uint32) *ballotResult {
	ctx, cancel := context.WithTimeout(ctx, agreeTimeout)
	defer cancel()
	asked := acceptors(request.Group)
	answers := make(chan *replicav1.AgreeResponse, len(asked))
	for _, member := range asked {
		go func() { answers <- r.askAcceptor(ctx, member, request) }()
	}
	confirmTimer := time.NewTimer(confirmTimeout)
	defer confirmTimer.Stop()
	result, late := &ballotResult{group: request.Group}, false
	for remaining := len(asked); remaining > 0; {
		select {
		case answer := <-answers:
			remaining--
			if answer != nil {
				result.add(answer)
			}
		case <-confirmTimer.C:
			late = true
		}
		if result.isMajority() && (late || result.includes(confirm)) {
			break
		}
	}
	return result
}

// askAcceptor sends a request to one acceptor, which may be this node. It returns nil if there was
// no answer; the next attempt asks again.
func (r *Replica) askAcceptor(ctx context.Context, member *replicav1.Member, request *replicav1.AgreeRequest) *replicav1.AgreeResponse {
	if member.Node == r.options.Node {
		answer, err := r.state.answerVote(request)
		if err != nil {
			r.writeFailures.log(err)
			return nil
		}
		return answer
	}
	response, err := r.quorum.ReplicaClient(member.Address).Agree(ctx, connect.NewRequest(request))
	if err != nil {
		return nil
	}
	r.directory.ApplyPeerGroup(response.Msg.Standing.Group, member.Node)
	return response.Msg
}

// Agree answers a request to take part in the choice of the group that follows the present one.
func (s *service) Agree(_ context.Context, request *connect.Request[replicav1.AgreeRequest]) (*connect.Response[replicav1.AgreeResponse], error) {
	message := request.Msg
	if err := s.learnGroup(message.Group); err != nil {
		return nil, err
	}
	answer, err := s.state.answerVote(message)
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(answer), nil
}

// queryStoreIfUnknown lets a member of a group of two that was recovered from the other one learn
// what an earlier incarnation of it has accepted together with the platform's store, so that it can
// take part in the choice of groups again.
func (r *Replica) queryStoreIfUnknown(ctx context.Context, group *replicav1.Group) {
	identity := r.state.currentIdentity(group.Partition)
	if !group.Agreed || !storeIsAcceptor(group) || !identity.GetRecovered() || identity.KnowsStore || !r.isStoreReachable() {
		return
	}
	ballot := r.ballots.next()
	if !r.askStoreForPromise(ctx, group, ballot) {
		return
	}
	if err := r.state.markStoreKnown(group, identity, ballot); err != nil {
		r.writeFailures.log(err)
	}
}
