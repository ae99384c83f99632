package quorum

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

// append sends a request to the current group of a program's partition until enough members
// answer.
func (c *Client) append(ctx context.Context, program string, request *replicav1.AppendRequest) (turn.Ledger, error) {
	return c.appendToGroup(ctx, func() *replicav1.Group { return c.programGroup(program) }, c.regionPolicy(nil), request)
}

// AppendTurns writes the turns of one scope, and any records sent with them, to a majority of the
// group that stores that scope. It only calls members in permitted regions. It fails with
// *failure.NoPermittedPlace if no partition may store the turns.
func (c *Client) AppendTurns(ctx context.Context, scope Scope, records ...*replicav1.Record) error {
	if _, err := c.TurnPartition(scope); err != nil {
		return err
	}
	_, err := c.appendToGroup(ctx, func() *replicav1.Group { return c.turnGroup(scope) }, c.regionPolicy(scope.Regions), &replicav1.AppendRequest{Records: records})
	return err
}

// appendToGroup sends a request to the group returned by currentGroup until enough members
// answer. It only calls members that the policy permits.
func (c *Client) appendToGroup(ctx context.Context, currentGroup func() *replicav1.Group, policy placement.RegionPolicy, request *replicav1.AppendRequest) (turn.Ledger, error) {
	startedAt := c.now()
	answered, needed := 0, 1
	var lastShortfall Shortfall
	for {
		group := currentGroup()
		if group != nil {
			needed = WriteQuorum(VoterCount(group))
			round := newAppendRound(c, group, request)
			round.policy = policy
			ledger, done := round.run(ctx)
			if done {
				c.outages.majorityAnswered(group.Partition)
				return ledger, nil
			}
			answered, lastShortfall = max(answered, len(round.latestAnswers)), round.shortfall()
		}
		if !pause.For(ctx, initialBackoff) {
			if group != nil {
				c.outages.majorityMissing(group.Partition, startedAt, lastShortfall)
			}
			return nil, &Unavailable{Needed: needed, Answered: answered, Shortfall: lastShortfall}
		}
	}
}

// appendRound sends one request to the members of one group. Each member has at most one call in
// flight: piled-up calls would keep a recovering member from coming back.
type appendRound struct {
	client  *Client
	group   *replicav1.Group
	request *replicav1.AppendRequest
	// policy is where the records may be stored.
	policy  placement.RegionPolicy
	answers chan appendAnswer
	// latestAnswers are the latest answers, by seat.
	latestAnswers map[uint32]*replicav1.AppendResponse
}

type appendAnswer struct {
	seat     uint32
	response *replicav1.AppendResponse
}

func newAppendRound(client *Client, group *replicav1.Group, request *replicav1.AppendRequest) *appendRound {
	return &appendRound{
		client: client, group: group, answers: make(chan appendAnswer),
		request: &replicav1.AppendRequest{
			Epoch: group.Epoch, Partition: group.Partition, Records: request.Records, Programs: request.Programs,
		},
		latestAnswers: make(map[uint32]*replicav1.AppendResponse, len(group.Members)),
	}
}

// run returns the merged ledger once enough consistent answers have arrived. It returns false
// when ctx ends or the group has been replaced by one of a later epoch.
func (r *appendRound) run(ctx context.Context) (turn.Ledger, bool) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	remaining := permittedMembers(r.client.preferredOrder(r.group), r.policy)
	callNext := func(count int) {
		for _, member := range remaining[:count] {
			go r.callUntilDone(callCtx, member)
		}
		remaining = remaining[count:]
	}
	initial := min(len(remaining), r.initialMembers())
	hedgeAfter := r.client.callLatency.UpperBound(r.client.hedgeDelay) + r.client.extraLatency(remaining[:initial]...)
	callNext(initial)
	hedgeTimer := time.NewTimer(hedgeAfter)
	defer hedgeTimer.Stop()
	for answered := 0; ; {
		callRemaining := false
		select {
		case <-ctx.Done():
			return nil, false
		case <-hedgeTimer.C:
			callRemaining = true
		case answer := <-r.answers:
			answered++
			callRemaining = answer.response == nil || answered >= initial
			if answer.response != nil {
				r.latestAnswers[answer.seat] = answer.response
			}
		}
		if ledger, enough := r.quorumResult(); enough {
			return ledger, true
		}
		if callRemaining {
			callNext(len(remaining))
		}
		if group := r.client.groups.Group(r.group.Partition); group != nil && group.Epoch > r.group.Epoch {
			return nil, false
		}
	}
}

// minTurnMembers is the minimum number of members that a turn is sent to at once, if the group
// has that many. They include the nearest member, and the turn's next reader is usually in the
// same zone. In a group of three, every reader finds the turn nearby.
const minTurnMembers = 3

