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
	// grantTimeout bounds one call for a grant.
	grantTimeout = 250 * time.Millisecond
	// nextGrantAfter is how long a member has to answer before the next one is asked too,
	// where calls do not usually take longer: any member may grant, and a grant that comes
	// late costs its tenant a few requests.
	nextGrantAfter = 40 * time.Millisecond
)

// GrantSubject is what requests are granted for: its name also says which group grants.
type GrantSubject struct {
	Kind replicav1.GrantKind
	Name string
}

// TenantSubject returns the subject of a tenant's limit.
func TenantSubject(name string) GrantSubject {
	return GrantSubject{Kind: replicav1.GrantKind_GRANT_KIND_TENANT, Name: name}
}

// ColdWorkerSubject returns the subject of what a worker bears that has just started.
func ColdWorkerSubject(id string) GrantSubject {
	return GrantSubject{Kind: replicav1.GrantKind_GRANT_KIND_COLD_WORKER, Name: id}
}

// GrantResult is what members answered to a wish for requests of a subject.
type GrantResult struct {
	quota.Grant
	// Refused is set where a majority answered that it has nothing to grant, and so did all
	// others that are reached.
	Refused bool
	// Answered is how many members answered.
	Answered int
}

// Grant asks the members of a subject's group, one after the other, until one grants
// something. It fails with *Unavailable where none does and less than a majority answered:
// the others may have had something to grant.
func (c *Client) Grant(ctx context.Context, subject GrantSubject, limit quota.Limit, wanted int, opening bool) (GrantResult, error) {
	group := c.group(subject.Name)
	if group == nil {
		return GrantResult{}, &Unavailable{Needed: 1}
	}
	round := &grantRound{
		client: c, group: group, waiting: c.preferred(group), needed: WriteQuorum(len(group.Members)),
		answers: make(chan grantAnswer, len(group.Members)), answeredBy: make(map[string]bool),
		request: &replicav1.GrantRequest{
			Epoch: group.Epoch, Partition: group.Partition, Tenant: subject.Name, Version: limit.Version, Rate: limit.Rate,
			Burst: limit.Burst, Wanted: uint32(wanted), Opening: opening, Kind: subject.Kind,
		},
	}
	return round.run(ctx)
}

// grantRound asks the members of one group for one grant.
type grantRound struct {
	client  *Client
	group   *replicav1.Group
	request *replicav1.GrantRequest
	// waiting are the members that were not asked yet.
	waiting []*replicav1.Member
	answers chan grantAnswer
	// answeredBy are the addresses of the members that answered.
	answeredBy map[string]bool
	// needed is how many must answer before it is known that nothing is granted.
	needed int
	// inFlight counts calls, answered those that a member answered.
	inFlight, answered int
	// grant is the one that was granted; its After is the shortest of all.
	grant quota.Grant
}

// grantAnswer is one member's answer; a nil response is none.
type grantAnswer struct {
	member   *replicav1.Member
	response *replicav1.GrantResponse
}

// run asks the next member whenever one has answered, or takes longer than is usual.
func (r *grantRound) run(ctx context.Context) (GrantResult, error) {
	asking, stop := context.WithCancel(ctx)
	defer stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for !r.over() {
		select {
		case <-ctx.Done():
			return GrantResult{}, r.unavailable()
		case <-next.C:
		case answer := <-r.answers:
			if r.take(answer); r.grant.Requests > 0 {
				return GrantResult{Grant: r.grant, Answered: r.answered}, nil
			}
		}
		if len(r.waiting) > 0 {
			usual := r.client.latency.UpperBound(nextGrantAfter) + r.client.wayTo(r.waiting[0])
			r.askNext(asking)
			next.Reset(usual)
		}
	}
	if r.answered < r.needed {
		return GrantResult{}, r.unavailable()
	}
	return GrantResult{Grant: r.grant, Refused: true, Answered: r.answered}, nil
}

// unavailable is the failure of a round in which too few members answered.
func (r *grantRound) unavailable() error {
	failed := &Unavailable{Needed: r.needed, Answered: r.answered}
	for _, member := range r.group.Members {
		if r.answeredBy[member.Address] {
			continue
		}
		silent := max(time.Nanosecond, r.client.reach.silentFor(member.Address))
		if failed.ShortestSilence == 0 || silent < failed.ShortestSilence {
			failed.ShortestSilence = silent
		}
	}
	return failed
}

// over reports whether no answer is awaited, and none is worth asking for: all members were
// asked, or enough have answered and the others are not reached.
func (r *grantRound) over() bool {
	return r.inFlight == 0 && (len(r.waiting) == 0 || r.answered >= r.needed && r.client.allDown(r.waiting))
}

// askNext asks the member that comes next.
func (r *grantRound) askNext(ctx context.Context) {
	member := r.waiting[0]
	r.waiting = r.waiting[1:]
	r.inFlight++
	go func() { r.answers <- grantAnswer{member, r.client.askForGrant(ctx, r.group, member, r.request)} }()
}

// take takes one call's answer.
func (r *grantRound) take(one grantAnswer) {
	r.inFlight--
	answer := one.response
	if !answer.GetStanding().GetMember() {
		return
	}
	r.answered++
	r.answeredBy[one.member.Address] = true
	after := time.Duration(answer.AfterMs) * time.Millisecond
	if r.answered > 1 {
		after = min(after, r.grant.RetryAfter)
	}
	r.grant = quota.Grant{Requests: int(answer.Granted), NewProgramsAllowed: answer.Plenty, RetryAfter: after}
}

// allDown reports whether none of the members is reached.
func (c *Client) allDown(members []*replicav1.Member) bool {
	return !slices.ContainsFunc(members, func(member *replicav1.Member) bool { return !c.reach.isDown(member.Address) })
}

// askForGrant asks one member, through another gateway where it does not answer; nil means
// that there was no answer.
func (c *Client) askForGrant(ctx context.Context, group *replicav1.Group, member *replicav1.Member, request *replicav1.GrantRequest) *replicav1.GrantResponse {
	if !c.reach.isDown(member.Address) {
		return askDirectly(ctx, c, group, member, grantTimeout, connect.NewRequest(request), c.ReplicaClient(member.Address).Grant)
	}
	return c.forward(ctx, &replicav1.ForwardRequest{
		Address: member.Address, Call: &replicav1.ForwardRequest_Grant{Grant: request},
	}).GetGrant()
}
