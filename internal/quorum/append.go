package quorum

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

// append sends a request to the group in force of a program's partition until enough
// members answer.
func (c *Client) append(ctx context.Context, program string, request *replicav1.AppendRequest) (turn.Ledger, error) {
	return c.appendTo(ctx, func() *replicav1.Group { return c.group(program) }, c.policy(nil), request)
}

// AppendTurns writes turns of one scope, and what goes with them, to a majority of the
// group that keeps them. It goes to members in permitted regions only. It fails with
// *failure.NoPermittedPlace where no partition may keep them.
func (c *Client) AppendTurns(ctx context.Context, scope Scope, records ...*replicav1.Record) error {
	if _, err := c.TurnPartition(scope); err != nil {
		return err
	}
	_, err := c.appendTo(ctx, func() *replicav1.Group { return c.groupOf(scope) }, c.policy(scope.Regions), &replicav1.AppendRequest{Records: records})
	return err
}

// appendTo sends a request to the group that is in force, as inForce tells it, until
// enough members answer. It goes to those that the policy permits.
func (c *Client) appendTo(ctx context.Context, inForce func() *replicav1.Group, policy placement.RegionPolicy, request *replicav1.AppendRequest) (turn.Ledger, error) {
	began := c.now()
	answered, needed := 0, 1
	var why Shortfall
	for {
		group := inForce()
		if group != nil {
			needed = WriteQuorum(VoterCount(group))
			round := newAppendRound(c, group, request)
			round.policy = policy
			ledger, done := round.run(ctx)
			if done {
				c.outages.answered(group.Partition)
				return ledger, nil
			}
			answered, why = max(answered, len(round.latest)), round.shortfall()
		}
		if !pause.For(ctx, retryPause) {
			if group != nil {
				c.outages.unanswered(group.Partition, began, why)
			}
			return nil, &Unavailable{Needed: needed, Answered: answered, Shortfall: why}
		}
	}
}

// appendRound sends one request to the members of one group. Each member has one
// call under way at most: calls that pile up at members which come back would
// keep them from coming back.
type appendRound struct {
	client  *Client
	group   *replicav1.Group
	request *replicav1.AppendRequest
	// policy is where the records may rest.
	policy  placement.RegionPolicy
	answers chan memberAnswer
	// latest are the last answers, by seat.
	latest map[uint32]*replicav1.AppendResponse
}

type memberAnswer struct {
	seat     uint32
	response *replicav1.AppendResponse
}

func newAppendRound(client *Client, group *replicav1.Group, request *replicav1.AppendRequest) *appendRound {
	return &appendRound{
		client: client, group: group, answers: make(chan memberAnswer),
		request: &replicav1.AppendRequest{
			Epoch: group.Epoch, Partition: group.Partition, Records: request.Records, Programs: request.Programs,
		},
		latest: make(map[uint32]*replicav1.AppendResponse, len(group.Members)),
	}
}

// run returns once enough members have answered alike, or false when ctx ends or
// another group is in force.
func (r *appendRound) run(ctx context.Context) (turn.Ledger, bool) {
	asking, stop := context.WithCancel(ctx)
	defer stop()
	waiting := permittedMembers(r.client.preferred(r.group), r.policy)
	ask := func(count int) {
		for _, member := range waiting[:count] {
			go r.askUntil(asking, member)
		}
		waiting = waiting[count:]
	}
	first := min(len(waiting), r.firstAsked())
	usual := r.client.latency.UpperBound(r.client.spareAfter) + r.client.wayTo(waiting[:first]...)
	ask(first)
	spare := time.NewTimer(usual)
	defer spare.Stop()
	for answered := 0; ; {
		late := false
		select {
		case <-ctx.Done():
			return nil, false
		case <-spare.C:
			late = true
		case answer := <-r.answers:
			answered++
			late = answer.response == nil || answered >= first
			if answer.response != nil {
				r.latest[answer.seat] = answer.response
			}
		}
		if ledger, enough := r.counted(); enough {
			return ledger, true
		}
		if late {
			ask(len(waiting))
		}
		if group := r.client.groups.Group(r.group.Partition); group != nil && group.Epoch > r.group.Epoch {
			return nil, false
		}
	}
}

// turnCopies is how many members a turn goes to at once at least. The near one is among
// them, and the turn's next reader is mostly in the same zone; in a group of three every
// reader finds it near.
const turnCopies = 3

