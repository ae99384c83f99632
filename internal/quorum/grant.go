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

// Granted is what members answered to a wish for requests of a tenant.
type Granted struct {
	quota.Grant
	// Refused is set where a majority answered that it has nothing to grant, and so did all
	// others that are reached.
	Refused bool
	// Answered is how many members answered.
	Answered int
}

// Grant asks the members of a tenant's group, one after the other, until one grants
// something. It fails with *Unavailable where none does and less than a majority answered:
// the others may have had something to grant.
func (c *Client) Grant(ctx context.Context, tenant string, limit quota.Limit, wanted int, opening bool) (Granted, error) {
	group := c.group(tenant)
	if group == nil {
		return Granted{}, &Unavailable{Needed: 1}
	}
	request := &replicav1.GrantRequest{
		Epoch: group.Epoch, Partition: group.Partition, Tenant: tenant, Version: limit.Version, Rate: limit.Rate,
		Burst: limit.Burst, Wanted: uint32(wanted), Opening: opening,
	}
	asking, stop := context.WithCancel(ctx)
	defer stop()
	members, needed := c.preferred(group), WriteSize(len(group.Members))
	answers := make(chan *replicav1.GrantResponse, len(members))
	var round grantRound
	next := time.NewTimer(0)
	defer next.Stop()
	for asked := 0; round.ended < len(members); {
		select {
		case <-ctx.Done():
			return Granted{}, &Unavailable{Needed: needed, Answered: round.answered}
		case <-next.C:
		case answer := <-answers:
			if round.take(answer); round.grant.Requests > 0 {
				return Granted{Grant: round.grant}, nil
			}
		}
		if round.answered >= needed && c.allDown(members[asked:]) && round.ended == asked {
			break
		}
		if asked < len(members) {
			member := members[asked]
			asked++
			go func() { answers <- c.askForGrant(asking, group, member, request) }()
			next.Reset(c.latency.Limit(nextGrantAfter))
		}
	}
	if round.answered < needed {
		return Granted{}, &Unavailable{Needed: needed, Answered: round.answered}
	}
	return Granted{Grant: round.grant, Refused: true, Answered: round.answered}, nil
}

// allDown reports whether none of the members is reached.
func (c *Client) allDown(members []*replicav1.Member) bool {
	return !slices.ContainsFunc(members, func(member *replicav1.Member) bool { return !c.reach.isDown(member.Address) })
}

// grantRound is what the members that were asked have answered.
type grantRound struct {
	// ended counts calls that are over, answered those of them that a member answered.
	ended, answered int
	// grant is the one that was granted; its After is the shortest of all.
	grant quota.Grant
}

func (r *grantRound) take(answer *replicav1.GrantResponse) {
	r.ended++
	if !answer.GetStanding().GetMember() {
		return
	}
	r.answered++
	after := time.Duration(answer.AfterMs) * time.Millisecond
	if r.answered > 1 {
		after = min(after, r.grant.After)
	}
	r.grant = quota.Grant{
		Requests: int(answer.Granted), Plenty: answer.Plenty, After: after,
	}
}

// askForGrant asks one member, through another gateway where it does not answer; nil means
// that there was no answer.
func (c *Client) askForGrant(ctx context.Context, group *replicav1.Group, member *replicav1.Member, request *replicav1.GrantRequest) *replicav1.GrantResponse {
	if !c.reach.isDown(member.Address) {
		return askDirectly(ctx, c, group, member, grantTimeout, connect.NewRequest(request), c.At(member.Address).Grant)
	}
	return c.forward(ctx, &replicav1.ForwardRequest{
		Address: member.Address, Call: &replicav1.ForwardRequest_Grant{Grant: request},
	}).GetGrant()
}
