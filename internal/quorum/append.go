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
			answered, lastShortfall = max(answered, round.answeredCount()), shortfall(group, round.results).withEarlierAnswers(lastShortfall)
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
	// results are the latest results of the calls to each member, by seat.
	results map[uint32]memberResult
}

// appendAnswer is the end of one call to a member: an answer or a failure.
type appendAnswer struct {
	seat uint32
	memberResult
}

func newAppendRound(client *Client, group *replicav1.Group, request *replicav1.AppendRequest) *appendRound {
	return &appendRound{
		client: client, group: group, answers: make(chan appendAnswer),
		request: &replicav1.AppendRequest{
			Epoch: group.Epoch, Partition: group.Partition, Records: request.Records, Programs: request.Programs, Report: request.Report,
		},
		results: make(map[uint32]memberResult, len(group.Members)),
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
			callRemaining = answer.answer == nil || answered >= initial
			r.addResult(answer)
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

// addResult records the end of a call. A failure does not replace an earlier answer to this request.
func (r *appendRound) addResult(ended appendAnswer) {
	result := ended.memberResult
	latest := r.results[ended.seat]
	if result.answer == nil && !latest.isRemembered {
		result.answer = latest.answer
	}
	r.results[ended.seat] = result
}

// answeredCount returns the number of members that have answered.
func (r *appendRound) answeredCount() (count int) {
	for _, result := range r.results {
		if result.answer != nil {
			count++
		}
	}
	return count
}

// quorumResult merges the latest answers, if enough of them are consistent. A member that has reported
// that it cannot write does not count: a round with records would not succeed.
func (r *appendRound) quorumResult() (turn.Ledger, bool) {
	var standings []*replicav1.Standing
	var answers []*replicav1.AppendResponse
	for _, result := range r.results {
		if result.answer != nil && !result.answer.GetReport().GetDiskUnavailable() {
			standings, answers = append(standings, result.answer.Standing), append(answers, result.answer)
		}
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

// callUntilDone calls one member repeatedly until the round is over. A call in flight at that
// time is completed, so that slower members receive the records too. A member that does not
// answer is also called through another gateway. One that is known not to count is not called
// before it does.
func (r *appendRound) callUntilDone(roundCtx context.Context, member *replicav1.Member) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if !r.awaitReady(roundCtx, member) {
			return
		}
		var result memberResult
		if r.client.reachability.isDown(member.Address) {
			result.answer = r.forward(roundCtx, member)
			result.failure = r.client.reachability.lastFailure(member.Address)
		} else {
			result.answer, result.failure = r.callDirectly(roundCtx, member)
		}
		if !r.deliver(roundCtx, member, result) {
			return
		}
		if !r.client.reachability.waitToRetry(roundCtx, member.Address, backoff) {
			return
		}
	}
}

// awaitReady waits until a member may be called. It delivers the known answer of one that does not
// count. It returns false if the round is over.
func (r *appendRound) awaitReady(roundCtx context.Context, member *replicav1.Member) bool {
	answer := r.unreadyAnswer(member)
	if answer == nil {
		return true
	}
	return r.deliver(roundCtx, member, memberResult{answer: answer, isRemembered: true}) && r.client.unready.await(roundCtx, r.group.Partition, member.Address)
}

// deliver passes the result of a call to the round. It returns false if the round is over.
func (r *appendRound) deliver(roundCtx context.Context, member *replicav1.Member, result memberResult) bool {
	select {
	case r.answers <- appendAnswer{seat: member.Seat, memberResult: result}:
		return true
	case <-roundCtx.Done():
		return false
	}
}

// callDirectly makes one call to a member, once the limit of calls to it permits. If the call takes
// long, it is also made through another gateway. It returns the direct answer or the error of the call.
func (r *appendRound) callDirectly(roundCtx context.Context, member *replicav1.Member) (*replicav1.AppendResponse, error) {
	limiter := r.client.limiters.of(member.Address)
	if !r.acquireReady(roundCtx, member, limiter) {
		return nil, roundCtx.Err()
	}
	startedAt := r.client.now()
	response, err := r.callWithoutLimit(roundCtx, member, startedAt)
	limiter.release(startedAt, outcomeOf(err))
	return response, err
}

// acquireReady waits for a slot to call a member that counts, as far as is known. It returns false if the
// round is over.
func (r *appendRound) acquireReady(roundCtx context.Context, member *replicav1.Member, limiter *callLimiter) bool {
	for limiter.acquire(roundCtx) {
		if r.unreadyAnswer(member) == nil {
			return true
		}
		limiter.release(r.client.now(), callUnknown)
		if !r.awaitReady(roundCtx, member) {
			return false
		}
	}
	return false
}

// unreadyAnswer returns the latest answer of a member that need not be called, because it is known not to
// count, or nil. A round that asks for reports calls such members nevertheless.
func (r *appendRound) unreadyAnswer(member *replicav1.Member) *replicav1.AppendResponse {
	if r.request.Report {
		return nil
	}
	return r.client.unready.answerOf(r.group.Partition, member.Address)
}

// callWithoutLimit makes the call of callDirectly, which began at startedAt.
func (r *appendRound) callWithoutLimit(roundCtx context.Context, member *replicav1.Member, startedAt time.Time) (*replicav1.AppendResponse, error) {
	hedgeAfter := r.client.callLatency.UpperBound(forwardHedgeDelay) + r.client.extraLatency(member)
	hedge := time.AfterFunc(hedgeAfter, func() { r.forwardUnlessAnswered(roundCtx, member, startedAt) })
	defer hedge.Stop()
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(roundCtx), callTimeout)
	defer cancel()
	response, err := r.client.ReplicaClient(member.Address).Append(callCtx, connect.NewRequest(r.request))
	if err != nil {
		r.client.reachability.recordFailure(member.Address, err)
		return nil, err
	}
	elapsed := r.client.now().Sub(startedAt)
	r.client.zoneLatencies.Observe(r.client.now(), member.Zone, elapsed)
	r.client.callLatency.Observe(max(0, elapsed-r.client.extraLatency(member)))
	if len(r.request.Records) > 0 {
		r.client.outages.writeLatency.Observe(elapsed)
	}
	r.client.reachability.recordAnswer(member.Address)
	r.client.unready.record(r.group, member, response.Msg)
	r.client.processStanding(r.group, member, response.Msg.Standing)
	return response.Msg, nil
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
		r.deliver(roundCtx, member, memberResult{answer: response})
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
