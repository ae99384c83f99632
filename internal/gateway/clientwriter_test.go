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

// stalledClient is a client connection whose writes block until their deadline has passed.
type stalledClient struct {
	*httptest.ResponseRecorder
	deadlines chan time.Time
}

func (c *stalledClient) SetWriteDeadline(at time.Time) error {
	c.deadlines <- at
	return nil
}

func (c *stalledClient) Write([]byte) (int, error) {
	for at := range c.deadlines {
		if at.Before(time.Now()) {
			break
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// TestStalledClientIsEvictedForOtherClients verifies that a stalled client is disconnected when
// another one needs the memory buffered for its response.
func TestStalledClientIsEvictedForOtherClients(t *testing.T) {
	now := time.Unix(1000, 0)
	account := flowcontrol.NewBudget(100, func() time.Time { return now })
	client := &stalledClient{ResponseRecorder: httptest.NewRecorder(), deadlines: make(chan time.Time, 8)}
	writer := newClientWriter(client, account)
	require.True(t, writer.reservation.TryAcquire(80))
	written := make(chan error, 1)
	go func() {
		_, err := writer.Write([]byte("answer"))
		writer.release()
		written <- err
	}()
	now = now.Add(time.Minute)
	require.NoError(t, account.NewReservation(nil).Acquire(t.Context(), 50))
	var stalled *flowcontrol.PeerStalled
	require.ErrorAs(t, <-written, &stalled)
	require.Equal(t, flowcontrol.Evicted, stalled.Cause)
}

// TestAbortedClientGetsNoNewDeadline verifies that a later write does not get a new deadline
// after abortWrites.
func TestAbortedClientGetsNoNewDeadline(t *testing.T) {
	account := flowcontrol.NewBudget(100, time.Now)
	client := &stalledClient{ResponseRecorder: httptest.NewRecorder(), deadlines: make(chan time.Time, 8)}
	writer := newClientWriter(client, account)
	writer.abortWrites()
	_, err := writer.Write([]byte("answer"))
	var stalled *flowcontrol.PeerStalled
	require.ErrorAs(t, err, &stalled)
	require.Equal(t, flowcontrol.NoProgress, stalled.Cause)
}

func TestLongResponseIsWrittenInChunks(t *testing.T) {
	recorder := httptest.NewRecorder()
	writer := newClientWriter(recorder, flowcontrol.NewBudget(100, time.Now))
	defer writer.release()
	long := strings.Repeat("x", 5*writeChunkBytes/2)
	count, err := writer.Write([]byte(long))
	require.NoError(t, err)
	require.Equal(t, len(long), count)
	require.Equal(t, long, recorder.Body.String())
	require.NoError(t, http.NewResponseController(writer).Flush())
	require.True(t, recorder.Flushed)
}
