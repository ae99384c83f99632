package daemon

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// currentBackend hands callers' requests to the executor of the daemon's
// present incarnation.
type currentBackend struct{ daemon *Daemon }

var _ caller.Backend = currentBackend{}

func (b currentBackend) executor() caller.Backend { return b.daemon.core.Load().executor }

// Open starts a program, or finds the one opened under the same key.
func (b currentBackend) Open(ctx context.Context, tenant structs.TenantID, request caller.OpenRequest) (caller.ProgramStatus, error) {
	return b.executor().Open(ctx, tenant, request)
}

// Call issues a call and sends its answer as it comes.
func (b currentBackend) Call(ctx context.Context, tenant structs.TenantID, program structs.ProgramID, request caller.CallRequest, sink caller.AnswerSink) error {
	return b.executor().Call(ctx, tenant, program, request, sink)
}

// Read sends the answer of an earlier call.
func (b currentBackend) Read(ctx context.Context, tenant structs.TenantID, program structs.ProgramID, number structs.CallNumber, offset uint64, sink caller.AnswerSink) error {
	return b.executor().Read(ctx, tenant, program, number, offset, sink)
}

// Cancel gives a call up.
func (b currentBackend) Cancel(ctx context.Context, tenant structs.TenantID, program structs.ProgramID, number structs.CallNumber) error {
	return b.executor().Cancel(ctx, tenant, program, number)
}

// End ends the program.
func (b currentBackend) End(ctx context.Context, tenant structs.TenantID, program structs.ProgramID) (caller.ProgramStatus, error) {
	return b.executor().End(ctx, tenant, program)
}

// Status tells where the program stands.
func (b currentBackend) Status(ctx context.Context, tenant structs.TenantID, program structs.ProgramID) (caller.ProgramStatus, error) {
	return b.executor().Status(ctx, tenant, program)
}
