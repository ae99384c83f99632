package caller_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/caller/client"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	tenant    = structs.TenantID("voltkai")
	token     = "token-of-voltkai"
	programA  = structs.ProgramID("00000001-0123456789abcdef0123456789abcdef")
	otherTest = structs.TenantID("hofbauer")
)

// scriptedBackend answers with functions; it counts what it was asked to run.
type scriptedBackend struct {
	mutex sync.Mutex
	ran   []string
	call  func(ctx context.Context, r caller.CallRequest, sink caller.AnswerSink) error
	read  func(offset uint64, sink caller.AnswerSink) error
	open  func(r caller.OpenRequest) (caller.ProgramStatus, error)
	fail  error
}

func (b *scriptedBackend) note(what string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ran = append(b.ran, what)
}

func (b *scriptedBackend) count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.ran)
}

func (b *scriptedBackend) status(of structs.TenantID) (caller.ProgramStatus, error) {
	status := caller.ProgramStatus{ID: programA, Tenant: tenant, Program: "door", State: caller.ProgramOpen, NextCall: 1}
	if of != tenant {
		return status, &failure.UnknownProgram{Program: string(programA)}
	}
	return status, b.fail
}

func (b *scriptedBackend) Open(_ context.Context, of structs.TenantID, r caller.OpenRequest) (caller.ProgramStatus, error) {
	b.note("open")
	if b.open != nil {
		return b.open(r)
	}
	return b.status(of)
}

func (b *scriptedBackend) Call(ctx context.Context, _ structs.TenantID, _ structs.ProgramID, r caller.CallRequest, sink caller.AnswerSink) error {
	b.note("call")
	if b.call != nil {
		return b.call(ctx, r, sink)
	}
	return b.fail
}

func (b *scriptedBackend) Read(_ context.Context, _ structs.TenantID, _ structs.ProgramID, _ structs.CallNumber, offset uint64, sink caller.AnswerSink) error {
	b.note("read")
	return b.read(offset, sink)
}

func (b *scriptedBackend) Cancel(context.Context, structs.TenantID, structs.ProgramID, structs.CallNumber) error {
	b.note("cancel")
	return b.fail
}

func (b *scriptedBackend) End(_ context.Context, of structs.TenantID, _ structs.ProgramID) (caller.ProgramStatus, error) {
	b.note("end")
	return b.status(of)
}

func (b *scriptedBackend) Status(_ context.Context, of structs.TenantID, _ structs.ProgramID) (caller.ProgramStatus, error) {
	b.note("status")
	return b.status(of)
}

// tokens is an Authenticator over a map.
type tokens map[string]structs.TenantID

func (t tokens) Tenant(token string) (structs.TenantID, bool) {
	found, known := t[token]
	return found, known
}

func serve(t testing.TB, backend caller.Backend, change func(*caller.Options)) *httptest.Server {
	t.Helper()
	options := caller.Options{
		Backend:       backend,
		Authenticator: tokens{token: tenant, "token-of-hofbauer": otherTest},
	}
	if change != nil {
		change(&options)
	}
	handler, err := caller.NewHandler(options)
	require.NoError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

func modelCall(number structs.CallNumber) caller.CallRequest {
	return caller.CallRequest{Number: number, Kind: caller.CallModel, Target: "swap-agent", Input: []byte("open door 4")}
}

// The second token is written only after the client has received the first, so
// a server that holds tokens back until the end cannot pass.
func TestFirstTokenArrivesBeforeTheSecondIsWritten(t *testing.T) {
	received := make(chan struct{})
	backend := &scriptedBackend{call: func(ctx context.Context, _ caller.CallRequest, sink caller.AnswerSink) error {
		if err := sink.Part(caller.AnswerPart{Attempt: 1, Text: []byte("first ")}); err != nil {
			return err
		}
		select {
		case <-received:
		case <-ctx.Done():
			return ctx.Err()
		}
		return sink.Part(caller.AnswerPart{Attempt: 1, Offset: 6, Text: []byte("second"), Complete: true, AnswerTokens: 2})
	}}
	server := serve(t, backend, nil)
	var parts []caller.AnswerPart
	err := client.New(server.URL, token, server.Client()).Call(t.Context(), programA, modelCall(1), false,
		caller.AnswerSinkFunc(func(part caller.AnswerPart) error {
			parts = append(parts, part)
			if len(parts) == 1 {
				close(received)
			}
			return nil
		}))
	require.NoError(t, err)
	require.Equal(t, []caller.AnswerPart{
		{Attempt: 1, Text: []byte("first ")},
		{Attempt: 1, Offset: 6, Text: []byte("second")},
		{Attempt: 1, Offset: 12, Complete: true, AnswerTokens: 2},
	}, parts)
}
