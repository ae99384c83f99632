package caller_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/caller/client"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/limit"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// limited serves a backend under limits at a time that stands still.
func limited(t *testing.T, backend *scriptedBackend, rate float64, places int) (*client.Client, *limit.Admitter) {
	now := time.Unix(1_800_000_000, 0)
	shares := limit.NewRateLimiter(limit.Holder{Node: "a", Incarnation: 1}, now, 1)
	admitter := limit.NewAdmitter(now, limit.Config{InitialLimit: places})
	limits := caller.NewLimits(shares, admitter, func() time.Time { return now })
	limits.Update(&structs.Configuration{Declarations: structs.Declarations{
		Tenants: []structs.Tenant{{Name: tenant, RequestsPerSecond: rate}},
	}})
	server := serve(t, backend, func(o *caller.Options) { o.Admission = limits })
	return client.New(server.URL, token, server.Client()), admitter
}

func TestTenantOverItsRateIsRefusedAndNothingRuns(t *testing.T) {
	backend := &scriptedBackend{}
	c, _ := limited(t, backend, 2, 100)
	refused := 0
	for range 20 {
		if _, err := c.Open(t.Context(), caller.OpenRequest{Program: "door", Key: "k"}); err != nil {
			require.True(t, failure.IsType(err, "rate_limited"), "%v", err)
			f, _ := failure.As(err)
			require.Equal(t, failure.NotRun, f.Outcome())
			require.Positive(t, f.Retry().After)
			refused++
		}
	}
	require.Positive(t, refused)
	require.Equal(t, 20-refused, backend.count())
	_, err := c.Status(t.Context(), programA)
	require.NoError(t, err, "asking for the status is never refused")
}

func TestFullDaemonRefusesCallsAndNothingRuns(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	backend := &scriptedBackend{call: blockingCall(entered, leave)}
	c, admitter := limited(t, backend, 0, 1)
	done := make(chan error)
	go func() {
		_, err := c.CallWhole(t.Context(), programA, modelCall(1), false)
		done <- err
	}()
	<-entered
	_, err := c.CallWhole(t.Context(), programA, modelCall(2), false)
	require.True(t, failure.IsType(err, "overloaded"), "%v", err)
	require.Equal(t, 1, backend.count())
	close(leave)
	require.NoError(t, <-done)
	require.Zero(t, admitter.InFlight(), "the place is given back")
}
