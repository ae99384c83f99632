package quorum

import (
	"context"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// memberKey identifies a member of a partition's group by its replica's address.
type memberKey struct {
	address   string
	partition uint32
}

// unreadyMembers tracks members that answer but count in no quorum, because they have not received the
// records of their seats. Each is probed by one goroutine, and every round that could use the member
// waits for it: calls of each waiting round would take the time that the member needs to recover. It is
// safe for concurrent use.
type unreadyMembers struct {
	now func() time.Time
	// probe asks a member for its standing in a group. It returns an answer that does not count, or nil
	// if the member counts, does not answer, or the group has been replaced.
	probe func(ctx context.Context, group *replicav1.Group, member *replicav1.Member) *replicav1.AppendResponse

	mutex   sync.Mutex
	members map[memberKey]*unreadyMember
}

// unreadyMember is a member that answers but does not count.
type unreadyMember struct {
	since time.Time
	// answer is the latest answer.
	answer *replicav1.AppendResponse
	// lastNeeded is when a round last could have used the member.
	lastNeeded time.Time
	// ended is closed when the member may be called again.
	ended chan struct{}
}

func newUnreadyMembers(now func() time.Time, probe func(ctx context.Context, group *replicav1.Group, member *replicav1.Member) *replicav1.AppendResponse) *unreadyMembers {
	return &unreadyMembers{now: now, probe: probe, members: make(map[memberKey]*unreadyMember)}
}

// isUnready reports whether a standing shows that a member of a group holds no records that count. A
// member that knows another epoch is told the newer group instead.
func isUnready(group *replicav1.Group, standing *replicav1.Standing) bool {
	return standing.GetEpoch() == group.Epoch && (!standing.Member || !standing.Recovered)
}

// record records a member's answer.
func (u *unreadyMembers) record(group *replicav1.Group, member *replicav1.Member, answer *replicav1.AppendResponse) {
	key := memberKey{address: member.Address, partition: group.Partition}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	known := u.members[key]
	switch {
	case !isUnready(group, answer.GetStanding()):
		u.remove(key, known)
	case known != nil:
		known.answer = answer
	default:
		now := u.now()
		known = &unreadyMember{since: now, answer: answer, lastNeeded: now, ended: make(chan struct{})}
		u.members[key] = known
		go u.probeUntilReady(key, known, group, member)
	}
}

// remove ends the wait for a member, unless another one has begun. The mutex must be held.
func (u *unreadyMembers) remove(key memberKey, ended *unreadyMember) {
	if ended != nil && u.members[key] == ended {
		delete(u.members, key)
		close(ended.ended)
	}
}

// answerOf returns the latest answer of a member that does not count, or nil if the member may be
// called.
func (u *unreadyMembers) answerOf(partition uint32, address string) *replicav1.AppendResponse {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if known := u.members[memberKey{address: address, partition: partition}]; known != nil {
		return known.answer
	}
	return nil
}

// await waits until a member may be called. It returns false when ctx ends before that.
func (u *unreadyMembers) await(ctx context.Context, partition uint32, address string) bool {
	u.mutex.Lock()
	known := u.members[memberKey{address: address, partition: partition}]
	if known != nil {
		known.lastNeeded = u.now()
	}
	u.mutex.Unlock()
	if known == nil {
		return ctx.Err() == nil
	}
	select {
	case <-known.ended:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// probeUntilReady probes a member until it counts, does not answer, or no round has needed it for
// probeIdleLimit.
func (u *unreadyMembers) probeUntilReady(key memberKey, known *unreadyMember, group *replicav1.Group, member *replicav1.Member) {
	for {
		time.Sleep(probeInterval(u.now().Sub(known.since)))
		select {
		case <-known.ended:
			return
		default:
		}
		if !u.probeOnce(key, known, group, member) {
			return
		}
	}
}

// probeOnce probes a member and reports whether it still does not count.
func (u *unreadyMembers) probeOnce(key memberKey, known *unreadyMember, group *replicav1.Group, member *replicav1.Member) bool {
	var answer *replicav1.AppendResponse
	if !u.isIdle(known) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		answer = u.probe(ctx, group, member)
		cancel()
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if answer == nil {
		u.remove(key, known)
		return false
	}
	known.answer = answer
	return true
}

// isIdle reports whether no round has needed a member for probeIdleLimit.
func (u *unreadyMembers) isIdle(known *unreadyMember) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.now().Sub(known.lastNeeded) > probeIdleLimit
}
