package recordlog_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

func record(n int) []byte { return fmt.Appendf(nil, "record-%d-%s", n, "some payload that is longer") }

// open opens a log and returns copies of its records.
func open(files recordlog.FileSystem) (*recordlog.Log, [][]byte, error) {
	var records [][]byte
	log, err := recordlog.Open(files, func(record []byte, _ recordlog.Position) error {
		records = append(records, append([]byte(nil), record...))
		return nil
	})
	return log, records, err
}

// survives appends records over several losses of power and reports the first
// acknowledged one that is gone, or "".
func survives(t require.TestingT, seed uint64, skipSync bool) string {
	random := rand.New(rand.NewPCG(seed, 1))
	store := recordlogtest.NewDisk()
	store.SkipSync = skipSync
	var acknowledged []string
	for round := range 4 {
		log, records, err := open(store)
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
			data := record(100*round + n)
			require.NoError(t, log.Append(data))
			acknowledged = append(acknowledged, string(data))
		}
		// What is still on its way when the power goes may be there or not.
		wait := log.Enqueue(nil, record(100*round+99))
		after := store.AfterPowerLoss(random)
		_ = wait()
		log.Close()
		after.SkipSync = skipSync
		store = after
	}
	return ""
}

func TestAcknowledgedRecordsSurvivePowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.Empty(t, survives(t, rapid.Uint64().Draw(t, "seed"), false))
	})
}

// TestSkippedSyncLosesAcknowledgedRecords is a deliberate breakage: the proof must catch it.
func TestSkippedSyncLosesAcknowledgedRecords(t *testing.T) {
	for seed := range uint64(50) {
		if survives(t, seed, true) != "" {
			return
		}
	}
	t.Fatal("no lost record was noticed")
}

func TestOpenTruncatesTornTailAndAppends(t *testing.T) {
	store := recordlogtest.NewDisk()
	log, _, err := open(store)
	require.NoError(t, err)
	require.NoError(t, log.Append(record(1), record(2)))
	log.Close()
	store.AppendSynced("0000000000000001.log", []byte{9, 0, 0, 0, 1, 2, 3})
	log, records, err := open(store)
	require.NoError(t, err)
	require.Len(t, records, 2)
	require.NoError(t, log.Append(record(3)))
	log.Close()
	_, records, err = open(store)
	require.NoError(t, err)
	require.Equal(t, [][]byte{record(1), record(2), record(3)}, records)
}

func TestOpenRejectsDamageBeforeLastSegment(t *testing.T) {
	store := recordlogtest.NewDisk()
	log, _, err := open(store)
	require.NoError(t, err)
	require.NoError(t, log.Append(record(1)))
	log.Close()
	store.AppendSynced("0000000000000002.log", nil)
	store.FlipBit("0000000000000001.log", 12)
	_, _, err = open(store)
	var damaged *recordlog.Damaged
	require.ErrorAs(t, err, &damaged)
	require.Equal(t, "0000000000000001.log", damaged.Segment)
}

func TestFullDiskFailsAppendsAndLosesNoRecord(t *testing.T) {
	store := recordlogtest.NewDisk()
	log, _, err := open(store)
	require.NoError(t, err)
	require.NoError(t, log.Append(record(1)))
	store.SetFreeBytes(10)
	var full *failure.DiskFailed
	require.ErrorAs(t, log.Append(record(2)), &full)
	require.ErrorIs(t, full, recordlogtest.ErrNoSpace)
	store.SetFreeBytes(-1)
	require.NoError(t, log.Append(record(3)), "room again")
	log.Close()
	_, records, err := open(store)
	require.NoError(t, err)
	require.Equal(t, [][]byte{record(1), record(2), record(3)}, records, "no torn record between them")
}

// TestEmptyAppendFailsWhileEarlierRecordsAreUnwritten holds that nobody takes
// a record for written whose own append has failed.
func TestEmptyAppendFailsWhileEarlierRecordsAreUnwritten(t *testing.T) {
	store := recordlogtest.NewDisk()
	log, _, err := open(store)
	require.NoError(t, err)
	defer log.Close()
	store.SetFreeBytes(10)
	var told []recordlog.Position
	require.Error(t, log.Enqueue(func(places []recordlog.Position) { told = places }, record(1))())
	require.Error(t, log.Append())
	require.Positive(t, log.UnwrittenBytes())
	require.Empty(t, told)
	store.SetFreeBytes(-1)
	require.NoError(t, log.Append())
	require.Zero(t, log.UnwrittenBytes())
	require.Len(t, told, 1)
	found, err := log.Read(told[0])
	require.NoError(t, err)
	require.Equal(t, record(1), found)
}

func TestAppendsKeepOrderAcrossSegments(t *testing.T) {
	store := recordlogtest.NewDisk()
	log, _, err := open(store)
	require.NoError(t, err)
	big := make([]byte, 5<<20)
	for n := range 5 {
		big[0] = byte(n)
		require.NoError(t, log.Append(append([]byte(nil), big...)))
	}
	log.Close()
	names, err := store.List()
	require.NoError(t, err)
	require.Greater(t, len(names), 1)
	_, records, err := open(store)
	require.NoError(t, err)
	require.Len(t, records, 5)
	for n, each := range records {
		require.Equal(t, byte(n), each[0])
	}
}

