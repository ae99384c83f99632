package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// watched are the workers of one service.
func watched(count int) *directory.Workers {
	var listed []directory.Worker
	for i := range count {
		id := fmt.Sprintf("w%d", i)
		listed = append(listed, directory.Worker{ID: id, Instance: id, Service: "s"})
	}
	state := directory.NewState(time.Now, nil)
	state.ReplaceWorkers(listed, 1)
	return state.View().Workers
}

func paced(id string, pace float64) *replicav1.WorkerObservation {
	return &replicav1.WorkerObservation{Id: id, Answers: 1, Paced: 1, PaceSum: pace}
}

// TestSlowWorkerIsFoundFromCombinedObservations: each of 40 gateways has at most one
// answer of it in two seconds, which says nothing to any of them alone.
func TestSlowWorkerIsFoundFromCombinedObservations(t *testing.T) {
	now := time.Unix(100, 0)
	together := newObservations(func() time.Time { return now })
	workers := watched(8)
	for gateway := range 40 {
		now = now.Add(20 * time.Millisecond)
		worker := gateway % 8
		pace := 1.0
		if worker == 3 {
			pace = 4
		}
		together.add([]*replicav1.WorkerObservation{paced(fmt.Sprintf("w%d", worker), pace)})
	}
	require.Equal(t, []string{"w3"}, together.suspects(workers))

	now = now.Add(observationSlots*observationSlot + time.Second)
	require.Empty(t, together.suspects(workers), "it is tried again after a while")
}

func TestWorkerFailingManyGatewaysIsSuspected(t *testing.T) {
	together := newObservations(time.Now)
	for range suspectSamples {
		together.add([]*replicav1.WorkerObservation{{Id: "w0", Failures: 1}, {Id: "w1", Answers: 3, Failures: 1}})
	}
	require.Equal(t, []string{"w0"}, together.suspects(watched(5)), "one in four is not enough")
}

func TestTooFewSamplesGiveNoSuspects(t *testing.T) {
	together := newObservations(time.Now)
	for i := range 5 {
		for range suspectSamples {
			together.add([]*replicav1.WorkerObservation{paced(fmt.Sprintf("w%d", i), 1)})
		}
	}
	for range suspectSamples - 1 {
		together.add([]*replicav1.WorkerObservation{paced("w5", 9), {Id: "w6", Failures: 1}})
	}
	require.Empty(t, together.suspects(watched(7)))
}

func TestUniformlySlowServiceHasNoSuspects(t *testing.T) {
	together := newObservations(time.Now)
	for i := range 6 {
		for range suspectSamples {
			together.add([]*replicav1.WorkerObservation{paced(fmt.Sprintf("w%d", i), 8)})
		}
	}
	require.Empty(t, together.suspects(watched(6)))
}
