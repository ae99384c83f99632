package replica

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

// forgetGrantsEvery is how often parts of limits that nobody uses are dropped.
const forgetGrantsEvery = 10 * time.Second

// grants hands out this node's parts of tenants' limits, and of what workers bear that have
// just started. Each of its seats begins with nothing when this process first holds it: what
// the process before, or the holder before, has granted is not known.
type grants struct {
	node string
	now  func() time.Time
	// granters hand out by kind, each with a tolerance of its own.
	granters map[replicav1.GrantKind]*quota.Granter

	mutex sync.Mutex
	// seats are those that this process holds, by partition.
	seats map[uint32]heldSeat
}

// heldSeat is a seat since this process knows that its node holds it.
type heldSeat struct {
	claim uint64
	since time.Time
}

func newGrants(node string, now func() time.Time, tenants, coldWorkers quota.Tolerance) *grants {
	return &grants{
		node: node, now: now, seats: make(map[uint32]heldSeat),
		granters: map[replicav1.GrantKind]*quota.Granter{
			replicav1.GrantKind_GRANT_KIND_TENANT:      quota.NewGranter(tenants),
			replicav1.GrantKind_GRANT_KIND_COLD_WORKER: quota.NewGranter(coldWorkers),
		},
	}
}

// take notes the seats that a group gives this node, or takes from it.
func (g *grants) take(groups []*replicav1.Group) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, group := range groups {
		if group == nil {
			continue
		}
		member := seatOf(group, g.node)
		if member == nil {
			delete(g.seats, group.Partition)
			continue
		}
		if held, found := g.seats[group.Partition]; !found || held.claim != member.Claim {
			g.seats[group.Partition] = heldSeat{claim: member.Claim, since: g.now()}
		}
	}
}

// seat returns the node's seat in a partition's group.
func (g *grants) seat(partition uint32) (heldSeat, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	held, found := g.seats[partition]
	return held, found
}

// sweep drops what nobody uses, again and again.
func (g *grants) sweep(ctx context.Context) {
	for pause.For(ctx, forgetGrantsEvery) {
		for _, granter := range g.granters {
			granter.DropFull(g.now())
		}
	}
}

// Grant hands out requests of a tenant, or for a cold worker; a kind that is not known here
// gets nothing. Of a group's limit each seat has the same part,
// also while the group has shrunk: a seat that comes back finds its part untouched.
func (s *service) Grant(_ context.Context, request *connect.Request[replicav1.GrantRequest]) (*connect.Response[replicav1.GrantResponse], error) {
	message := request.Msg
	response := &replicav1.GrantResponse{Standing: s.state.standing(message.Partition, message.Epoch)}
	seat, found := s.grants.seat(message.Partition)
	granter := s.grants.granters[message.Kind]
	if !found || granter == nil || message.Rate <= 0 {
		return connect.NewResponse(response), nil
	}
	group := s.state.currentGroup(message.Partition)
	granted := granter.Grant(s.grants.now(), quota.GrantRequest{
		Tenant: message.Tenant, Limit: quota.Limit{Rate: message.Rate, Burst: message.Burst, Version: message.Version},
		Members: max(int(group.GetTarget()), len(group.GetMembers())), SeatSince: seat.since,
		Wanted: int(message.Wanted), StartsProgram: message.Opening,
	})
	response.Granted, response.Plenty = uint32(granted.Requests), granted.NewProgramsAllowed
	// Rounded up: a caller that comes back too soon asks once more.
	response.AfterMs = uint32((granted.RetryAfter + time.Millisecond - 1).Milliseconds())
	return connect.NewResponse(response), nil
}