func TestReplaceSegmentFreesSpace(t *testing.T) {
	store := recordlogtest.NewDisk()
	log, _, err := open(store)
	require.NoError(t, err)
	for n := range 20 {
		require.NoError(t, log.Append(record(n)))
	}
	before := log.Size()
	replaced := log.ReplaceSegment(log.OldestSegment(), nil, record(3))
	after := log.Enqueue(nil, record(30))
	require.NoError(t, replaced())
	require.NoError(t, after())
	require.Less(t, log.Size(), before)
	log.Close()
	names, err := store.List()
	require.NoError(t, err)
	require.Len(t, names, 1)
	_, records, err := open(store)
	require.NoError(t, err)
	require.Equal(t, [][]byte{record(3), record(30)}, records)
}

// TestPowerLossDuringReplaceSegmentLosesNoRecord cuts the replacement at
// every write.
func TestPowerLossDuringReplaceSegmentLosesNoRecord(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 3))
		store := recordlogtest.NewDisk()
		log, _, err := open(store)
		require.NoError(t, err)
		require.NoError(t, log.Append(record(1), record(2)))
		wait := log.ReplaceSegment(log.OldestSegment(), nil, record(1), record(2))
		after := store.AfterPowerLoss(random)
		require.NoError(t, wait())
		log.Close()
		_, records, err := open(after)
		require.NoError(t, err)
		found := map[string]bool{}
		for _, each := range records {
			found[string(each)] = true
		}
		require.True(t, found[string(record(1))] && found[string(record(2))])
	}
}

// TestReadReturnsRecordsAtTheirPositions writes over several segments, replaces
// the oldest and opens the log again.
func TestReadReturnsRecordsAtTheirPositions(t *testing.T) {
	store := recordlogtest.NewDisk()
	log, _, err := open(store)
	require.NoError(t, err)
	places := map[int]recordlog.Position{}
	write := func(n int) {
		data := append(record(n), make([]byte, 1<<20)...)
		require.NoError(t, log.Enqueue(func(at []recordlog.Position) { places[n] = at[0] }, data)())
	}
	for n := range 12 {
		write(n)
	}
	first := log.OldestSegment()
	require.NoError(t, log.ReplaceSegment(first, nil)())
	for n, at := range places {
		data, err := log.Read(at)
		if at.Segment == first {
			var moved *recordlog.Moved
			require.ErrorAs(t, err, &moved)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, record(n), data[:len(record(n))])
	}
	log.Close()
	again, err := recordlog.Open(store, func([]byte, recordlog.Position) error { return nil })
	require.NoError(t, err)
	defer again.Close()
	data, err := again.Read(places[11])
	require.NoError(t, err)
	require.Equal(t, record(11), data[:len(record(11))])
}

// TestReadAllCombinesAdjacentRecords reads every second record, and records in
// an order that is not theirs.
func TestReadAllCombinesAdjacentRecords(t *testing.T) {
	store := recordlogtest.NewDisk()
	log, _, err := open(store)
	require.NoError(t, err)
	defer log.Close()
	var places []recordlog.Position
	for n := range 400 {
		data := append(record(n), make([]byte, 20<<10)...)
		require.NoError(t, log.Enqueue(func(at []recordlog.Position) { places = append(places, at...) }, data)())
	}
	var wanted []recordlog.Position
	var numbers []int
	for n := 0; n < len(places); n += 2 {
		wanted, numbers = append(wanted, places[n]), append(numbers, n)
	}
	for _, n := range []int{399, 3, 200} {
		wanted, numbers = append(wanted, places[n]), append(numbers, n)
	}
	before := store.ReadAtCount()
	records, err := log.ReadAll(wanted)
	require.NoError(t, err)
	require.Less(t, store.ReadAtCount()-before, 20)
	require.Len(t, records, len(numbers))
	for i, n := range numbers {
		require.Equal(t, record(n), records[i][:len(record(n))])
	}
	none, err := log.ReadAll(nil)
	require.NoError(t, err)
	require.Empty(t, none)
}

func TestReadRejectsDamagedRecord(t *testing.T) {
	store := recordlogtest.NewDisk()
	log, _, err := open(store)
	require.NoError(t, err)
	defer log.Close()
	var at recordlog.Position
	require.NoError(t, log.Enqueue(func(places []recordlog.Position) { at = places[0] }, record(1))())
	store.FlipBit("0000000000000001.log", 12)
	_, err = log.Read(at)
	var damaged *recordlog.Damaged
	require.ErrorAs(t, err, &damaged)
}

func TestAppendAfterCloseFails(t *testing.T) {
	log, _, err := open(recordlogtest.NewDisk())
	require.NoError(t, err)
	log.Close()
	require.ErrorIs(t, log.Append(record(1)), io.ErrClosedPipe)
}

func BenchmarkAppend(b *testing.B) {
	log, _, err := open(recordlog.Directory(b.TempDir()))
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
