package recordlog_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

func testRecord(n int) []byte {
	return fmt.Appendf(nil, "record-%d-%s", n, "some payload that is longer")
}

// openLog opens a log and returns copies of its records.
func openLog(fileSystem recordlog.FileSystem) (*recordlog.Log, [][]byte, error) {
	var records [][]byte
	log, err := recordlog.Open(fileSystem, func(record []byte, _ recordlog.Position) error {
		records = append(records, append([]byte(nil), record...))
		return nil
	})
	return log, records, err
}

// firstRecordLostToPowerLoss appends records across several power losses and returns the first
// acknowledged record that was lost, or "".
func firstRecordLostToPowerLoss(t require.TestingT, seed uint64, skipSync bool) string {
	random := rand.New(rand.NewPCG(seed, 1))
	disk := recordlogtest.NewDisk()
	disk.SkipSync = skipSync
	var acknowledged []string
	for round := range 4 {
		log, records, err := openLog(disk)
		require.NoError(t, err)
		found := map[string]bool{}
		for _, each := range records {
			found[string(each)] = true
		}
		for _, each := range acknowledged {
			if !found[each] {
				return each
			}
		}
		for n := range random.IntN(12) {
			data := testRecord(100*round + n)
			require.NoError(t, log.Append(data))
			acknowledged = append(acknowledged, string(data))
		}
		// A record that is not acknowledged at the power loss may be lost or kept.
		wait := log.Enqueue(nil, testRecord(100*round+99))
		after := disk.AfterPowerLoss(random)
		_ = wait()
		log.Close()
		after.SkipSync = skipSync
		disk = after
	}
	return ""
}

func TestAcknowledgedRecordsSurvivePowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.Empty(t, firstRecordLostToPowerLoss(t, rapid.Uint64().Draw(t, "seed"), false))
	})
}

// TestSkippedSyncLosesAcknowledgedRecords checks that the power loss test detects a log that
// does not sync.
func TestSkippedSyncLosesAcknowledgedRecords(t *testing.T) {
	for seed := range uint64(50) {
		if firstRecordLostToPowerLoss(t, seed, true) != "" {
			return
		}
	}
	t.Fatal("no lost record was detected")
}

func TestOpenTruncatesTornTailAndAppends(t *testing.T) {
	disk := recordlogtest.NewDisk()
	log, _, err := openLog(disk)
	require.NoError(t, err)
	require.NoError(t, log.Append(testRecord(1), testRecord(2)))
	log.Close()
	disk.AppendSynced("0000000000000001.log", []byte{9, 0, 0, 0, 1, 2, 3})
	log, records, err := openLog(disk)
	require.NoError(t, err)
	require.Len(t, records, 2)
	require.NoError(t, log.Append(testRecord(3)))
	log.Close()
	_, records, err = openLog(disk)
	require.NoError(t, err)
	require.Equal(t, [][]byte{testRecord(1), testRecord(2), testRecord(3)}, records)
}

func TestOpenRejectsDamageBeforeLastSegment(t *testing.T) {
	disk := recordlogtest.NewDisk()
	log, _, err := openLog(disk)
	require.NoError(t, err)
	require.NoError(t, log.Append(testRecord(1)))
	log.Close()
	disk.AppendSynced("0000000000000002.log", nil)
	disk.FlipBit("0000000000000001.log", 12)
	_, _, err = openLog(disk)
	var damaged *recordlog.Damaged
	require.ErrorAs(t, err, &damaged)
	require.Equal(t, "0000000000000001.log", damaged.Segment)
}

func TestFullDiskFailsAppendsAndLosesNoRecord(t *testing.T) {
	disk := recordlogtest.NewDisk()
	log, _, err := openLog(disk)
	require.NoError(t, err)
	require.NoError(t, log.Append(testRecord(1)))
	disk.SetFreeBytes(10)
	var full *failure.DiskFailed
	require.ErrorAs(t, log.Append(testRecord(2)), &full)
	require.ErrorIs(t, full, recordlogtest.ErrNoSpace)
	disk.SetFreeBytes(-1)
	require.NoError(t, log.Append(testRecord(3)), "the disk has free space again")
	log.Close()
	_, records, err := openLog(disk)
	require.NoError(t, err)
	require.Equal(t, [][]byte{testRecord(1), testRecord(2), testRecord(3)}, records, "no torn record between them")
}

