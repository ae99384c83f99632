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

// patient bounds what a test waits for.
const patient = time.Minute

// whole are bounds that the tests' answers stay within.
var whole = BufferLimits{Base: 1 << 20, Max: 1 << 20}

func TestReadsPassThroughBeforeStart(t *testing.T) {
	account := NewBudget(1<<20, time.Now)
	ahead := NewReadAhead(strings.NewReader("abc"), whole, account.NewReservation(nil))
	data, err := io.ReadAll(ahead)
	require.NoError(t, err)
	require.Equal(t, "abc", string(data))
	require.Zero(t, account.Used())
	ahead.Stop(func() { t.Error("nothing is to be woken") })
}

func TestReadAheadStopsAtLimit(t *testing.T) {
	account := NewBudget(1<<20, time.Now)
	reader, writer := io.Pipe()
	const bound = 4 * aheadChunk
	ahead := NewReadAhead(reader, BufferLimits{Base: bound, Max: bound}, account.NewReservation(nil))
	ahead.Start()
	sent := make(chan int, 1)
	go func() {
		count, _ := writer.Write(make([]byte, 2*bound))
		sent <- count
	}()
	require.Eventually(t, func() bool { return account.Used() == bound }, patient, time.Millisecond)
	select {
	case <-sent:
		t.Fatal("more than the bound was taken")
	case <-time.After(5 * aheadPoll):
	}
	count, err := io.CopyN(io.Discard, ahead, 2*bound)
	require.NoError(t, err)
	require.EqualValues(t, 2*bound, count)
	require.Equal(t, 2*bound, <-sent)
	require.GreaterOrEqual(t, ahead.Stats().CapacityWait, 5*aheadPoll, "for how long the sender waited is told")
	require.NotZero(t, ahead.Stats().LastReadAt)
	ahead.Stop(func() { reader.Close() })
	require.Zero(t, account.Used())
}

// TestReadAheadUsesMaxWhileBudgetIsAtMostHalfUsed moves what others hold over half of the account.
func TestReadAheadUsesMaxWhileBudgetIsAtMostHalfUsed(t *testing.T) {
	const least, most = 2 * aheadChunk, 6 * aheadChunk
	account := NewBudget(20*aheadChunk, time.Now)
	others := account.NewReservation(nil)
	require.True(t, others.TryAcquire(11*aheadChunk))
	one := account.NewReservation(nil)
	ahead := NewReadAhead(strings.NewReader(strings.Repeat("a", 2*most)), BufferLimits{Base: least, Max: most}, one)
	ahead.Start()
	require.Eventually(t, func() bool { return one.Bytes() == least }, patient, time.Millisecond)
	time.Sleep(5 * aheadPoll)
	require.EqualValues(t, least, one.Bytes(), "more than half of the account is taken")
	others.ReleaseAll()
	require.Eventually(t, func() bool { return one.Bytes() == most }, patient, time.Millisecond)
	ahead.Stop(func() {})
	require.Zero(t, account.Used())
}

func TestReadAheadWaitsForBudget(t *testing.T) {
	account := NewBudget(aheadChunk, time.Now)
	others := account.NewReservation(nil)
	require.True(t, others.TryAcquire(1))
	ahead := NewReadAhead(strings.NewReader("abc"), whole, account.NewReservation(nil))
	ahead.Start()
	time.Sleep(5 * aheadPoll)
	require.EqualValues(t, 1, account.Used())
	others.ReleaseAll()
	data, err := io.ReadAll(ahead)
	require.NoError(t, err)
	require.Equal(t, "abc", string(data))
	ahead.Stop(func() { t.Error("it has ended") })
	require.Zero(t, account.Used())
}

func TestStopReleasesBufferedBytes(t *testing.T) {
	account := NewBudget(1<<20, time.Now)
	reader, writer := io.Pipe()
	ahead := NewReadAhead(reader, whole, account.NewReservation(nil))
	ahead.Start()
	_, err := writer.Write(make([]byte, 100))
	require.NoError(t, err)
	ahead.Stop(func() { reader.Close() })
	require.Zero(t, account.Used())
}

// TestReadAheadPreservesData reads through and ahead in any order and compares.
func TestReadAheadPreservesData(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 0, 3*aheadChunk).Draw(t, "bytes")
		account := NewBudget(1<<20, time.Now)
		from := io.Reader(strings.NewReader(string(want)))
		if rapid.Bool().Draw(t, "one byte at a time") {
			from = iotest.OneByteReader(from)
		}
		ahead := NewReadAhead(from, BufferLimits{
			Base: rapid.IntRange(aheadChunk, 4*aheadChunk).Draw(t, "least"), Max: rapid.IntRange(4*aheadChunk, 8*aheadChunk).Draw(t, "most"),
		}, account.NewReservation(nil))
		beginAt := rapid.IntRange(0, len(want)).Draw(t, "begins at")
		var got []byte
		buffer := make([]byte, rapid.IntRange(1, 5000).Draw(t, "buffer"))
		for {
			if len(got) >= beginAt {
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
		require.Zero(t, account.Used())
	})
}
