package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/route"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

// sayUntilRefused adds events to a turn's output until one is refused, and returns how much was said.
func sayUntilRefused(t *testing.T, s *stream, bytes int) (said int, err error) {
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
	said, err := sayUntilRefused(t, s, 1024)
	var tooLarge *worker.ResponseTooLarge
	require.ErrorAs(t, err, &tooLarge)
	require.Equal(t, worker.PartTurnOutput, tooLarge.Part)
	require.Equal(t, maxTurnOutputBytes, said)
}

// Guards against outputs within their bound that many turns at once hold together.
func TestOutputsOfTurnsShareTheMemoryOfBodies(t *testing.T) {
	budget := flowcontrol.NewBudget(2*smallTurnOutputBytes, time.Now)
	large, small := turnWithMemory(budget), turnWithMemory(budget)
	said, err := sayUntilRefused(t, large, 1024)
	var exhausted *flowcontrol.BudgetExhausted
	require.ErrorAs(t, err, &exhausted)
	require.Equal(t, 2*smallTurnOutputBytes, said)
	said, err = sayUntilRefused(t, small, 1024)
	require.ErrorAs(t, err, &exhausted)
	require.Equal(t, smallTurnOutputBytes, said, "a turn of usual size is not ended by what others say")
}
