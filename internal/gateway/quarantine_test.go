package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// A request that reached one worker twice before its process had ended was refused one worker too early.
func TestWorkerThatEndedUnderTwoAttemptsCountsOnce(t *testing.T) {
	r := requestOnRoute(t, gatewayWithOptions(Options{}), &route.Route{})
	state := &r.quarantine
	state.before.Key = r.contentKey()
	for _, worker := range []string{"a", "a", "b"} {
		r.gateway.workerEnded(state, "id", directory.Worker{ID: worker})
	}
	require.Equal(t, 2, r.gateway.quarantine.Lookup(r.contentKey()).Total())
}

func TestTurnsWorkerThatEndedUnderTwoAttemptsCountsOnce(t *testing.T) {
	r := requestOnRoute(t, gatewayWithOptions(Options{}), &route.Route{})
	state := &r.quarantine
	state.before.Key, state.sequential = r.contentKey(), true
	for _, worker := range []string{"a", "a", "b"} {
		r.gateway.workerEnded(state, "id", directory.Worker{ID: worker})
	}
	require.Equal(t, 2, r.gateway.quarantine.Lookup(r.contentKey()).Total())
}
