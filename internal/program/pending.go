package program

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func (m *Machine) Apply(index uint64, data []byte)                               {}
func (m *Machine) Snapshot() ([]byte, error)                                     { return nil, nil }
func (m *Machine) Restore(data []byte) error                                     { return nil }
func (m *Machine) Open(now time.Time, r OpenRequest) (Decision, error)           { return Decision{}, nil }
func (m *Machine) Accept(now time.Time, r CallRequest) (Decision, error)         { return Decision{}, nil }
func (m *Machine) Runnable(id structs.ProgramID) (*Call, bool)                   { return nil, false }
func (m *Machine) Call(id structs.ProgramID, n structs.CallNumber) (*Call, bool) { return nil, false }
func (m *Machine) Start(now time.Time, r StartRequest) (Decision, error)         { return Decision{}, nil }
func (m *Machine) Dispatched(id structs.ProgramID, n structs.CallNumber, dispatchKey string) (*Call, bool) {
	return nil, false
}
func (m *Machine) Finish(now time.Time, r FinishRequest) (Decision, error) { return Decision{}, nil }
func (m *Machine) Unknown(now time.Time, id structs.ProgramID, number structs.CallNumber, attempt uint32, detail string) (Decision, error) {
	return Decision{}, nil
}
func (m *Machine) NotRun(now time.Time, r NotRunRequest) (Decision, error) { return Decision{}, nil }
func (m *Machine) Cancel(now time.Time, tenant structs.TenantID, id structs.ProgramID, number structs.CallNumber) (Decision, error) {
	return Decision{}, nil
}
func (m *Machine) End(now time.Time, tenant structs.TenantID, id structs.ProgramID, cause string) (Decision, error) {
	return Decision{}, nil
}
func (m *Machine) Released(now time.Time, id structs.ProgramID, engine structs.EngineID, incarnation structs.Incarnation) (Decision, error) {
	return Decision{}, nil
}
func (m *Machine) Remove(now time.Time, id structs.ProgramID) (Decision, error) {
	return Decision{}, nil
}
func (m *Machine) Program(tenant structs.TenantID, id structs.ProgramID) (Status, error) {
	return Status{}, nil
}
func (m *Machine) Answer(tenant structs.TenantID, id structs.ProgramID, number structs.CallNumber) (Answer, error) {
	return Answer{}, nil
}
func (m *Machine) History(id structs.ProgramID) ([]Turn, error) { return nil, nil }
func (m *Machine) Duties(now time.Time) []Duty                  { return nil }
func (m *Machine) Holds() []Hold                                { return nil }
