package caller

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/callerapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// operations implements the generated server's handler.
type operations struct {
	options *Options
}

// OpenProgram opens a program.
func (o *operations) OpenProgram(ctx context.Context, r *callerapi.OpenProgram) (*callerapi.ProgramStatus, error) {
	request, err := openFrom(r)
	if err != nil {
		return nil, err
	}
	if request.Parent != "" {
		if _, err := request.Parent.Shard(); err != nil {
			return nil, err
		}
	}
	ticket, err := o.options.Admission.AdmitOpen(ctx, tenantOf(ctx), request.Program)
	if err != nil {
		return nil, err
	}
	status, err := o.options.Backend.Open(ctx, tenantOf(ctx), request)
	ticket.Done(err)
	return o.status(ctx, string(status.ID), status, err)
}

// GetProgram tells a program's state and spending.
func (o *operations) GetProgram(ctx context.Context, p callerapi.GetProgramParams) (*callerapi.ProgramStatus, error) {
	id, err := programID(p.ProgramID)
	if err != nil {
		return nil, err
	}
	status, err := o.options.Backend.Status(ctx, tenantOf(ctx), id)
	return o.status(ctx, p.ProgramID, status, err)
}

// EndProgram ends a program.
func (o *operations) EndProgram(ctx context.Context, p callerapi.EndProgramParams) (*callerapi.ProgramStatus, error) {
	id, err := programID(p.ProgramID)
	if err != nil {
		return nil, err
	}
	status, err := o.options.Backend.End(ctx, tenantOf(ctx), id)
	return o.status(ctx, p.ProgramID, status, err)
}

// CancelCall gives a call up.
func (o *operations) CancelCall(ctx context.Context, p callerapi.CancelCallParams) error {
	id, err := programID(p.ProgramID)
	if err != nil {
		return err
	}
	return o.options.Backend.Cancel(ctx, tenantOf(ctx), id, structs.CallNumber(p.Number))
}

// IssueCall issues a call and gives its answer.
func (o *operations) IssueCall(ctx context.Context, r *callerapi.IssueCall, p callerapi.IssueCallParams) (callerapi.IssueCallRes, error) {
	id, err := programID(p.ProgramID)
	if err != nil {
		return nil, err
	}
	request, err := callFrom(r, p.Number)
	if err != nil {
		return nil, err
	}
	ticket, err := o.options.Admission.AdmitCall(ctx, tenantOf(ctx), id)
	if err != nil {
		return nil, err
	}
	feed := startFeed(ctx, Sequence{}, func(ctx context.Context, sink AnswerSink) error {
		sink = observed(ticket, request.Kind, sink)
		err := o.options.Backend.Call(ctx, tenantOf(ctx), id, request, sink)
		ticket.Done(err)
		return err
	})
	answer := answerRequest{options: o.options, number: p.Number, stream: wantsEvents(ctx, p.Stream)}
	return answer.respond(ctx, feed)
}

// ReadCall gives the answer of a call issued before.
func (o *operations) ReadCall(ctx context.Context, p callerapi.ReadCallParams) (callerapi.ReadCallRes, error) {
	id, err := programID(p.ProgramID)
	if err != nil {
		return nil, err
	}
	from, err := position(p)
	if err != nil {
		return nil, err
	}
	feed := startFeed(ctx, from, func(ctx context.Context, sink AnswerSink) error {
		read := &rereader{sink: sink}
		number := structs.CallNumber(p.Number)
		err := o.options.Backend.Read(ctx, tenantOf(ctx), id, number, from.Next, read)
		if !read.startedAgain {
			return err
		}
		return o.options.Backend.Read(ctx, tenantOf(ctx), id, number, 0, sink)
	})
	answer := answerRequest{
		options: o.options,
		number:  p.Number,
		offset:  from.Next,
		stream:  wantsEvents(ctx, p.Stream),
	}
	return answer.respond(ctx, feed)
}

// NewError turns an operation's error into problem details.
func (o *operations) NewError(ctx context.Context, err error) *callerapi.ProblemStatusCodeWithHeaders {
	return problemOf(o.options.tell(ctx, err))
}

// status converts a program's status. A status of another tenant, which no
// backend should give, is told like a program that does not exist.
func (o *operations) status(ctx context.Context, id string, s ProgramStatus, err error) (*callerapi.ProgramStatus, error) {
	if err != nil {
		return nil, err
	}
	if s.Tenant != tenantOf(ctx) {
		return nil, &failure.UnknownProgram{Program: id}
	}
	return statusTo(s), nil
}

// programID refuses an identifier that no daemon ever issued, in the words for
// a program that does not exist.
func programID(text string) (structs.ProgramID, error) {
	id := structs.ProgramID(text)
	_, err := id.Shard()
	return id, err
}

func wantsEvents(ctx context.Context, stream callerapi.OptBool) bool {
	return stream.Or(traitsOf(ctx).acceptsEvents)
}

// position returns where a reader goes on: offset and attempt, or the id of the
// last event it received.
func position(p callerapi.ReadCallParams) (Sequence, error) {
	from := Sequence{
		Attempt: uint32(p.Attempt.Or(0)),
		Next:    uint64(p.Offset.Or(0)),
	}
	id, set := p.LastEventID.Get()
	if !set || p.Offset.Set || p.Attempt.Set {
		return from, nil
	}
	return parseEventID(id)
}

// parseEventID reads "attempt:offset".
func parseEventID(id string) (Sequence, error) {
	const decimal = 10
	malformed := &failure.Malformed{Field: "Last-Event-ID", Reason: "must be attempt:offset"}
	attemptText, offsetText, found := strings.Cut(id, ":")
	if !found {
		return Sequence{}, malformed
	}
	attempt, err := strconv.ParseUint(attemptText, decimal, 32)
	if err != nil {
		return Sequence{}, malformed
	}
	offset, err := strconv.ParseUint(offsetText, decimal, 63)
	if err != nil {
		return Sequence{}, malformed
	}
	return Sequence{Attempt: uint32(attempt), Next: offset}, nil
}

// rereader notices that an answer has started again since the reader's offset,
// so that it must be read from its beginning.
type rereader struct {
	sink         AnswerSink
	startedAgain bool
}

// Part passes the part on.
func (r *rereader) Part(part AnswerPart) error {
	err := r.sink.Part(part)
	var gap *AnswerGap
	if errors.As(err, &gap) {
		r.startedAgain = gap.Wanted == 0
	}
	return err
}
