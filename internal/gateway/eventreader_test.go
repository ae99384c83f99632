package gateway

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/worker"
)

func readAllEvents(t require.TestingT, text string) ([]streamEvent, error) {
	reader := newEventReader(strings.NewReader(text), nil)
	var events []streamEvent
	for {
		event, err := reader.next()
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

func TestEventReaderReturnsEventsUnchanged(t *testing.T) {
	text := "id: 1\ndata: one\ndata: more\n\n: comment\n\nid:2\r\ndata:two\r\n\r\n"
	events, err := readAllEvents(t, text)
	require.NoError(t, err)
	require.Len(t, events, 3)
	require.Equal(t, "1", events[0].id)
	require.Equal(t, "one\nmore", string(events[0].data))
	require.False(t, events[1].hasData)
	require.Equal(t, "two", string(events[2].data))
	var raw strings.Builder
	for _, event := range events {
		raw.Write(event.raw)
	}
	require.Equal(t, text, raw.String())
}

func TestTruncatedEventIsUnexpectedEOF(t *testing.T) {
	events, err := readAllEvents(t, "data: one\n\ndata: tw")
	require.Len(t, events, 1)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestAnyCutGivesWholeEventsOnly truncates a stream at any byte and verifies that only complete
// events are returned.
func TestAnyCutGivesWholeEventsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		ends := map[int]int{0: 0}
		for n := range rapid.IntRange(1, 6).Draw(t, "events") {
			text.WriteString("id: " + rapid.StringMatching(`[0-9]{1,3}`).Draw(t, "id") + "\n")
			text.WriteString("data: " + strings.Repeat("x:", rapid.SampledFrom([]int{0, 1, 7, 4095, 9000}).Draw(t, "length")) + "\n\n")
			ends[text.Len()] = n + 1
		}
		cut := rapid.IntRange(0, text.Len()).Draw(t, "cut")
		events, err := readAllEvents(t, text.String()[:cut])
		whole := 0
		for end, count := range ends {
			if end <= cut {
				whole = max(whole, count)
			}
		}
		require.Len(t, events, whole)
		_, clean := ends[cut]
		require.Equal(t, clean, err == nil)
	})
}

// endlessLines repeats a line and counts what was read of it.
type endlessLines struct {
	line string
	read int
}

func (e *endlessLines) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = e.line[(e.read+i)%len(e.line)]
	}
	e.read += len(data)
	return len(data), nil
}

// Guards against an event without end, of one line or of many, that fills the memory.
func TestEventsWithoutEndEndAtTheBound(t *testing.T) {
	for _, line := range []string{"x", "data: x\n", "a\n"} {
		source := &endlessLines{line: line}
		_, err := newEventReader(source, nil).next()
		var tooLarge *worker.ResponseTooLarge
		require.ErrorAs(t, err, &tooLarge)
		require.Equal(t, worker.PartEvent, tooLarge.Part)
		require.LessOrEqual(t, source.read, maxEventBytes+eventReadBufferBytes)
	}
}

// Guards against a bound that an event within it exceeds.
func TestEventOfTheLargestSizePasses(t *testing.T) {
	text := "data: " + strings.Repeat("x", maxEventBytes-len("data: \n\n")) + "\n\n"
	events, err := readAllEvents(t, text)
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.Len(t, events[0].raw, maxEventBytes)
	_, err = readAllEvents(t, "x"+text)
	var tooLarge *worker.ResponseTooLarge
	require.ErrorAs(t, err, &tooLarge)
}

// Guards against events within their bound that many streams at once hold together.
func TestLargeEventsShareTheMemoryOfResponses(t *testing.T) {
	large := "data: " + strings.Repeat("x", 200<<10) + "\n\n"
	budget := flowcontrol.NewBudget(1<<20, time.Now)
	first := newEventReader(strings.NewReader(large+"data: small\n\n"), budget.NewReservation(nil))
	_, err := first.next()
	require.NoError(t, err)
	second := newEventReader(strings.NewReader(large), budget.NewReservation(nil))
	_, err = second.next()
	var exhausted *flowcontrol.BudgetExhausted
	require.ErrorAs(t, err, &exhausted)
	second.release()
	_, err = first.next()
	require.NoError(t, err)
	first.release()
	require.Zero(t, budget.Used())
	third := newEventReader(strings.NewReader(large), budget.NewReservation(nil))
	_, err = third.next()
	require.NoError(t, err)
}
