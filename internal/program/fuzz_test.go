package program

import "testing"

// seedMachine returns a machine with calls in several states, and its entries.
func seedMachine() (*Machine, [][]byte) {
	d := &benchDriver{machine: NewMachine(testShard), keepEntries: true}
	id := d.open("k")
	d.runCall(id, 1, []byte("why?"), sampleText(200))
	d.commit(d.machine.Accept(testStart, toolCall(id, 2)))
	d.commit(d.machine.Start(testStart, StartRequest{Program: id, Number: 2, DispatchKey: "k", Reserve: testReserve()}))
	d.commit(d.machine.Accept(testStart, modelCall(id, 4)))
	return d.machine, d.entries
}

// checkInvariants checks the budgets and calls every method that damaged input
// could make panic.
func checkInvariants(t *testing.T, m *Machine) {
	for id, p := range m.programs {
		if !p.totalSpent().Plus(p.reserved).Plus(p.granted).Within(p.budget()) {
			t.Fatalf("program %s exceeds its budget", id)
		}
		m.RunnableCall(id)
		_, _ = m.History(id)
	}
	m.DueTasks(testStart)
	if _, err := m.Snapshot(); err != nil {
		t.Fatal(err)
	}
}

func FuzzApply(f *testing.F) {
	_, entries := seedMachine()
	for _, entry := range entries {
		f.Add(entry)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, entries := seedMachine()
		m.Apply(uint64(len(entries)+1), data)
		checkInvariants(t, m)
	})
}

func FuzzRestore(f *testing.F) {
	m, _ := seedMachine()
	data, err := m.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		restored := NewMachine(testShard)
		if restored.Restore(data) == nil {
			restored.DueTasks(testStart)
			if _, err := restored.Snapshot(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
