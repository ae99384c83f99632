package quorum

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// readNearestFirst asks the nearest member of a group first, and all others if it does not have what is
// searched for or is slow. read returns nil if a member does not answer. It returns the first answer that
// has what is searched for, or nil; absent is set if the answers prove that no member has it.
func readNearestFirst[A any, P interface {
	*A
	standingAnswer
}](ctx context.Context, c *Client, group *replicav1.Group, read func(*replicav1.Member) P, isFound func(P) bool) (found P, absent bool, answered int) {
	answers := make(chan P, len(group.Members))
	members := c.nearestFirst(group)
	call := func(member *replicav1.Member) { answers <- read(member) }
	go call(members[0])
	pending, called := 1, 1
	hedgeTimer := time.NewTimer(readHedgeDelay + c.extraLatency(members[0]))
	defer hedgeTimer.Stop()
	var standings []*replicav1.Standing
	for pending > 0 {
		select {
		case <-ctx.Done():
			return nil, false, len(standings)
		case <-hedgeTimer.C:
		case answer := <-answers:
			pending--
			if answer != nil && isFound(answer) {
				return answer, false, len(standings)
			}
			if answer != nil {
				standings = append(standings, answer.GetStanding())
			}
		}
		for _, member := range members[called:] {
			go call(member)
			pending++
		}
		called = len(members)
		if ChooseConsistent(group.Epoch, standings, ReadQuorum(VoterCount(group))) != nil {
			return nil, true, len(standings)
		}
	}
	return nil, false, len(standings)
}

// readMajority asks all members of a group. It returns the answers received until a majority has answered
// consistently, which complete reports, and those that arrive within readHedgeDelay of that.
func readMajority[A any, P interface {
	*A
	standingAnswer
}](ctx context.Context, group *replicav1.Group, read func(*replicav1.Member) P) (received []P, complete bool) {
	answers := make(chan P, len(group.Members))
	for _, member := range group.Members {
		go func() { answers <- read(member) }()
	}
	var standings []*replicav1.Standing
	var late <-chan time.Time
	for range group.Members {
		select {
		case <-ctx.Done():
			return received, complete
		case <-late:
			return received, complete
		case answer := <-answers:
			if answer == nil {
				continue
			}
			received, standings = append(received, answer), append(standings, answer.GetStanding())
		}
		if !complete && ChooseConsistent(group.Epoch, standings, ReadQuorum(VoterCount(group))) != nil {
			complete, late = true, time.After(readHedgeDelay)
		}
	}
	return received, complete
}

// readMember makes one call of a read to a member, once the limit of calls to it permits. It returns nil
// if there was no answer. A call in flight is completed after ctx has ended: canceling it would cost its
// connection.
func readMember[Q, A any, P interface {
	*A
	standingAnswer
}](ctx context.Context, c *Client, group *replicav1.Group, member *replicav1.Member, request *connect.Request[Q],
	call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) P {
	limiter := c.limiters.of(member.Address)
	if !limiter.acquire(ctx) {
		return nil
	}
	startedAt := c.now()
	answer, err := tryMember[Q, A, P](context.WithoutCancel(ctx), c, group, member, callTimeout, request, call)
	limiter.release(startedAt, outcomeOf(err))
	return answer
}
