package executor

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/fuzzseed"
	"github.com/barleyshelf/barleyshelf/internal/program"
)

func TestMain(m *testing.M) { fuzzseed.Main(m, fuzzseed.Seed("20260101")) }

// TestReaderReceivesWholeAnswer checks that a reader that follows restarts has the
// text of the current attempt, and the whole answer in the end, with duplicate writes,
// restarts and reads in any order.
func TestReaderReceivesWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		buffer := newAnswerBuffer()
		written, received := []byte{}, []byte{}
		attempt := uint32(1)
		buffer.beginAttempt(attempt)
		sink := replySink{parts: &cursorSink{sink: caller.AnswerSinkFunc(func(part caller.AnswerPart) error {
			if part.Restart {
				received = nil
			}
			require.EqualValues(t, len(received), part.Offset)
			received = append(received, part.Text...)
			return nil
		})}}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				from := rapid.IntRange(0, len(written)).Draw(t, "from")
				newText := rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "fresh")
				text := append(append([]byte{}, written[from:]...), newText...)
				buffer.write(attempt, uint64(from), text)
				written = append(written, newText...)
			},
			"write of a former attempt": func(*rapid.T) { buffer.write(attempt-1, uint64(len(written)), []byte("old")) },
			"gap":                       func(*rapid.T) { buffer.write(attempt, uint64(len(written))+1, []byte("late")) },
			"same attempt again":        func(*rapid.T) { buffer.beginAttempt(attempt) },
			"restart": func(*rapid.T) {
				attempt++
				written = nil
				buffer.beginAttempt(attempt)
			},
			"read": func(t *rapid.T) {
				_, err := sendBuffered(buffer, sink)
				require.NoError(t, err)
				require.Equal(t, string(written), string(received))
			},
		})
		answer := program.CallResult{State: program.Finished, Attempt: attempt, Answer: written}
		require.NoError(t, sendFinal(answer, sink))
		require.Equal(t, string(written), string(received))
	})
}
