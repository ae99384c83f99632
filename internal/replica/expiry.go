package replica

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

const (
	// lastUseTimeout bounds one question to another member. It is short against the margin for which records are
	// kept beyond their retention: each answer is taken as if it were as young as its arrival.
	lastUseTimeout = 900 * time.Millisecond
	// maxUnusedPerCall bounds the chains, and the programs, that one question names: some 100 KB.
	maxUnusedPerCall = 4096
)

// expireRecords drops the records that have not been used for their retention.
//
// A record is on a write quorum of its group, and a use of its chain or program is too, often on another one. A member
// that dropped what it has not seen in use would leave records in use on fewer members than reads count on. A member
// therefore drops records only after a quorum has said that it knows of no later use.
func (r *Replica) expireRecords(ctx context.Context) {
	var questions sync.WaitGroup
	for partition, unused := range r.state.unusedRecords(r.state.now()) {
		if unused.IsEmpty() {
			// There may be starts of streams to drop, which nothing uses.
			r.state.dropUnused(partition, unused, nil, true)
			continue
		}
		questions.Go(func() {
			usages, complete := r.askLastUses(ctx, partition, unused)
			r.state.dropUnused(partition, unused, usages, complete)
		})
	}
	questions.Wait()
}

// askLastUses asks the other members of a partition's group about the use of records. complete reports whether the
// members that answered, with this one if it has a seat, are a consistent quorum.
func (r *Replica) askLastUses(ctx context.Context, partition uint32, unused turn.Subjects) (usages []*replicav1.LastUseResponse, complete bool) {
	group := r.state.currentGroup(partition)
	if group == nil {
		return nil, false
	}
	request := &replicav1.LastUseRequest{Epoch: group.Epoch, Partition: partition, Chains: unused.Chains, Programs: unused.Programs}
	answers := make(chan lastUseAnswer, len(group.Members))
	for _, member := range group.Members {
		go func() { answers <- r.askLastUse(ctx, member, request) }()
	}
	var unanswered []string
	for range group.Members {
		answer := <-answers
		if answer.response == nil {
			unanswered = append(unanswered, answer.problem)
			continue
		}
		usages = append(usages, answer.response)
	}
	complete = isLastUseQuorum(group, usages)
	if !complete && ctx.Err() == nil {
		eventExpiryDelayed.Log("partition", partition, "epoch", group.Epoch, "chains", len(unused.Chains), "programs", len(unused.Programs),
			"answered", len(usages), "unanswered", unanswered)
	}
	return usages, complete
}

// isLastUseQuorum reports whether answers are from so many members of a group that each use is known to one of them.
func isLastUseQuorum(group *replicav1.Group, answers []*replicav1.LastUseResponse) bool {
	var standings []*replicav1.Standing
	for _, answer := range answers {
		standings = append(standings, answer.Standing)
	}
	return quorum.ChooseConsistent(group.Epoch, standings, quorum.WriteQuorum(quorum.VoterCount(group))) != nil
}

// lastUseAnswer is the answer of one member, or why there is none.
type lastUseAnswer struct {
	response *replicav1.LastUseResponse
	problem  string
}

// askLastUse asks one member, which may be this one.
func (r *Replica) askLastUse(ctx context.Context, member *replicav1.Member, request *replicav1.LastUseRequest) lastUseAnswer {
	if member.Node == r.options.Node {
		return lastUseAnswer{response: r.state.lastUse(request)}
	}
	callCtx, cancel := context.WithTimeout(ctx, lastUseTimeout)
	defer cancel()
	response, err := r.quorum.ReplicaClient(member.Address).LastUse(callCtx, connect.NewRequest(request))
	switch {
	case err != nil:
		return lastUseAnswer{problem: member.Node + ": " + quorum.DescribeCallFailure(err)}
	case len(response.Msg.Chains) != len(request.Chains) || len(response.Msg.Programs) != len(request.Programs):
		return lastUseAnswer{problem: member.Node + ": answered something else"}
	}
	return lastUseAnswer{response: response.Msg}
}

// LastUse returns when chains and programs were last used, as far as that is known here.
func (s *service) LastUse(_ context.Context, request *connect.Request[replicav1.LastUseRequest]) (*connect.Response[replicav1.LastUseResponse], error) {
	return connect.NewResponse(s.state.lastUse(request.Msg)), nil
}

// lastUse answers a question about the use of records.
func (s *state) lastUse(request *replicav1.LastUseRequest) *replicav1.LastUseResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, partition := s.now(), s.partition(request.Partition)
	response := &replicav1.LastUseResponse{Standing: partition.standing(request.Epoch)}
	for _, id := range request.Chains {
		response.Chains = append(response.Chains, encodeUsage(partition.store.ChainUsage(now, id)))
	}
	for _, name := range request.Programs {
		response.Programs = append(response.Programs, encodeUsage(partition.store.ProgramUsage(now, name)))
	}
	return response
}

func encodeUsage(usage turn.Usage) *replicav1.Usage {
	return &replicav1.Usage{Known: usage.IsKnown, IdleMs: uint64(usage.Idle.Milliseconds()), RetentionMs: uint64(usage.Retention.Milliseconds())}
}

func decodeUsage(usage *replicav1.Usage) turn.Usage {
	return turn.Usage{
		IsKnown: usage.Known, Idle: time.Duration(usage.IdleMs) * time.Millisecond, Retention: time.Duration(usage.RetentionMs) * time.Millisecond,
	}
}

// unusedRecords returns the chains and programs of each partition whose records are unused, as far as that is known
// here.
func (s *state) unusedRecords(now time.Time) map[uint32]turn.Subjects {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := make(map[uint32]turn.Subjects)
	for number, partition := range s.partitions {
		if partition.group == nil || partition.isOnlyMember() {
			continue
		}
		found[number] = partition.store.Unused(now, maxUnusedPerCall)
	}
	return found
}

// dropUnused adopts what other members know of the use of records. If they were enough, it drops the records that are
// still unused.
func (s *state) dropUnused(number uint32, unused turn.Subjects, usages []*replicav1.LastUseResponse, complete bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, partition := s.now(), s.partition(number)
	for _, answer := range usages {
		for i, id := range unused.Chains {
			partition.store.ObserveChainUsage(now, id, decodeUsage(answer.Chains[i]))
		}
		for i, name := range unused.Programs {
			partition.store.ObserveProgramUsage(now, name, decodeUsage(answer.Programs[i]))
		}
	}
	if !complete {
		unused = turn.Subjects{}
	}
	partition.store.DropUnused(now, unused)
}

// expireWithoutPeers drops the expired records of partitions whose only member is this folder.
func (s *state) expireWithoutPeers(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, partition := range s.partitions {
		if partition.isOnlyMember() {
			partition.store.Expire(now)
		}
	}
}

// isOnlyMember reports whether this folder is recovered and the only member of its group.
func (p *partitionState) isOnlyMember() bool {
	return p.group != nil && quorum.ChooseConsistent(p.group.Epoch, []*replicav1.Standing{p.standing(p.group.Epoch)}, quorum.WriteQuorum(len(p.group.Members))) != nil
}
