package quorum

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

// Chain returns a turn and all turns before it, newest first. It searches the partition of the
// requesting scope and then all others, because a program may continue from another program's
// turn. It fails with *UnknownTurn only if it is proven that no partition stores a turn of the
// chain, and with *TurnRegionMismatch if a turn is stored in a partition that the scope may not
// read.
func (c *Client) Chain(ctx context.Context, scope Scope, id string) ([]*replicav1.Turn, error) {
	known := make(map[string]*replicav1.Turn)
	for {
		missing := firstMissing(known, id)
		if missing == "" {
			return knownChain(known, id), nil
		}
		if err := c.findTurn(ctx, scope, missing, known); err != nil {
			return nil, err
		}
	}
}

// firstMissing returns the newest turn of the chain that is not in known, or "".
func firstMissing(known map[string]*replicav1.Turn, id string) string {
	for id != "" {
		found := known[id]
		if found == nil {
			return id
		}
		id = found.Previous
	}
	return ""
}

func knownChain(known map[string]*replicav1.Turn, id string) []*replicav1.Turn {
	var chain []*replicav1.Turn
	for id != "" {
		chain = append(chain, known[id])
		id = known[id].Previous
	}
	return chain
}

// findTurn adds the turn, and the earlier turns returned with it, to known.
func (c *Client) findTurn(ctx context.Context, scope Scope, id string, known map[string]*replicav1.Turn) error {
	for len(c.groups.Groups()) == 0 {
		if !pause.For(ctx, initialBackoff) {
			return &Unavailable{Needed: 1}
		}
	}
	homePartition, err := c.TurnPartition(scope)
	if err != nil {
		return err
	}
	found, err := c.findInPartition(ctx, homePartition, id)
	var unknown *UnknownTurn
	if errors.As(err, &unknown) {
		found, err = c.findInOtherPartitions(ctx, scope, homePartition, id)
	}
	for _, turn := range found {
		known[turn.Id] = turn
	}
	return err
}

// findInOtherPartitions searches all partitions except one for a turn. The turn is unknown only
// if every one of them proves that it does not have it. Partitions that the scope may not read
// are only sent the turn's id, and a turn found there is not returned.
func (c *Client) findInOtherPartitions(ctx context.Context, scope Scope, except uint32, id string) ([]*replicav1.Turn, error) {
	type result struct {
		turns []*replicav1.Turn
		err   error
	}
	policy := c.regionPolicy(scope.Regions)
	readable := func(uint32) bool { return true }
	if policy.ExcludesAnyRegion() {
		permitted := permittedPartitions(c.groups.Groups(), policy)
		readable = func(partition uint32) bool { return slices.Contains(permitted, partition) }
	}
	partitions := len(c.groups.Groups())
	searchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, partitions)
	searched := 0
	var unavailable, regionMismatch error
	unconfined := unconfinedCount(c.groups.Groups())
	for partition := range uint32(partitions) {
		if partition == except {
			continue
		}
		if int(partition) >= unconfined && c.groups.Group(partition) == nil && !(policy.ExcludesAnyRegion() && readable(partition)) {
			// This confined partition may not be needed by any configuration yet. But an unknown
			// group does not prove that the partition is empty.
			unavailable = &Unavailable{Needed: 1}
			continue
		}
		searched++
		go func() {
			turns, err := c.findInPartition(searchCtx, partition, id)
			if err == nil && !readable(partition) {
				err = &TurnRegionMismatch{Turn: id, TurnRegions: turns[0].Regions, Permitted: scope.Regions}
			}
			results <- result{turns: turns, err: err}
		}()
	}
	for range searched {
		answer := <-results
		if answer.err == nil {
			return answer.turns, nil
		}
		var mismatch *TurnRegionMismatch
		var unknown *UnknownTurn
		switch {
		case errors.As(answer.err, &mismatch):
			// Another partition may have a copy that the scope may read.
			regionMismatch = answer.err
		case !errors.As(answer.err, &unknown):
			unavailable = answer.err
		}
	}
	if regionMismatch != nil {
		return nil, regionMismatch
	}
	if unavailable != nil {
		return nil, unavailable
	}
	return nil, &UnknownTurn{Turn: id}
}

// findInPartition searches one partition for a turn and the turns before it.
func (c *Client) findInPartition(ctx context.Context, partition uint32, id string) ([]*replicav1.Turn, error) {
	answered, needed := 0, 1
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if group := c.groups.Group(partition); group != nil {
			needed = ReadQuorum(VoterCount(group))
			found, absent, answeredNow := c.findInPartitionOnce(ctx, group, id)
			if len(found) > 0 {
				return found, nil
			}
			if absent {
				return nil, &UnknownTurn{Turn: id}
			}
			answered = answeredNow
		}
		if !pause.For(ctx, backoff) {
			return nil, &Unavailable{Needed: needed, Answered: answered}
		}
	}
}

// findInPartitionOnce is one round of findInPartition.
func (c *Client) findInPartitionOnce(ctx context.Context, group *replicav1.Group, id string) (found []*replicav1.Turn, absent bool, answered int) {
	answer, absent, answered := readNearestFirst(ctx, c, group,
		func(member *replicav1.Member) *replicav1.ReadChainResponse {
			return c.readChain(ctx, group, member, id)
		},
		func(answer *replicav1.ReadChainResponse) bool { return len(answer.Turns) > 0 })
	return answer.GetTurns(), absent, answered
}

// readChain asks one member, through another gateway if the member does not answer. It returns
// nil if there was no answer.
func (c *Client) readChain(ctx context.Context, group *replicav1.Group, member *replicav1.Member, id string) *replicav1.ReadChainResponse {
	request := &replicav1.ReadChainRequest{Epoch: group.Epoch, Partition: group.Partition, Id: id}
	if !c.reachability.isDown(member.Address) {
		answer := readMember(ctx, c, group, member, connect.NewRequest(request), c.ReplicaClient(member.Address).ReadChain)
		if answer != nil || ctx.Err() != nil || !c.reachability.isDown(member.Address) {
			return answer
		}
	}
	if group.Region != "" {
		// The answer may contain text that is restricted to the group's region.
		return nil
	}
	return c.forward(ctx, &replicav1.ForwardRequest{
		Address: member.Address, Call: &replicav1.ForwardRequest_ReadChain{ReadChain: request},
	}).GetReadChain()
}

// nearestFirst returns the members of a group ordered by distance, those that do not count last.
func (c *Client) nearestFirst(group *replicav1.Group) []*replicav1.Member {
	view := c.zoneLatencies.View()
	members := slices.Clone(group.Members)
	rank := func(member *replicav1.Member) int {
		if c.unready.answerOf(group.Partition, member.Address) != nil {
			return math.MaxInt
		}
		return view.Rank(member.Zone)
	}
	slices.SortStableFunc(members, func(a, b *replicav1.Member) int { return cmp.Compare(rank(a), rank(b)) })
	return members
}
