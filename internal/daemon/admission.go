package daemon

import (
	"context"
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// admission lets callers' requests in.
type admission struct {
	draining *atomic.Bool
}

var _ caller.Admission = (*admission)(nil)

// AdmitOpen admits the opening of a program, unless the daemon is stopping.
func (a *admission) AdmitOpen(context.Context, structs.TenantID, structs.ProgramName) (caller.AdmissionTicket, error) {
	return a.admit()
}

// AdmitCall admits a call, unless the daemon is stopping.
func (a *admission) AdmitCall(context.Context, structs.TenantID, structs.ProgramID) (caller.AdmissionTicket, error) {
	return a.admit()
}

func (a *admission) admit() (caller.AdmissionTicket, error) {
	if a.draining.Load() {
		return nil, &failure.Draining{}
	}
	return ticket{}, nil
}

// ticket is held while an admitted request is under way.
type ticket struct{}

// Done gives the ticket back.
func (ticket) Done(error) {}
