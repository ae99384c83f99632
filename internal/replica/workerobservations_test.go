package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// serviceWorkers returns the workers of one service.
func serviceWorkers(count int) *directory.Workers {
	var listed []directory.Worker
	for i := range count {
		id := fmt.Sprintf("w%d", i)
		listed = append(listed, directory.Worker{ID: id, Instance: id, Service: "s"})
	}
	state := directory.NewState(time.Now, nil)
	state.ReplaceWorkers(listed, 1)
	return state.View().Workers
}

func observationWithLatencyRatio(id string, ratio float64) *replicav1.WorkerObservation {
	return &replicav1.WorkerObservation{Id: id, Answers: 1, Paced: 1, PaceSum: ratio}
}

// Each of 40 gateways gets at most one answer of a worker in two seconds, which is not enough for
// any of them on its own.
func TestSlowWorkerIsFoundFromCombinedObservations(t *testing.T) {
	now := time.Unix(100, 0)
	observations := newWorkerObservations(func() time.Time { return now })
	workers := serviceWorkers(8)
	for gateway := range 40 {
		now = now.Add(20 * time.Millisecond)
		worker := gateway % 8
		ratio := 1.0
		if worker == 3 {
			ratio = 4
		}
		observations.add([]*replicav1.WorkerObservation{observationWithLatencyRatio(fmt.Sprintf("w%d", worker), ratio)})
	}
	require.Equal(t, []string{"w3"}, observations.suspects(workers))

	now = now.Add(windowCount*windowDuration + time.Second)
	require.Empty(t, observations.suspects(workers), "old observations expire")
}

func TestWorkerFailingManyGatewaysIsSuspected(t *testing.T) {
	observations := newWorkerObservations(time.Now)
	for range minSamples {
		observations.add([]*replicav1.WorkerObservation{{Id: "w0", Failures: 1}, {Id: "w1", Answers: 3, Failures: 1}})
	}
	require.Equal(t, []string{"w0"}, observations.suspects(serviceWorkers(5)), "one failure in four is not sufficient")
}

func TestTooFewSamplesGiveNoSuspects(t *testing.T) {
	observations := newWorkerObservations(time.Now)
	for i := range 5 {
		for range minSamples {
			observations.add([]*replicav1.WorkerObservation{observationWithLatencyRatio(fmt.Sprintf("w%d", i), 1)})
		}
	}
	for range minSamples - 1 {
		observations.add([]*replicav1.WorkerObservation{observationWithLatencyRatio("w5", 9), {Id: "w6", Failures: 1}})
	}
	require.Empty(t, observations.suspects(serviceWorkers(7)))
}

func TestUniformlySlowServiceHasNoSuspects(t *testing.T) {
	observations := newWorkerObservations(time.Now)
	for i := range 6 {
		for range minSamples {
			observations.add([]*replicav1.WorkerObservation{observationWithLatencyRatio(fmt.Sprintf("w%d", i), 8)})
		}
	}
	require.Empty(t, observations.suspects(serviceWorkers(6)))
}
