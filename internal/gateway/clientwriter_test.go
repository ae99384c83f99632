package gateway

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
)

// stuckClient is a client's connection that takes nothing until its deadline is in the past.
type stuckClient struct {
	*httptest.ResponseRecorder
	deadlines chan time.Time
}

func (c *stuckClient) SetWriteDeadline(at time.Time) error {
	c.deadlines <- at
	return nil
}

func (c *stuckClient) Write([]byte) (int, error) {
	for at := range c.deadlines {
		if at.Before(time.Now()) {
			break
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// TestStalledClientIsEvictedForOtherClients is about the room that its answer took.
func TestStalledClientIsEvictedForOtherClients(t *testing.T) {
	moment := time.Unix(1000, 0)
	account := flowcontrol.NewBudget(100, func() time.Time { return moment })
	client := &stuckClient{ResponseRecorder: httptest.NewRecorder(), deadlines: make(chan time.Time, 8)}
	writer := newClientWriter(client, account)
	require.True(t, writer.holder.TryAcquire(80))
	written := make(chan error, 1)
	go func() {
		_, err := writer.Write([]byte("answer"))
		writer.release()
		written <- err
	}()
	moment = moment.Add(time.Minute)
	require.NoError(t, account.NewReservation(nil).Acquire(t.Context(), 50))
	var stalled *flowcontrol.PeerStalled
	require.ErrorAs(t, <-written, &stalled)
	require.Equal(t, flowcontrol.Evicted, stalled.Cause)
}

// TestAbortedClientGetsNoNewDeadline holds that a later write does not undo the decision.
func TestAbortedClientGetsNoNewDeadline(t *testing.T) {
	account := flowcontrol.NewBudget(100, time.Now)
	client := &stuckClient{ResponseRecorder: httptest.NewRecorder(), deadlines: make(chan time.Time, 8)}
	writer := newClientWriter(client, account)
	writer.cutOff()
	_, err := writer.Write([]byte("answer"))
	var stalled *flowcontrol.PeerStalled
	require.ErrorAs(t, err, &stalled)
	require.Equal(t, flowcontrol.NoProgress, stalled.Cause)
}

func TestLongResponseIsWrittenInChunks(t *testing.T) {
	recorder := httptest.NewRecorder()
	writer := newClientWriter(recorder, flowcontrol.NewBudget(100, time.Now))
	defer writer.release()
	long := strings.Repeat("x", 5*writeBytes/2)
	count, err := writer.Write([]byte(long))
	require.NoError(t, err)
	require.Equal(t, len(long), count)
	require.Equal(t, long, recorder.Body.String())
	require.NoError(t, http.NewResponseController(writer).Flush())
	require.True(t, recorder.Flushed)
}