// initialMembers is the number of members called first: the write quorum, and at least
// minTurnMembers for a turn.
func (r *appendRound) initialMembers() int {
	for _, record := range r.request.Records {
		if record.GetTurn() != nil {
			return min(len(r.group.Members), max(minTurnMembers, WriteQuorum(VoterCount(r.group))))
		}
	}
	return WriteQuorum(VoterCount(r.group))
}

// quorumResult merges the latest answers, if enough of them are consistent.
func (r *appendRound) quorumResult() (turn.Ledger, bool) {
	var standings []*replicav1.Standing
	var answers []*replicav1.AppendResponse
	for _, answer := range r.latestAnswers {
		standings, answers = append(standings, answer.Standing), append(answers, answer)
	}
	chosen := ChooseConsistent(r.group.Epoch, standings, WriteQuorum(VoterCount(r.group)))
	if chosen == nil {
		return nil, false
	}
	ledger := make(turn.Ledger)
	for _, i := range chosen {
		ledger.Merge(answers[i].Entries)
	}
	return ledger, true
}

// shortfall explains why the latest answers are not enough.
func (r *appendRound) shortfall() Shortfall {
	standings := make(map[uint32]*replicav1.Standing, len(r.latestAnswers))
	for seat, answer := range r.latestAnswers {
		standings[seat] = answer.Standing
	}
	return shortfall(r.group, standings)
}

// callUntilDone calls one member repeatedly until the round is over. A call in flight at that
// time is completed, so that slower members receive the records too. A member that does not
// answer is also called through another gateway.
func (r *appendRound) callUntilDone(roundCtx context.Context, member *replicav1.Member) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		var response *replicav1.AppendResponse
		if r.client.reachability.isDown(member.Address) {
			response = r.forward(roundCtx, member)
		} else {
			response = r.callDirectly(roundCtx, member)
		}
		if !r.deliver(roundCtx, member, response) {
			return
		}
		if !r.client.reachability.waitToRetry(roundCtx, member.Address, backoff) {
			return
		}
	}
}

// deliver passes an answer to the round. It returns false if the round is over.
func (r *appendRound) deliver(roundCtx context.Context, member *replicav1.Member, response *replicav1.AppendResponse) bool {
	select {
	case r.answers <- appendAnswer{seat: member.Seat, response: response}:
		return true
	case <-roundCtx.Done():
		return false
	}
}

// callDirectly makes one call to a member. If that takes long, the call is also made through
// another gateway. It returns nil if there was no direct answer.
func (r *appendRound) callDirectly(roundCtx context.Context, member *replicav1.Member) *replicav1.AppendResponse {
	startedAt := r.client.now()
	hedgeAfter := r.client.callLatency.UpperBound(forwardHedgeDelay) + r.client.extraLatency(member)
	hedge := time.AfterFunc(hedgeAfter, func() { r.forwardUnlessAnswered(roundCtx, member, startedAt) })
	defer hedge.Stop()
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(roundCtx), callTimeout)
	defer cancel()
	response, err := r.client.ReplicaClient(member.Address).Append(callCtx, connect.NewRequest(r.request))
	if err != nil {
		r.client.reachability.recordFailure(member.Address, err)
		return nil
	}
	elapsed := r.client.now().Sub(startedAt)
	r.client.zoneLatencies.Observe(r.client.now(), member.Zone, elapsed)
	r.client.callLatency.Observe(max(0, elapsed-r.client.extraLatency(member)))
	if len(r.request.Records) > 0 {
		r.client.outages.writeLatency.Observe(elapsed)
	}
	r.client.reachability.recordAnswer(member.Address)
	r.client.processStanding(r.group, member, response.Msg.Standing)
	return response.Msg
}

// forwardUnlessAnswered calls a member through another gateway, unless the member has answered
// any call since the direct call began. In that case it is reachable but slow, and another call
// would slow it down further.
func (r *appendRound) forwardUnlessAnswered(roundCtx context.Context, member *replicav1.Member, directCallStart time.Time) {
	if r.client.reachability.answeredSince(member.Address, directCallStart) {
		return
	}
	if response := r.forward(roundCtx, member); response != nil {
		r.client.reachability.markUnresponsive(member.Address)
		r.deliver(roundCtx, member, response)
	}
}

// forward makes the round's call through another gateway. It returns nil if there was no answer.
func (r *appendRound) forward(roundCtx context.Context, member *replicav1.Member) *replicav1.AppendResponse {
	if !mayForward(r.group, r.policy) {
		return nil
	}
	return r.client.forward(roundCtx, &replicav1.ForwardRequest{
		Address: member.Address, Call: &replicav1.ForwardRequest_Append{Append: r.request},
	}).GetAppend()
}
