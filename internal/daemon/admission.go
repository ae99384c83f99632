package daemon

import (
	"context"
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// admission lets callers' requests in, unless the daemon is stopping or a limit
// stands against them.
type admission struct {
	draining *atomic.Bool
	limits   *caller.Limits
}

var _ caller.Admission = (*admission)(nil)

// AdmitOpen admits the opening of a program.
func (a *admission) AdmitOpen(ctx context.Context, tenant structs.TenantID, program structs.ProgramName) (caller.AdmissionTicket, error) {
	if a.draining.Load() {
		return nil, &failure.Draining{}
	}
	return a.limits.AdmitOpen(ctx, tenant, program)
}

// AdmitCall admits a call of a program under way.
func (a *admission) AdmitCall(ctx context.Context, tenant structs.TenantID, program structs.ProgramID) (caller.AdmissionTicket, error) {
	if a.draining.Load() {
		return nil, &failure.Draining{}
	}
	return a.limits.AdmitCall(ctx, tenant, program)
}
