package executor

import (
	"context"
	"encoding/json"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Executor serves callers' requests at any daemon.
var _ caller.Backend = (*Executor)(nil)

// Open starts a program, or finds the one opened under the same key.
func (e *Executor) Open(ctx context.Context, tenant structs.TenantID, request caller.OpenRequest) (caller.ProgramStatus, error) {
	body, id, err := e.resolveOpening(ctx, tenant, request)
	if err != nil {
		return caller.ProgramStatus{}, e.note(err)
	}
	op := operation{name: operationOpen, tenant: tenant, program: id, body: encodeBody(body)}
	return e.runForStatus(ctx, op)
}

// Call issues a call and sends its answer as it comes.
func (e *Executor) Call(ctx context.Context, tenant structs.TenantID, id structs.ProgramID, request caller.CallRequest, sink caller.AnswerSink) error {
	body := encodeBody(callBody{Request: request})
	op := operation{name: operationCall, tenant: tenant, program: id, body: body}
	return e.runForAnswer(ctx, op, &cursorSink{next: sink})
}

// Read sends the answer of an earlier call from offset on.
func (e *Executor) Read(ctx context.Context, tenant structs.TenantID, id structs.ProgramID, number structs.CallNumber, offset uint64, sink caller.AnswerSink) error {
	reader := &cursorSink{next: sink, cursor: cursor{Offset: offset}}
	body := encodeBody(readBody{Number: number})
	op := operation{name: operationRead, tenant: tenant, program: id, body: body}
	return e.runForAnswer(ctx, op, reader)
}

// Cancel gives a call up.
func (e *Executor) Cancel(ctx context.Context, tenant structs.TenantID, id structs.ProgramID, number structs.CallNumber) error {
	body := encodeBody(cancelBody{Number: number})
	_, err := e.runForStatus(ctx, operation{name: operationCancel, tenant: tenant, program: id, body: body})
	return err
}

// End ends the program.
func (e *Executor) End(ctx context.Context, tenant structs.TenantID, id structs.ProgramID) (caller.ProgramStatus, error) {
	return e.runForStatus(ctx, operation{name: operationEnd, tenant: tenant, program: id})
}

// Status tells where the program stands.
func (e *Executor) Status(ctx context.Context, tenant structs.TenantID, id structs.ProgramID) (caller.ProgramStatus, error) {
	return e.runForStatus(ctx, operation{name: operationStatus, tenant: tenant, program: id})
}

func (e *Executor) runForStatus(ctx context.Context, op operation) (caller.ProgramStatus, error) {
	status := caller.ProgramStatus{}
	sink := replySink{body: func(body []byte) error { return json.Unmarshal(body, &status) }}
	if err := e.run(ctx, op, sink); err != nil {
		return caller.ProgramStatus{}, e.note(err)
	}
	return status, nil
}

func (e *Executor) runForAnswer(ctx context.Context, op operation, reader *cursorSink) error {
	sink := replySink{parts: reader}
	err := e.run(ctx, op, sink)
	if readerGone(err, sink) {
		return err
	}
	return e.note(err)
}