// TestEmptyAppendFailsWhileEarlierRecordsAreUnwritten guards against reporting a record as
// written after its own append failed.
func TestEmptyAppendFailsWhileEarlierRecordsAreUnwritten(t *testing.T) {
	disk := recordlogtest.NewDisk()
	log, _, err := openLog(disk)
	require.NoError(t, err)
	defer log.Close()
	disk.SetFreeBytes(10)
	var written []recordlog.Position
	require.Error(t, log.Enqueue(func(positions []recordlog.Position) { written = positions }, testRecord(1))())
	require.Error(t, log.Append())
	require.Positive(t, log.UnwrittenBytes())
	require.Empty(t, written)
	disk.SetFreeBytes(-1)
	require.NoError(t, log.Append())
	require.Zero(t, log.UnwrittenBytes())
	require.Len(t, written, 1)
	found, err := log.Read(written[0])
	require.NoError(t, err)
	require.Equal(t, testRecord(1), found)
}

func TestAppendsKeepOrderAcrossSegments(t *testing.T) {
	disk := recordlogtest.NewDisk()
	log, _, err := openLog(disk)
	require.NoError(t, err)
	big := make([]byte, 5<<20)
	for n := range 5 {
		big[0] = byte(n)
		require.NoError(t, log.Append(append([]byte(nil), big...)))
	}
	log.Close()
	names, err := disk.List()
	require.NoError(t, err)
	require.Greater(t, len(names), 1)
	_, records, err := openLog(disk)
	require.NoError(t, err)
	require.Len(t, records, 5)
	for n, each := range records {
		require.Equal(t, byte(n), each[0])
	}
}

func TestReplaceSegmentFreesSpace(t *testing.T) {
	disk := recordlogtest.NewDisk()
	log, _, err := openLog(disk)
	require.NoError(t, err)
	for n := range 20 {
		require.NoError(t, log.Append(testRecord(n)))
	}
	before := log.Size()
	replaced := log.ReplaceSegment(log.OldestSegment(), nil, testRecord(3))
	after := log.Enqueue(nil, testRecord(30))
	require.NoError(t, replaced())
	require.NoError(t, after())
	require.Less(t, log.Size(), before)
	log.Close()
	names, err := disk.List()
	require.NoError(t, err)
	require.Len(t, names, 1)
	_, records, err := openLog(disk)
	require.NoError(t, err)
	require.Equal(t, [][]byte{testRecord(3), testRecord(30)}, records)
}

// TestPowerLossDuringReplaceSegmentLosesNoRecord simulates a power loss at an arbitrary point of
// the replacement.
func TestPowerLossDuringReplaceSegmentLosesNoRecord(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 3))
		disk := recordlogtest.NewDisk()
		log, _, err := openLog(disk)
		require.NoError(t, err)
		require.NoError(t, log.Append(testRecord(1), testRecord(2)))
		wait := log.ReplaceSegment(log.OldestSegment(), nil, testRecord(1), testRecord(2))
		after := disk.AfterPowerLoss(random)
		require.NoError(t, wait())
		log.Close()
		_, records, err := openLog(after)
		require.NoError(t, err)
		found := map[string]bool{}
		for _, each := range records {
			found[string(each)] = true
		}
		require.True(t, found[string(testRecord(1))] && found[string(testRecord(2))])
	}
}

