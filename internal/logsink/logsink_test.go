package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuckWriter does not return until it is released.
type stuckWriter struct {
	release chan struct{}
	// begun is closed when the first write has begun.
	begun   chan struct{}
	entered sync.Once
	mutex   sync.Mutex
	written bytes.Buffer
}

func newStuckWriter() *stuckWriter {
	return &stuckWriter{release: make(chan struct{}), begun: make(chan struct{})}
}

func (w *stuckWriter) Write(data []byte) (int, error) {
	w.entered.Do(func() { close(w.begun) })
	<-w.release
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.written.Write(data)
}

func (w *stuckWriter) text() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.written.String()
}

func TestAStuckOutputStallsNobodyAndDropsAreCounted(t *testing.T) {
	stuck := newStuckWriter()
	sink := newSink(stuck, 10)
	fmt.Fprintln(sink, "first line")
	// The output is stuck from here on, and nothing leaves the queue.
	<-stuck.begun
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for i := range 1000 {
			fmt.Fprintf(sink, "line %d\n", i)
		}
	}()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
		t.Fatal("a line waited for the output")
	}
	require.GreaterOrEqual(t, sink.Dropped(), uint64(900))
	require.True(t, sink.Busy())
	close(stuck.release)
	require.Eventually(t, func() bool { return strings.Contains(stuck.text(), "log lines dropped event=2901") },
		10*time.Second, 10*time.Millisecond)
	sink.Close(time.Second)
	require.Contains(t, stuck.text(), "line 0\n")
}

func TestCloseWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	sink := newSink(&out, 100)
	for i := range 50 {
		fmt.Fprintf(sink, "line %d\n", i)
	}
	sink.Close(10 * time.Second)
	require.Equal(t, 50, strings.Count(out.String(), "\n"))
	require.Zero(t, sink.Dropped())
}

func TestALongLineIsCut(t *testing.T) {
	var out bytes.Buffer
	sink := newSink(&out, 10)
	_, err := sink.Write([]byte(strings.Repeat("x", 3*maxLineBytes)))
	require.NoError(t, err)
	sink.Close(10 * time.Second)
	require.Len(t, out.String(), maxLineBytes)
	require.True(t, strings.HasSuffix(out.String(), "\n"))
}

func BenchmarkLine(b *testing.B) {
	sink := New(&bytes.Buffer{})
	line := []byte(strings.Repeat("x", 200) + "\n")
	for b.Loop() {
		_, _ = sink.Write(line)
	}
}

// BenchmarkLineWithAStuckOutput shows that a line costs no more when nobody
// reads the output.
func BenchmarkLineWithAStuckOutput(b *testing.B) {
	stuck := newStuckWriter()
	defer close(stuck.release)
	sink := newSink(stuck, 100)
	line := []byte(strings.Repeat("x", 200) + "\n")
	for b.Loop() {
		_, _ = sink.Write(line)
	}
}
