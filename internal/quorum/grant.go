package quorum

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

const (
	// grantTimeout limits one call for a grant.
	grantTimeout = 250 * time.Millisecond
	// grantHedgeDelay is how long a member has to answer before the next one is asked too. The
	// delay is longer where calls for grants usually take longer, up to maxGrantHedgeDelay: after
	// quota.GrantLifetime an answer is of no use. Any member may grant, and a late grant costs its
	// tenant a few requests.
	grantHedgeDelay    = 40 * time.Millisecond
	maxGrantHedgeDelay = quota.GrantLifetime / 2
)

// GrantSubject is the tenant or worker that requests are granted for. Its name also determines
// the granting group.
type GrantSubject struct {
	Kind replicav1.GrantKind
	Name string
}

// TenantSubject returns the subject for a tenant's limit.
func TenantSubject(name string) GrantSubject {
	return GrantSubject{Kind: replicav1.GrantKind_GRANT_KIND_TENANT, Name: name}
}

// ColdWorkerSubject returns the subject for the limit of a worker that is still cold.
func ColdWorkerSubject(id string) GrantSubject {
	return GrantSubject{Kind: replicav1.GrantKind_GRANT_KIND_COLD_WORKER, Name: id}
}

// GrantResult is the combined answer of the members to a request for a grant.
type GrantResult struct {
	quota.Grant
	// Refused is set if a majority, and every other reachable member, answered that it has
	// nothing to grant.
	Refused bool
	// Answered is the number of members that answered.
	Answered int
	// RequestedAt is when the member that granted was asked, by this process's clock.
	RequestedAt time.Time
}

// Grant asks the members of a subject's group one after the other until one grants something. It
// fails with *Unavailable if none does and less than a majority answered, because the others may
// have had something to grant. wanted is the requested number of requests; startsProgram is set
// if the first of them starts a program.
func (c *Client) Grant(ctx context.Context, subject GrantSubject, limit quota.Limit, wanted int, startsProgram bool) (GrantResult, error) {
	group := c.programGroup(subject.Name)
	if group == nil {
		return GrantResult{}, &Unavailable{Needed: 1}
	}
	round := &grantRound{
		client: c, group: group, remaining: c.preferredOrder(group), needed: WriteQuorum(len(group.Members)),
		answers: make(chan grantAnswer, len(group.Members)), answeredBy: make(map[string]bool),
		request: &replicav1.GrantRequest{
			Epoch: group.Epoch, Partition: group.Partition, Tenant: subject.Name, Version: limit.Version, Rate: limit.Rate,
			Burst: limit.Burst, Wanted: uint32(wanted), Opening: startsProgram, Kind: subject.Kind,
		},
	}
	return round.run(ctx)
}

// grantRound asks the members of one group for one grant.
type grantRound struct {
	client  *Client
	group   *replicav1.Group
	request *replicav1.GrantRequest
	// remaining are the members that have not been asked yet.
	remaining []*replicav1.Member
	answers   chan grantAnswer
	// answeredBy are the addresses of the members that answered.
	answeredBy map[string]bool
	// needed is the number of members that must answer before the grant counts as refused.
	needed int
	// inFlight is the number of calls in flight, answered the number of members that have
	// answered.
	inFlight, answered int
	// grant is the received grant. Its RetryAfter is the shortest of all answers.
	grant quota.Grant
}

// grantAnswer is one member's answer. The response is nil if there was none.
type grantAnswer struct {
	member      *replicav1.Member
	response    *replicav1.GrantResponse
	requestedAt time.Time
}

// run asks the next member whenever one has answered or takes longer than usual.
func (r *grantRound) run(ctx context.Context) (GrantResult, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	hedgeTimer := time.NewTimer(0)
	defer hedgeTimer.Stop()
	for !r.done() {
		select {
		case <-ctx.Done():
			return GrantResult{}, r.unavailable()
		case <-hedgeTimer.C:
		case answer := <-r.answers:
			if r.recordAnswer(answer); r.grant.Requests > 0 {
				return GrantResult{Grant: r.grant, Answered: r.answered, RequestedAt: answer.requestedAt}, nil
			}
		}
		if len(r.remaining) > 0 {
			hedgeAfter := min(maxGrantHedgeDelay, r.client.grantLatency.UpperBound(grantHedgeDelay)) + r.client.extraLatency(r.remaining[0])
			r.callNext(callCtx)
			hedgeTimer.Reset(hedgeAfter)
		}
	}
	if r.answered < r.needed {
		return GrantResult{}, r.unavailable()
	}
	return GrantResult{Grant: r.grant, Refused: true, Answered: r.answered}, nil
}

// unavailable returns the error of a round in which too few members answered.
func (r *grantRound) unavailable() error {
	err := &Unavailable{Needed: r.needed, Answered: r.answered}
	for _, member := range r.group.Members {
		if r.answeredBy[member.Address] {
			continue
		}
		silence := max(time.Nanosecond, r.client.reachability.silentFor(member.Address))
		if err.ShortestSilence == 0 || silence < err.ShortestSilence {
			err.ShortestSilence = silence
		}
	}
	return err
}

// done reports whether no call is in flight and no further one is useful: all members were asked,
// or enough have answered and the others are down.
func (r *grantRound) done() bool {
	return r.inFlight == 0 && (len(r.remaining) == 0 || r.answered >= r.needed && r.client.allDown(r.remaining))
}

// callNext asks the next member.
func (r *grantRound) callNext(ctx context.Context) {
	member := r.remaining[0]
	r.remaining = r.remaining[1:]
	r.inFlight++
	requestedAt := time.Now()
	go func() {
		response := r.client.requestGrant(ctx, r.group, member, r.request)
		r.answers <- grantAnswer{member: member, response: response, requestedAt: requestedAt}
	}()
}

// recordAnswer processes the answer of one call.
func (r *grantRound) recordAnswer(received grantAnswer) {
	r.inFlight--
	answer := received.response
	if !answer.GetStanding().GetMember() {
		return
	}
	r.answered++
	r.answeredBy[received.member.Address] = true
	retryAfter := time.Duration(answer.AfterMs) * time.Millisecond
	if r.answered > 1 {
		retryAfter = min(retryAfter, r.grant.RetryAfter)
	}
	r.grant = quota.Grant{Requests: int(answer.Granted), NewProgramsAllowed: answer.Plenty, RetryAfter: retryAfter}
}

// allDown reports whether all of the members are down.
func (c *Client) allDown(members []*replicav1.Member) bool {
	return !slices.ContainsFunc(members, func(member *replicav1.Member) bool { return !c.reachability.isDown(member.Address) })
}

// requestGrant asks one member, through another gateway if the member is down. It returns nil if
// there was no answer.
func (c *Client) requestGrant(ctx context.Context, group *replicav1.Group, member *replicav1.Member, request *replicav1.GrantRequest) *replicav1.GrantResponse {
	if !c.reachability.isDown(member.Address) {
		startedAt := c.now()
		response := callMember(ctx, c, group, member, grantTimeout, connect.NewRequest(request), c.ReplicaClient(member.Address).Grant)
		if response != nil {
			c.grantLatency.Observe(max(0, c.now().Sub(startedAt)-c.extraLatency(member)))
		}
		return response
	}
	return c.forward(ctx, &replicav1.ForwardRequest{
		Address: member.Address, Call: &replicav1.ForwardRequest_Grant{Grant: request},
	}).GetGrant()
}
