package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/limit"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// admission lets callers' requests in.
type admission struct {
	draining *atomic.Bool
	shares   *limit.Shares
}

var _ caller.Admission = (*admission)(nil)

// AdmitOpen admits the opening of a program, unless the daemon is stopping or
// the tenant is over its rate.
func (a *admission) AdmitOpen(_ context.Context, tenant structs.TenantID, _ structs.ProgramName) (caller.AdmissionTicket, error) {
	return a.admit(tenant)
}

// AdmitCall admits a call, unless the daemon is stopping or the tenant is over
// its rate.
func (a *admission) AdmitCall(_ context.Context, tenant structs.TenantID, _ structs.ProgramID) (caller.AdmissionTicket, error) {
	return a.admit(tenant)
}

func (a *admission) admit(tenant structs.TenantID) (caller.AdmissionTicket, error) {
	if a.draining.Load() {
		return nil, &failure.Draining{}
	}
	if err := a.shares.Admit(time.Now(), tenant); err != nil {
		return nil, err
	}
	return ticket{}, nil
}

// ticket is held while an admitted request is under way.
type ticket struct{}

// Done gives the ticket back.
func (ticket) Done(error) {}
