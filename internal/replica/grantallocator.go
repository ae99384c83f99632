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

// grantCleanupInterval is the interval at which unused shares of limits are dropped.
const grantCleanupInterval = 10 * time.Second

// grantAllocator grants requests from this node's shares of tenants' limits and of the capacity of
// cold workers. Each seat starts with nothing when this process first holds it, because the grants
// of the previous process or holder are unknown.
type grantAllocator struct {
	node string
	now  func() time.Time
	// granters are the allocators of each kind, with a tolerance of their own.
	granters map[replicav1.GrantKind]*quota.Granter

	mutex sync.Mutex
	// seats are the seats that this process holds, by partition.
	seats map[uint32]heldSeat
}

// heldSeat is a seat and the time since when this process knows that its node holds it.
type heldSeat struct {
	claim uint64
	since time.Time
}

func newGrantAllocator(node string, now func() time.Time, tenants, coldWorkers quota.Tolerance) *grantAllocator {
	return &grantAllocator{
		node: node, now: now, seats: make(map[uint32]heldSeat),
		granters: map[replicav1.GrantKind]*quota.Granter{
			replicav1.GrantKind_GRANT_KIND_TENANT:      quota.NewGranter(tenants),
			replicav1.GrantKind_GRANT_KIND_COLD_WORKER: quota.NewGranter(coldWorkers),
		},
	}
}

// updateSeats adds and removes seats according to the current groups.
func (g *grantAllocator) updateSeats(groups []*replicav1.Group) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, group := range groups {
		if group == nil {
			continue
		}
		member := memberForNode(group, g.node)
		if member == nil {
			delete(g.seats, group.Partition)
			continue
		}
		if held, found := g.seats[group.Partition]; !found || held.claim != member.Claim {
			g.seats[group.Partition] = heldSeat{claim: member.Claim, since: g.now()}
		}
	}
}

// recovery returns this node's seat in a partition.
func (g *grantAllocator) seat(partition uint32) (heldSeat, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	held, found := g.seats[partition]
	return held, found
}

// runCleanup periodically drops unused shares.
func (g *grantAllocator) runCleanup(ctx context.Context) {
	for pause.For(ctx, grantCleanupInterval) {
		for _, granter := range g.granters {
			granter.DropFull(g.now())
		}
	}
}

// Grant grants requests for a tenant or a cold worker; an unknown kind gets nothing. Each seat has
// the same share of a group's limit, also while the group has fewer members than its target: a seat
// that is filled again finds its share unused.
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
	// Rounded up, because a caller that returns too early has to ask again.
	response.AfterMs = uint32((granted.RetryAfter + time.Millisecond - 1).Milliseconds())
	return connect.NewResponse(response), nil
}
