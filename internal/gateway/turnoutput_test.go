package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// growUntilRefused adds events to a turn's output until one is refused, and returns its size.
func growUntilRefused(t *testing.T, s *stream, bytes int) (size int, err error) {
	event := streamEvent{data: make([]byte, bytes-1), hasData: true}
	for len(s.output) < 4*maxTurnOutputBytes {
		if err = s.reserveOutput(event); err != nil {
			return len(s.output), err
		}
		s.output = append(append(s.output, event.data...), '\n')
	}
	t.Fatal("nothing bounds the output of a turn")
	return 0, nil
}

func turnWithMemory(budget *flowcontrol.Budget) *stream {
	return &stream{request: &request{route: &route.Route{Stateful: true}, bodyReservation: budget.NewReservation(nil)}}
}

// Guards against a worker whose events without end fill the memory as the output of a turn.
func TestOutputOfATurnEndsAtItsBound(t *testing.T) {
	budget := flowcontrol.NewBudget(64<<20, time.Now)
	s := turnWithMemory(budget)
	size, err := growUntilRefused(t, s, 1024)
	var tooLarge *worker.ResponseTooLarge
	require.ErrorAs(t, err, &tooLarge)
	require.Equal(t, worker.PartTurnOutput, tooLarge.Part)
	require.Equal(t, maxTurnOutputBytes, size)
}

// Guards against outputs within their bound that many turns at once hold together.
func TestOutputsOfTurnsShareTheMemoryOfBodies(t *testing.T) {
	budget := flowcontrol.NewBudget(2*smallTurnOutputBytes, time.Now)
	large, small := turnWithMemory(budget), turnWithMemory(budget)
	size, err := growUntilRefused(t, large, 1024)
	var exhausted *flowcontrol.BudgetExhausted
	require.ErrorAs(t, err, &exhausted)
	require.Equal(t, 2*smallTurnOutputBytes, size)
	size, err = growUntilRefused(t, small, 1024)
	require.ErrorAs(t, err, &exhausted)
	require.Equal(t, smallTurnOutputBytes, size, "a turn of usual size is not ended by the output of others")
}