// firstAsked is how many members are asked at first: as many as must have the records,
// and for a turn turnCopies of them.
func (r *appendRound) firstAsked() int {
	for _, record := range r.request.Records {
		if record.GetTurn() != nil {
			return min(len(r.group.Members), max(turnCopies, WriteQuorum(VoterCount(r.group))))
		}
	}
	return WriteQuorum(VoterCount(r.group))
}

// counted returns what the latest answers say together, if enough of them count.
func (r *appendRound) counted() (turn.Ledger, bool) {
	var standings []*replicav1.Standing
	var answers []*replicav1.AppendResponse
	for _, answer := range r.latest {
		standings, answers = append(standings, answer.Standing), append(answers, answer)
	}
	chosen := ChooseConsistent(r.group.Epoch, standings, WriteQuorum(VoterCount(r.group)))
	if chosen == nil {
		return nil, false
	}
	ledger := make(turn.Ledger)
	for _, i := range chosen {
		ledger.Merge(answers[i].Entries)
	}
	return ledger, true
}

// shortfall explains the latest answers.
func (r *appendRound) shortfall() Shortfall {
	standings := make(map[uint32]*replicav1.Standing, len(r.latest))
	for seat, answer := range r.latest {
		standings[seat] = answer.Standing
	}
	return shortfall(r.group, standings)
}

// askUntil calls one member again and again until the round is over. A call that
// is under way then still comes to its end: slower members get the records too.
// A member that does not answer is called through another gateway too.
func (r *appendRound) askUntil(asking context.Context, member *replicav1.Member) {
	for wait := retryPause; ; wait = min(2*wait, lastRetryPause) {
		var response *replicav1.AppendResponse
		if r.client.reach.isDown(member.Address) {
			response = r.forward(asking, member)
		} else {
			response = r.callDirectly(asking, member)
		}
		if !r.deliver(asking, member, response) {
			return
		}
		if !r.client.reach.pause(asking, member.Address, wait) {
			return
		}
	}
}

// deliver hands an answer to the round and returns false once that is over.
func (r *appendRound) deliver(asking context.Context, member *replicav1.Member, response *replicav1.AppendResponse) bool {
	select {
	case r.answers <- memberAnswer{seat: member.Seat, response: response}:
		return true
	case <-asking.Done():
		return false
	}
}

// callDirectly makes one call to a member; if that takes long, through another
// gateway as well. nil means that there was no direct answer.
func (r *appendRound) callDirectly(asking context.Context, member *replicav1.Member) *replicav1.AppendResponse {
	began := r.client.now()
	usual := r.client.latency.UpperBound(forwardAfter) + r.client.wayTo(member)
	detour := time.AfterFunc(usual, func() { r.detour(asking, member, began) })
	defer detour.Stop()
	call, cancel := context.WithTimeout(context.WithoutCancel(asking), callTimeout)
	defer cancel()
	response, err := r.client.ReplicaClient(member.Address).Append(call, connect.NewRequest(r.request))
	if err != nil {
		r.client.reach.failed(member.Address, err)
		return nil
	}
	took := r.client.now().Sub(began)
	r.client.ways.Observe(r.client.now(), member.Zone, took)
	r.client.latency.Observe(max(0, took-r.client.wayTo(member)))
	if len(r.request.Records) > 0 {
		r.client.outages.writes.Observe(took)
	}
	r.client.reach.answered(member.Address)
	r.client.learn(r.group, member, response.Msg.Standing)
	return response.Msg
}

// detour calls a member through another gateway, unless it has answered anything
// since the direct call began: then it is reached, and slow, and one more call would
// make it slower.
func (r *appendRound) detour(asking context.Context, member *replicav1.Member, began time.Time) {
	if r.client.reach.answeredSince(member.Address, began) {
		return
	}
	if response := r.forward(asking, member); response != nil {
		r.client.reach.silent(member.Address)
		r.deliver(asking, member, response)
	}
}

// forward makes the round's call through another gateway; nil means that there was
// no answer.
func (r *appendRound) forward(asking context.Context, member *replicav1.Member) *replicav1.AppendResponse {
	if !passesOn(r.group, r.policy) {
		return nil
	}
	return r.client.forward(asking, &replicav1.ForwardRequest{
		Address: member.Address, Call: &replicav1.ForwardRequest_Append{Append: r.request},
	}).GetAppend()
}
