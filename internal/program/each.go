package program

// EachOpen calls visit with every program that has not ended, in no particular
// order.
func (m *Machine) EachOpen(visit func(Status)) {
	for id, p := range m.programs {
		if p.ended {
			continue
		}
		if status, found := m.Lookup(id); found {
			visit(status)
		}
	}
}
