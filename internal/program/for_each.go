package program

// ForEachOpenProgram calls visit for every program that has not ended, in no
// particular order.
func (m *Machine) ForEachOpenProgram(visit func(Status)) {
	for id, p := range m.programs {
		if p.ended {
			continue
		}
		if status, found := m.StatusForAnyTenant(id); found {
			visit(status)
		}
	}
}
