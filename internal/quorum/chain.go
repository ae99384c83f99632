package quorum

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

// Chain returns a turn and all turns before it, the newest first. It looks for them in
// the partition of the scope that asks, and for those that are not there in all
// others: a program may go on from another one's turn. It fails with *UnknownTurn only
// on proof that a turn of the chain is kept nowhere, and with *TurnRegionMismatch where one is
// kept in a partition that the scope may not read.
func (c *Client) Chain(ctx context.Context, scope Scope, id string) ([]*replicav1.Turn, error) {
	known := make(map[string]*replicav1.Turn)
	for {
		missing := firstMissing(known, id)
		if missing == "" {
			return assemble(known, id), nil
		}
		if err := c.find(ctx, scope, missing, known); err != nil {
			return nil, err
		}
	}
}

// firstMissing returns the newest turn of the chain that is not known.
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

func assemble(known map[string]*replicav1.Turn, id string) []*replicav1.Turn {
	var chain []*replicav1.Turn
	for id != "" {
		chain = append(chain, known[id])
		id = known[id].Previous
	}
	return chain
}

// find adds the turn, and those before it that come along, to known.
func (c *Client) find(ctx context.Context, scope Scope, id string, known map[string]*replicav1.Turn) error {
	for len(c.groups.Groups()) == 0 {
		if !pause.For(ctx, retryPause) {
			return &Unavailable{Needed: 1}
		}
	}
	own, err := c.TurnPartition(scope)
	if err != nil {
		return err
	}
	found, err := c.findIn(ctx, own, id)
	var unknown *UnknownTurn
	if errors.As(err, &unknown) {
		found, err = c.findElsewhere(ctx, scope, own, id)
	}
	for _, turn := range found {
		known[turn.Id] = turn
	}
	return err
}

// findElsewhere looks for a turn in all partitions but one. It is unknown only if each
// of them proves that. Only the turn's id goes to partitions that the scope may not read;
// a turn that one of them has is not returned.
func (c *Client) findElsewhere(ctx context.Context, scope Scope, but uint32, id string) ([]*replicav1.Turn, error) {
	type result struct {
		turns []*replicav1.Turn
		err   error
	}
	policy := c.policy(scope.Regions)
	readable := func(uint32) bool { return true }
	if policy.ExcludesAnyRegion() {
		permitted := permittedPartitions(c.groups.Groups(), policy)
		readable = func(partition uint32) bool { return slices.Contains(permitted, partition) }
	}
	partitions := len(c.groups.Groups())
	searching, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan result, partitions)
	asked := 0
	var failed, elsewhere error
	unconfined := unconfinedOf(c.groups.Groups())
	for partition := range uint32(partitions) {
		if partition == but {
			continue
		}
		if int(partition) >= unconfined && c.groups.Group(partition) == nil && !(policy.ExcludesAnyRegion() && readable(partition)) {
			// No configuration may have needed this confined partition yet; but that its group
			// was not heard of here is no proof that it keeps nothing.
			failed = &Unavailable{Needed: 1}
			continue
		}
		asked++
		go func() {
			turns, err := c.findIn(searching, partition, id)
			if err == nil && !readable(partition) {
				err = &TurnRegionMismatch{Turn: id, TurnRegions: turns[0].Regions, Permitted: scope.Regions}
			}
			results <- result{turns: turns, err: err}
		}()
	}
	for range asked {
		each := <-results
		if each.err == nil {
			return each.turns, nil
		}
		var kept *TurnRegionMismatch
		var unknown *UnknownTurn
		switch {
		case errors.As(each.err, &kept):
			// Another partition may have a copy that may be read.
			elsewhere = each.err
		case !errors.As(each.err, &unknown):
			failed = each.err
		}
	}
	if elsewhere != nil {
		return nil, elsewhere
	}
	if failed != nil {
		return nil, failed
	}
	return nil, &UnknownTurn{Turn: id}
}

// findIn looks for a turn, and those before it, in one partition.
func (c *Client) findIn(ctx context.Context, partition uint32, id string) ([]*replicav1.Turn, error) {
	answered, needed := 0, 1
	for {
		if group := c.groups.Group(partition); group != nil {
			needed = ReadQuorum(VoterCount(group))
			found, absent, count := c.findOnce(ctx, group, id)
			if len(found) > 0 {
				return found, nil
			}
			if absent {
				return nil, &UnknownTurn{Turn: id}
			}
			answered = count
		}
		if !pause.For(ctx, retryPause) {
			return nil, &Unavailable{Needed: needed, Answered: answered}
		}
	}
}

// findOnce asks the nearest member first, and all others when it does not have
// the turn or is slow.
func (c *Client) findOnce(ctx context.Context, group *replicav1.Group, id string) (found []*replicav1.Turn, absent bool, count int) {
	answers := make(chan *replicav1.ReadChainResponse, len(group.Members))
	members := c.nearestFirst(group)
	ask := func(member *replicav1.Member) { answers <- c.readChain(ctx, group, member, id) }
	go ask(members[0])
	waiting, asked := 1, 1
	slow := time.NewTimer(nearTimeout + c.wayTo(members[0]))
	defer slow.Stop()
	var standings []*replicav1.Standing
	for waiting > 0 {
		select {
		case <-ctx.Done():
			return nil, false, len(standings)
		case <-slow.C:
		case answer := <-answers:
			waiting--
			if answer != nil && len(answer.Turns) > 0 {
				return answer.Turns, false, len(standings)
			}
			if answer != nil {
				standings = append(standings, answer.Standing)
			}
		}
		for _, member := range members[asked:] {
			go ask(member)
			waiting++
		}
		asked = len(members)
		if ChooseConsistent(group.Epoch, standings, ReadQuorum(VoterCount(group))) != nil {
			return nil, true, len(standings)
		}
	}
	return nil, false, len(standings)
}

// readChain asks one member, through another gateway where it does not answer; nil
// means that there was no answer.
func (c *Client) readChain(ctx context.Context, group *replicav1.Group, member *replicav1.Member, id string) *replicav1.ReadChainResponse {
	request := &replicav1.ReadChainRequest{Epoch: group.Epoch, Partition: group.Partition, Id: id}
	if !c.reach.isDown(member.Address) {
		answer := askDirectly(ctx, c, group, member, callTimeout, connect.NewRequest(request), c.ReplicaClient(member.Address).ReadChain)
		if answer != nil || ctx.Err() != nil {
			return answer
		}
	}
	if group.Region != "" {
		// The answer may hold text that is confined to the group's region.
		return nil
	}
	return c.forward(ctx, &replicav1.ForwardRequest{
		Address: member.Address, Call: &replicav1.ForwardRequest_ReadChain{ReadChain: request},
	}).GetReadChain()
}

// nearestFirst returns the members of a group by their distance.
func (c *Client) nearestFirst(group *replicav1.Group) []*replicav1.Member {
	view := c.ways.View()
	members := slices.Clone(group.Members)
	slices.SortStableFunc(members, func(a, b *replicav1.Member) int { return cmp.Compare(view.Rank(a.Zone), view.Rank(b.Zone)) })
	return members
}
