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

// Whatever is written twice, restarted or read in between, a reader that
// follows restarts holds the text of the current attempt, and in the end the
// whole answer.
func TestReaderReceivesWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := newLiveAnswer()
		written, held := []byte{}, []byte{}
		attempt := uint32(1)
		live.begin(attempt)
		sink := replySink{parts: &cursorSink{next: caller.AnswerSinkFunc(func(part caller.AnswerPart) error {
			if part.Restart {
				held = nil
			}
			require.EqualValues(t, len(held), part.Offset)
			held = append(held, part.Text...)
			return nil
		})}}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				from := rapid.IntRange(0, len(written)).Draw(t, "from")
				fresh := rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "fresh")
				text := append(append([]byte{}, written[from:]...), fresh...)
				live.write(attempt, uint64(from), text)
				written = append(written, fresh...)
			},
			"write of a former attempt": func(*rapid.T) { live.write(attempt-1, uint64(len(written)), []byte("old")) },
			"gap":                       func(*rapid.T) { live.write(attempt, uint64(len(written))+1, []byte("late")) },
			"same attempt again":        func(*rapid.T) { live.begin(attempt) },
			"restart": func(*rapid.T) {
				attempt++
				written = nil
				live.begin(attempt)
			},
			"read": func(t *rapid.T) {
				_, err := sendLive(live, sink)
				require.NoError(t, err)
				require.Equal(t, string(written), string(held))
			},
		})
		answer := program.CallResult{State: program.Finished, Attempt: attempt, Answer: written}
		require.NoError(t, sendFinal(answer, sink))
		require.Equal(t, string(written), string(held))
	})
}
