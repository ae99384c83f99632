package caller

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deadlineRecorder notes in which order a response is written.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	steps []string
}

func (r *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		r.steps = append(r.steps, "lift")
	} else {
		r.steps = append(r.steps, "deadline")
	}
	return nil
}

func (r *deadlineRecorder) Write(data []byte) (int, error) {
	r.steps = append(r.steps, "write")
	return r.ResponseRecorder.Write(data)
}

func (r *deadlineRecorder) Flush() { r.steps = append(r.steps, "flush") }

// Each write of a stream has a deadline of its own, and the connection none
// afterwards: it may serve other requests.
func TestStreamWritesHaveADeadlineAndAreFlushed(t *testing.T) {
	record := func(contentType string) []string {
		recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		writer := newFlushingWriter(recorder, time.Second)
		writer.Header().Set("Content-Type", contentType)
		writer.WriteHeader(200)
		for range 2 {
			_, err := writer.Write([]byte("part"))
			require.NoError(t, err)
		}
		writer.finish()
		return recorder.steps
	}
	require.Equal(t, []string{"deadline", "write", "flush", "deadline", "write", "flush", "lift"}, record(eventStreamType))
	require.Equal(t, []string{"write", "write"}, record("application/json"))
}
