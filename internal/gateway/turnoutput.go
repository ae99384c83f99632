package gateway

import (
	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

const (
	// maxTurnOutputBytes bounds the output of one turn. It is held until the turn is stored, here and at replicas.
	maxTurnOutputBytes = 1 << 20
	// smallTurnOutputBytes of each turn's output are held in any case: they must not end a turn that has begun. New
	// requests then get less memory.
	smallTurnOutputBytes = 64 << 10
)

// reserveOutput counts what an event adds to the output of a turn, until the request ends. It fails if the output
// exceeds its bound, or smallTurnOutputBytes while the memory for bodies is taken.
func (s *stream) reserveOutput(event streamEvent) error {
	r := s.request
	if !r.route.Stateful || !event.hasData {
		return nil
	}
	added := len(event.data) + 1
	size := len(s.output) + added
	switch {
	case size > maxTurnOutputBytes:
		return &worker.ResponseTooLarge{Part: worker.PartTurnOutput, Limit: maxTurnOutputBytes}
	case r.bodyReservation == nil:
		return nil
	case size <= smallTurnOutputBytes:
		r.bodyReservation.ForceAcquire(added)
		return nil
	case r.bodyReservation.TryAcquire(added):
		return nil
	}
	return &flowcontrol.BudgetExhausted{Wanted: added, Limit: r.bodyReservation.Limit()}
}