// TestReadReturnsRecordsAtTheirPositions writes several segments, replaces the oldest one and
// reopens the log.
func TestReadReturnsRecordsAtTheirPositions(t *testing.T) {
	disk := recordlogtest.NewDisk()
	log, _, err := openLog(disk)
	require.NoError(t, err)
	positions := map[int]recordlog.Position{}
	write := func(n int) {
		data := append(testRecord(n), make([]byte, 1<<20)...)
		require.NoError(t, log.Enqueue(func(at []recordlog.Position) { positions[n] = at[0] }, data)())
	}
	for n := range 12 {
		write(n)
	}
	first := log.OldestSegment()
	require.NoError(t, log.ReplaceSegment(first, nil)())
	for n, at := range positions {
		data, err := log.Read(at)
		if at.Segment == first {
			var moved *recordlog.Moved
			require.ErrorAs(t, err, &moved)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, testRecord(n), data[:len(testRecord(n))])
	}
	log.Close()
	reopened, err := recordlog.Open(disk, func([]byte, recordlog.Position) error { return nil })
	require.NoError(t, err)
	defer reopened.Close()
	data, err := reopened.Read(positions[11])
	require.NoError(t, err)
	require.Equal(t, testRecord(11), data[:len(testRecord(11))])
}

// TestReadAllCombinesAdjacentRecords reads every second record, followed by records out of order.
func TestReadAllCombinesAdjacentRecords(t *testing.T) {
	disk := recordlogtest.NewDisk()
	log, _, err := openLog(disk)
	require.NoError(t, err)
	defer log.Close()
	var positions []recordlog.Position
	for n := range 400 {
		data := append(testRecord(n), make([]byte, 20<<10)...)
		require.NoError(t, log.Enqueue(func(at []recordlog.Position) { positions = append(positions, at...) }, data)())
	}
	var requested []recordlog.Position
	var numbers []int
	for n := 0; n < len(positions); n += 2 {
		requested, numbers = append(requested, positions[n]), append(numbers, n)
	}
	for _, n := range []int{399, 3, 200} {
		requested, numbers = append(requested, positions[n]), append(numbers, n)
	}
	before := disk.ReadAtCount()
	records, err := log.ReadAll(requested)
	require.NoError(t, err)
	require.Less(t, disk.ReadAtCount()-before, 20)
	require.Len(t, records, len(numbers))
	for i, n := range numbers {
		require.Equal(t, testRecord(n), records[i][:len(testRecord(n))])
	}
	none, err := log.ReadAll(nil)
	require.NoError(t, err)
	require.Empty(t, none)
}

func TestReadRejectsDamagedRecord(t *testing.T) {
	disk := recordlogtest.NewDisk()
	log, _, err := openLog(disk)
	require.NoError(t, err)
	defer log.Close()
	var at recordlog.Position
	require.NoError(t, log.Enqueue(func(positions []recordlog.Position) { at = positions[0] }, testRecord(1))())
	disk.FlipBit("0000000000000001.log", 12)
	_, err = log.Read(at)
	var damaged *recordlog.Damaged
	require.ErrorAs(t, err, &damaged)
}

func TestAppendAfterCloseFails(t *testing.T) {
	log, _, err := openLog(recordlogtest.NewDisk())
	require.NoError(t, err)
	log.Close()
	require.ErrorIs(t, log.Append(testRecord(1)), io.ErrClosedPipe)
}

func BenchmarkAppend(b *testing.B) {
	log, _, err := openLog(recordlog.Directory(b.TempDir()))
	require.NoError(b, err)
	defer log.Close()
	data := make([]byte, 6<<10)
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := log.Append(data); err != nil {
				b.Error(err)
			}
		}
	})
}

// A write that a disk did not complete was not told apart from none.
func TestWritingForTellsHowLongAWriteHasTaken(t *testing.T) {
	const syncDelay = 200 * time.Millisecond
	disk := recordlogtest.NewDisk()
	log, err := recordlog.Open(disk, func([]byte, recordlog.Position) error { return nil })
	require.NoError(t, err)
	defer log.Close()
	require.Zero(t, log.WritingFor())
	disk.SetSyncDelay(syncDelay)
	wait := log.Enqueue(nil, []byte("record"))
	require.Eventually(t, func() bool { return log.WritingFor() > syncDelay/4 }, time.Minute, time.Millisecond)
	require.NoError(t, wait())
	require.Eventually(t, func() bool { return log.WritingFor() == 0 }, time.Minute, time.Millisecond)
}
