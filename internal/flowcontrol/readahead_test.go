package flowcontrol

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testTimeout is the maximum time that a test waits for a condition.
const testTimeout = time.Minute

// ampleLimits are limits that the responses in these tests do not reach.
var ampleLimits = BufferLimits{Base: 1 << 20, Max: 1 << 20}

func TestReadsPassThroughBeforeStart(t *testing.T) {
	budget := NewBudget(1<<20, time.Now)
	ahead := NewReadAhead(strings.NewReader("abc"), ampleLimits, budget.NewReservation(nil))
	data, err := io.ReadAll(ahead)
	require.NoError(t, err)
	require.Equal(t, "abc", string(data))
	require.Zero(t, budget.Used())
	ahead.Stop(func() { t.Error("unblock must not be called before Start") })
}

func TestReadAheadStopsAtLimit(t *testing.T) {
	budget := NewBudget(1<<20, time.Now)
	reader, writer := io.Pipe()
	const limit = 4 * readAheadChunkBytes
	ahead := NewReadAhead(reader, BufferLimits{Base: limit, Max: limit}, budget.NewReservation(nil))
	ahead.Start()
	sent := make(chan int, 1)
	go func() {
		count, _ := writer.Write(make([]byte, 2*limit))
		sent <- count
	}()
	require.Eventually(t, func() bool { return budget.Used() == limit }, testTimeout, time.Millisecond)
	select {
	case <-sent:
		t.Fatal("more bytes than the limit were read")
	case <-time.After(5 * capacityPollInterval):
	}
	count, err := io.CopyN(io.Discard, ahead, 2*limit)
	require.NoError(t, err)
	require.EqualValues(t, 2*limit, count)
	require.Equal(t, 2*limit, <-sent)
	require.GreaterOrEqual(t, ahead.Stats().CapacityWait, 5*capacityPollInterval, "the statistics must include the time that the sender waited")
	require.NotZero(t, ahead.Stats().LastReadAt)
	ahead.Stop(func() { reader.Close() })
	require.Zero(t, budget.Used())
}

// The bytes in use by others are moved from above to below half of the budget.
func TestReadAheadUsesMaxWhileBudgetIsAtMostHalfUsed(t *testing.T) {
	const base, maximum = 2 * readAheadChunkBytes, 6 * readAheadChunkBytes
	budget := NewBudget(20*readAheadChunkBytes, time.Now)
	others := budget.NewReservation(nil)
	require.True(t, others.TryAcquire(11*readAheadChunkBytes))
	reservation := budget.NewReservation(nil)
	ahead := NewReadAhead(strings.NewReader(strings.Repeat("a", 2*maximum)), BufferLimits{Base: base, Max: maximum}, reservation)
	ahead.Start()
	require.Eventually(t, func() bool { return reservation.Bytes() == base }, testTimeout, time.Millisecond)
	time.Sleep(5 * capacityPollInterval)
	require.EqualValues(t, base, reservation.Bytes(), "more than half of the budget is in use")
	others.ReleaseAll()
	require.Eventually(t, func() bool { return reservation.Bytes() == maximum }, testTimeout, time.Millisecond)
	ahead.Stop(func() {})
	require.Zero(t, budget.Used())
}

func TestReadAheadWaitsForBudget(t *testing.T) {
	budget := NewBudget(readAheadChunkBytes, time.Now)
	others := budget.NewReservation(nil)
	require.True(t, others.TryAcquire(1))
	ahead := NewReadAhead(strings.NewReader("abc"), ampleLimits, budget.NewReservation(nil))
	ahead.Start()
	time.Sleep(5 * capacityPollInterval)
	require.EqualValues(t, 1, budget.Used())
	others.ReleaseAll()
	data, err := io.ReadAll(ahead)
	require.NoError(t, err)
	require.Equal(t, "abc", string(data))
	ahead.Stop(func() { t.Error("unblock must not be called after the source has ended") })
	require.Zero(t, budget.Used())
}

func TestStopReleasesBufferedBytes(t *testing.T) {
	budget := NewBudget(1<<20, time.Now)
	reader, writer := io.Pipe()
	ahead := NewReadAhead(reader, ampleLimits, budget.NewReservation(nil))
	ahead.Start()
	_, err := writer.Write(make([]byte, 100))
	require.NoError(t, err)
	ahead.Stop(func() { reader.Close() })
	require.Zero(t, budget.Used())
}

// TestReadAheadPreservesData compares the data of random reads, passed through and ahead, with the
// source.
func TestReadAheadPreservesData(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 0, 3*readAheadChunkBytes).Draw(t, "bytes")
		budget := NewBudget(1<<20, time.Now)
		source := io.Reader(strings.NewReader(string(want)))
		if rapid.Bool().Draw(t, "one byte at a time") {
			source = iotest.OneByteReader(source)
		}
		ahead := NewReadAhead(source, BufferLimits{
			Base: rapid.IntRange(readAheadChunkBytes, 4*readAheadChunkBytes).Draw(t, "least"), Max: rapid.IntRange(4*readAheadChunkBytes, 8*readAheadChunkBytes).Draw(t, "most"),
		}, budget.NewReservation(nil))
		startAt := rapid.IntRange(0, len(want)).Draw(t, "start at")
		var got []byte
		buffer := make([]byte, rapid.IntRange(1, 5000).Draw(t, "buffer"))
		for {
			if len(got) >= startAt {
				ahead.Start()
			}
			count, err := ahead.Read(buffer)
			got = append(got, buffer[:count]...)
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
		}
		require.Equal(t, string(want), string(got))
		ahead.Stop(func() {})
		require.Zero(t, budget.Used())
	})
}
