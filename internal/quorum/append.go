package quorum

import (
	"context"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

// append sends a request to the group in force until enough members answer.
func (c *Client) append(ctx context.Context, request *replicav1.AppendRequest) (turn.Ledger, error) {
	answered, needed := 0, 1
	for {
		if group := c.groups.Group(); group != nil {
			needed = WriteSize(len(group.Members))
			round := newAppendRound(c, group, request)
			ledger, done := round.run(ctx)
			if done {
				return ledger, nil
			}
			answered = max(answered, len(round.latest))
		}
		if !pause.For(ctx, retryPause) {
			return nil, &Unavailable{Needed: needed, Answered: answered}
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
		request: &replicav1.AppendRequest{Epoch: group.Epoch, Records: request.Records, Programs: request.Programs},
		latest:  make(map[uint32]*replicav1.AppendResponse, len(group.Members)),
	}
}

// run returns once enough members have answered alike, or false when ctx ends or
// another group is in force.
func (r *appendRound) run(ctx context.Context) (turn.Ledger, bool) {
	asking, stop := context.WithCancel(ctx)
	defer stop()
	for _, member := range r.group.Members {
		go r.askUntil(asking, member)
	}
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case answer := <-r.answers:
			if answer.response != nil {
				r.latest[answer.seat] = answer.response
			}
		}
		if ledger, enough := r.counted(); enough {
			return ledger, true
		}
		if group := r.client.groups.Group(); group != nil && group.Epoch > r.group.Epoch {
			return nil, false
		}
	}
}

// counted returns what the latest answers say together, if enough of them count.
func (r *appendRound) counted() (turn.Ledger, bool) {
	var standings []*replicav1.Standing
	var answers []*replicav1.AppendResponse
	for _, answer := range r.latest {
		standings, answers = append(standings, answer.Standing), append(answers, answer)
	}
	chosen := Choose(r.group.Epoch, standings, WriteSize(len(r.group.Members)))
	if chosen == nil {
		return nil, false
	}
	ledger := make(turn.Ledger)
	for _, i := range chosen {
		ledger.Merge(answers[i].Entries)
	}
	return ledger, true
}

// askUntil calls one member again and again until the round is over. A call that
// is under way then still comes to its end: slower members get the records too.
func (r *appendRound) askUntil(asking context.Context, member *replicav1.Member) {
	for wait := retryPause; ; wait = min(2*wait, lastRetryPause) {
		response := r.call(asking, member)
		select {
		case r.answers <- memberAnswer{seat: member.Seat, response: response}:
		case <-asking.Done():
			return
		}
		if !pause.For(asking, wait) {
			return
		}
	}
}

// call makes one call to a member; nil means that there was no answer.
func (r *appendRound) call(asking context.Context, member *replicav1.Member) *replicav1.AppendResponse {
	call, cancel := context.WithTimeout(context.WithoutCancel(asking), callTimeout)
	defer cancel()
	response, err := r.client.At(member.Address).Append(call, connect.NewRequest(r.request))
	if err != nil {
		return nil
	}
	r.client.learn(r.group, member, response.Msg.Standing)
	return response.Msg
}
