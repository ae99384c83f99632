package executor

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/peerv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// peerUnreachableType is the type of the failure to reach another daemon, defined in
// package peer.
const peerUnreachableType failure.Type = "peer_unreachable"

// forwardRequest encodes the operation for another daemon, with the reader's current
// position.
func (op operation) forwardRequest(hops uint32, sink replySink) *peerv1.ForwardRequest {
	request := &peerv1.ForwardRequest{
		Operation: string(op.name),
		Tenant:    string(op.tenant),
		ProgramId: string(op.program),
		Body:      op.body,
		Hops:      hops,
	}
	if sink.parts != nil {
		request.Attempt = sink.parts.cursor.Attempt
		request.Offset = sink.parts.cursor.Offset
	}
	return request
}

// receive passes an event from another daemon to the sink of the request.
func (s replySink) receive(event *peerv1.ForwardEvent) error {
	if part := event.GetPart(); part != nil && s.parts != nil {
		return s.parts.Part(decodePart(part))
	}
	if body := event.GetBody(); body != nil && s.onBody != nil {
		return s.onBody(body)
	}
	return nil
}

// ExecuteForwarded executes a request that another daemon forwarded, locally or by forwarding
// it once more, and sends its events back. The first event is empty and acknowledges
// the request.
func (e *Executor) ExecuteForwarded(ctx context.Context, request *peerv1.ForwardRequest, send func(*peerv1.ForwardEvent) error) error {
	op := operation{
		name:    operationName(request.GetOperation()),
		tenant:  structs.TenantID(request.GetTenant()),
		program: structs.ProgramID(request.GetProgramId()),
		body:    request.GetBody(),
	}
	shard, err := op.program.Shard()
	if err != nil {
		return &failure.UnknownProgram{Program: string(op.program)}
	}
	if err := send(&peerv1.ForwardEvent{}); err != nil {
		return err
	}
	position := cursor{Attempt: request.GetAttempt(), Offset: request.GetOffset()}
	return e.executeOnce(ctx, shard, op, newForwardSink(op, position, send), request.GetHops(), map[structs.NodeID]bool{})
}

// newForwardSink returns a sink that encodes replies and sends them back, for a reader
// at the given position.
func newForwardSink(op operation, position cursor, send func(*peerv1.ForwardEvent) error) replySink {
	sink := replySink{onBody: func(body []byte) error {
		return send(&peerv1.ForwardEvent{Event: &peerv1.ForwardEvent_Body{Body: body}})
	}}
	switch op.name {
	case operationCall, operationRead:
		sink.parts = &cursorSink{cursor: position, sink: caller.AnswerSinkFunc(func(part caller.AnswerPart) error {
			return send(&peerv1.ForwardEvent{Event: &peerv1.ForwardEvent_Part{Part: encodePart(part)}})
		})}
	}
	return sink
}

func encodePart(part caller.AnswerPart) *peerv1.AnswerPart {
	return &peerv1.AnswerPart{
		Attempt:      part.Attempt,
		Offset:       part.Offset,
		Text:         part.Text,
		Restart:      part.Restart,
		Complete:     part.Complete,
		PromptTokens: part.PromptTokens,
		AnswerTokens: part.AnswerTokens,
		ReusedTokens: part.ReusedTokens,
	}
}

func decodePart(part *peerv1.AnswerPart) caller.AnswerPart {
	return caller.AnswerPart{
		Attempt:      part.GetAttempt(),
		Offset:       part.GetOffset(),
		Text:         part.GetText(),
		Restart:      part.GetRestart(),
		Complete:     part.GetComplete(),
		PromptTokens: part.GetPromptTokens(),
		AnswerTokens: part.GetAnswerTokens(),
		ReusedTokens: part.GetReusedTokens(),
	}
}
