package executor

import (
	"context"
	"encoding/json"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Executor serves the requests of callers on any daemon.
var _ caller.Backend = (*Executor)(nil)

// Open opens a program, or returns the one that was opened with the same key.
func (e *Executor) Open(ctx context.Context, tenant structs.TenantID, request caller.OpenRequest) (caller.ProgramStatus, error) {
	body, id, err := e.resolveOpenRequest(ctx, tenant, request)
	if err != nil {
		return caller.ProgramStatus{}, e.logInternalFailure(err)
	}
	op := operation{name: operationOpen, tenant: tenant, program: id, body: encodeBody(body)}
	return e.runForStatus(ctx, op)
}

// Call makes a call and streams its answer to sink.
func (e *Executor) Call(ctx context.Context, tenant structs.TenantID, id structs.ProgramID, request caller.CallRequest, sink caller.AnswerSink) error {
	body := encodeBody(callBody{Request: request})
	op := operation{name: operationCall, tenant: tenant, program: id, body: body}
	return e.runForAnswer(ctx, op, &cursorSink{sink: sink})
}

// Read streams the answer of an earlier call to sink, starting at offset.
func (e *Executor) Read(ctx context.Context, tenant structs.TenantID, id structs.ProgramID, number structs.CallNumber, offset uint64, sink caller.AnswerSink) error {
	reader := &cursorSink{sink: sink, cursor: cursor{Offset: offset}}
	body := encodeBody(readBody{Number: number})
	op := operation{name: operationRead, tenant: tenant, program: id, body: body}
	return e.runForAnswer(ctx, op, reader)
}

// Cancel cancels a call.
func (e *Executor) Cancel(ctx context.Context, tenant structs.TenantID, id structs.ProgramID, number structs.CallNumber) error {
	body := encodeBody(cancelBody{Number: number})
	_, err := e.runForStatus(ctx, operation{name: operationCancel, tenant: tenant, program: id, body: body})
	return err
}

// End ends the program.
func (e *Executor) End(ctx context.Context, tenant structs.TenantID, id structs.ProgramID) (caller.ProgramStatus, error) {
	return e.runForStatus(ctx, operation{name: operationEnd, tenant: tenant, program: id})
}

// Status returns the status of the program.
func (e *Executor) Status(ctx context.Context, tenant structs.TenantID, id structs.ProgramID) (caller.ProgramStatus, error) {
	return e.runForStatus(ctx, operation{name: operationStatus, tenant: tenant, program: id})
}

func (e *Executor) runForStatus(ctx context.Context, op operation) (caller.ProgramStatus, error) {
	status := caller.ProgramStatus{}
	sink := replySink{onBody: func(body []byte) error { return json.Unmarshal(body, &status) }}
	if err := e.execute(ctx, op, sink); err != nil {
		return caller.ProgramStatus{}, e.logInternalFailure(err)
	}
	return status, nil
}

func (e *Executor) runForAnswer(ctx context.Context, op operation, reader *cursorSink) error {
	sink := replySink{parts: reader}
	err := e.execute(ctx, op, sink)
	if isReaderError(err, sink) {
		return err
	}
	return e.logInternalFailure(err)
}
