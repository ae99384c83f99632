package caller

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Admission lets requests in or refuses them with a failure.Failure that says
// when to come back. Reading, cancelling, ending and asking for the status are
// never refused: they cost little, and what they do makes room.
type Admission interface {
	// AdmitOpen admits the opening of a program.
	AdmitOpen(ctx context.Context, tenant structs.TenantID, program structs.ProgramName) (AdmissionTicket, error)
	// AdmitCall admits a call of a program under way.
	AdmitCall(ctx context.Context, tenant structs.TenantID, program structs.ProgramID) (AdmissionTicket, error)
}

// AdmissionTicket is held while an admitted request is under way.
type AdmissionTicket interface {
	// Done gives the ticket back, with the request's error.
	Done(err error)
}

// admitAll admits every request.
type admitAll struct{}

// AdmitOpen admits the opening.
func (admitAll) AdmitOpen(context.Context, structs.TenantID, structs.ProgramName) (AdmissionTicket, error) {
	return admitAll{}, nil
}

// AdmitCall admits the call.
func (admitAll) AdmitCall(context.Context, structs.TenantID, structs.ProgramID) (AdmissionTicket, error) {
	return admitAll{}, nil
}

// Done does nothing.
func (admitAll) Done(error) {}
