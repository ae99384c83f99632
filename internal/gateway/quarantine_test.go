package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/route"
)

// A request that reached one worker twice before its process had ended was refused one worker too early.
func TestWorkerThatEndedUnderTwoAttemptsCountsOnce(t *testing.T) {
	r := requestOnRoute(t, gatewayWithOptions(Options{}), &route.Route{})
	state := &r.quarantine
	state.before.Key = r.contentKey()
	dialedAt := time.Now()
	for _, worker := range []string{"a", "a", "b"} {
		r.gateway.workerEnded(state, "id", directory.Worker{ID: worker}, &lostAttempt{worker: worker, dialedAt: dialedAt})
	}
	require.Equal(t, 2, r.gateway.quarantine.Lookup(r.contentKey()).Total())
}

func TestTurnsWorkerThatEndedUnderTwoAttemptsCountsOnce(t *testing.T) {
	r := requestOnRoute(t, gatewayWithOptions(Options{}), &route.Route{})
	state := &r.quarantine
	state.before.Key, state.sequential = r.contentKey(), true
	dialedAt := time.Now()
	for _, worker := range []string{"a", "a", "b"} {
		r.gateway.workerEnded(state, "id", directory.Worker{ID: worker}, &lostAttempt{worker: worker, dialedAt: dialedAt})
	}
	require.Equal(t, 2, r.gateway.quarantine.Lookup(r.contentKey()).Total())
}

func TestNewProcessOfAWorkerThatEndsTooCountsAgain(t *testing.T) {
	r := requestOnRoute(t, gatewayWithOptions(Options{}), &route.Route{})
	r.quarantine.before.Key = r.contentKey()
	for range 2 {
		r.gateway.workerEnded(&r.quarantine, "id", directory.Worker{ID: "a"}, &lostAttempt{worker: "a", dialedAt: time.Now()})
	}
	require.Equal(t, 2, r.gateway.quarantine.Lookup(r.contentKey()).Total())
}

// lostAt is a lost attempt at a worker, examined unless the verdict is empty.
func lostAt(worker string, verdict quarantine.Verdict) *lostAttempt {
	lost := &lostAttempt{worker: worker, dialedAt: time.Now(), examined: make(chan struct{}), verdict: verdict}
	if verdict != "" {
		close(lost.examined)
	}
	return lost
}

func TestLostAttemptsAreCountedByTheirWorkers(t *testing.T) {
	const pending quarantine.Verdict = ""
	for _, each := range []struct {
		name               string
		lost               []*lostAttempt
		ended              []string
		pending, uncertain int
	}{
		{"none", nil, nil, 0, 0},
		{"two of one worker", []*lostAttempt{lostAt("a", quarantine.Unknown), lostAt("a", quarantine.Unknown)}, nil, 0, 1},
		{"of two workers", []*lostAttempt{lostAt("a", quarantine.Unknown), lostAt("b", quarantine.Unknown)}, nil, 0, 2},
		{"one is still examined", []*lostAttempt{lostAt("a", quarantine.Unknown), lostAt("a", pending)}, nil, 1, 0},
		{"its worker ended", []*lostAttempt{lostAt("a", quarantine.Unknown), lostAt("a", quarantine.Ended)}, []string{"a"}, 0, 0},
		{"its worker ended while another is examined", []*lostAttempt{lostAt("a", quarantine.Ended), lostAt("a", pending)}, []string{"a"}, 0, 0},
		{"its worker was alive afterwards", []*lostAttempt{lostAt("a", quarantine.Unknown), lostAt("a", quarantine.Alive)}, nil, 0, 0},
	} {
		t.Run(each.name, func(t *testing.T) {
			r := requestOnRoute(t, gatewayWithOptions(Options{}), &route.Route{})
			r.quarantine.lost, r.quarantine.endedAt = each.lost, make(map[string]time.Time)
			for _, worker := range each.ended {
				r.quarantine.endedAt[worker] = time.Now()
			}
			situation, awaited := r.quarantineSituation()
			require.Equal(t, each.pending, situation.Pending)
			require.Equal(t, each.uncertain, situation.Uncertain)
			require.Equal(t, each.pending > 0, awaited != nil)
		})
	}
}
