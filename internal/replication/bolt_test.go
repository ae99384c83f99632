package replication

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// slowTickInterval prevents a leader from resigning while a disk sync takes long.
// With the default of 20 ms that happened on a machine with a busy disk.
const slowTickInterval = 300 * time.Millisecond

// startOnDisk starts a daemon with a data folder.
func startOnDisk(t *testing.T, n *network, folder string, incarnation uint64) *daemon {
	t.Helper()
	d := n.start(t, "a", incarnation, func(o *Options) {
		o.DataDir = folder
		o.TickInterval = slowTickInterval
	})
	return d
}

func becomeLeader(t *testing.T, d *daemon) {
	t.Helper()
	_, err := d.EnsureLeader(context.Background(), testShard)
	require.NoError(t, err)
}

// folderWithRecords returns a data folder with the records of a group of one member.
func folderWithRecords(t *testing.T, records int) string {
	t.Helper()
	folder := t.TempDir()
	n := newNetwork(0)
	d := startOnDisk(t, n, folder, 1)
	require.NoError(t, d.CreateReplica(InitialGroup{Shard: testShard, Members: members(d)}))
	becomeLeader(t, d)
	proposeMany(t, d, "x", records)
	require.NoError(t, d.Close())
	return folder
}

func TestRestartWithIntactDiskKeepsState(t *testing.T) {
	folder := folderWithRecords(t, 50)
	incarnation, err := LoadOrCreateIncarnation(folder, 99)
	require.NoError(t, err)
	require.Equal(t, structs.Incarnation(1), incarnation)
	d := startOnDisk(t, newNetwork(0), folder, 1)
	becomeLeader(t, d)
	require.Len(t, d.records(testShard), 50)
	status, _ := d.Status(testShard)
	require.Equal(t, uint64(2), status.Term)
	require.NoError(t, d.Close())
}

func TestRestartedMemberFindsExistingLeader(t *testing.T) {
	n, folder := newNetwork(0), t.TempDir()
	a, b, c := n.start(t, "a", 1, nil), n.start(t, "b", 1, nil), n.start(t, "c", 1, func(o *Options) { o.DataDir = folder })
	defer n.closeAll(t)
	for _, d := range []*daemon{a, b, c} {
		require.NoError(t, d.CreateReplica(InitialGroup{Shard: testShard, Members: members(a, b, c)}))
	}
	becomeLeader(t, a)
	proposeMany(t, a, "x", 3)
	// The leader must have no outstanding messages to c, because these would
	// tell c who leads.
	require.Eventually(t, func() bool {
		status, _ := c.Status(testShard)
		return status.CommitIndex == 4
	}, 10*time.Second, time.Millisecond)
	time.Sleep(20 * DefaultTickInterval)
	require.NoError(t, c.Close())
	restarted := n.start(t, "c", 1, func(o *Options) { o.DataDir = folder })
	leader, err := restarted.EnsureLeader(context.Background(), testShard)
	require.NoError(t, err)
	require.Equal(t, structs.NodeID("a"), leader)
	proposeMany(t, a, "y", 3)
}

func TestStoredSnapshotReplacesOldEntries(t *testing.T) {
	folder := t.TempDir()
	d := startOnDisk(t, newNetwork(0), folder, 1)
	require.NoError(t, d.CreateReplica(InitialGroup{Shard: testShard, Members: members(d)}))
	becomeLeader(t, d)
	for i := range 80 {
		require.NoError(t, d.Propose(context.Background(), testShard, incompressibleBytes(i, 128<<10)))
	}
	want := d.records(testShard)
	require.NoError(t, d.Close())
	storage, err := OpenBoltStorage(folder, 1)
	require.NoError(t, err)
	stored, err := storage.Load()
	require.NoError(t, err)
	require.NotZero(t, stored[testShard].Snapshot.Index)
	require.Less(t, len(stored[testShard].Entries), 80)
	require.NoError(t, storage.Close())
	restarted := startOnDisk(t, newNetwork(0), folder, 1)
	becomeLeader(t, restarted)
	require.Equal(t, want, restarted.records(testShard))
	require.NoError(t, restarted.Close())
}

// editStoredShard edits the database directly, without updating checksums.
func editStoredShard(t *testing.T, folder string, edit func(shard *bbolt.Bucket) error) {
	t.Helper()
	database, err := bbolt.Open(filepath.Join(folder, databaseFile), databaseFileMode, nil)
	require.NoError(t, err)
	require.NoError(t, database.Update(func(tx *bbolt.Tx) error {
		return edit(tx.Bucket(bucketShards).Bucket(shardKey(testShard)))
	}))
	require.NoError(t, database.Close())
}

func TestCorruptLogTailIsTruncated(t *testing.T) {
	folder := folderWithRecords(t, 10)
	editStoredShard(t, folder, func(shard *bbolt.Bucket) error {
		return shard.Bucket(bucketEntries).Put(encodeUint64(12), []byte("torn"))
	})
	incarnation, err := LoadOrCreateIncarnation(folder, 99)
	require.NoError(t, err)
	require.Equal(t, structs.Incarnation(1), incarnation)
	d := startOnDisk(t, newNetwork(0), folder, 1)
	becomeLeader(t, d)
	require.Len(t, d.records(testShard), 10)
	require.NoError(t, d.Close())
}

func TestCorruptStateRequiresNewIncarnation(t *testing.T) {
	corruptions := map[string]func(shard *bbolt.Bucket) error{
		"entry":         func(s *bbolt.Bucket) error { return s.Bucket(bucketEntries).Put(encodeUint64(5), []byte("damaged")) },
		"missing entry": func(s *bbolt.Bucket) error { return s.Bucket(bucketEntries).Delete(encodeUint64(11)) },
		"vote":          func(s *bbolt.Bucket) error { return s.Put(keyState, []byte("damaged.")) },
		"membership":    func(s *bbolt.Bucket) error { return s.Put(keySnapshot, []byte("damaged.")) },
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			folder := folderWithRecords(t, 10)
			editStoredShard(t, folder, corrupt)
			incarnation, err := LoadOrCreateIncarnation(folder, 99)
			require.NoError(t, err)
			require.Equal(t, structs.Incarnation(99), incarnation)
			d := startOnDisk(t, newNetwork(0), folder, 99)
			require.Empty(t, d.Statuses())
			require.NoError(t, d.Close())
		})
	}
}

func TestCorruptFileRequiresNewIncarnation(t *testing.T) {
	folder := folderWithRecords(t, 10)
	name := filepath.Join(folder, databaseFile)
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(name, data[:len(data)/3], databaseFileMode))
	incarnation, err := LoadOrCreateIncarnation(folder, 99)
	require.NoError(t, err)
	require.Equal(t, structs.Incarnation(99), incarnation)
}

func TestStateOfAnotherIncarnationIsDeleted(t *testing.T) {
	folder := folderWithRecords(t, 10)
	d := startOnDisk(t, newNetwork(0), folder, 2)
	require.Empty(t, d.Statuses())
	require.NoError(t, d.Close())
}

// fullDiskStorage is a storage whose writes fail while full is set.
type fullDiskStorage struct{ full bool }

func (f *fullDiskStorage) Load() (map[structs.ShardID]StoredShard, error) { return nil, nil }

func (f *fullDiskStorage) Write([]ShardWrite) error {
	if f.full {
		return &failure.DiskFailed{Cause: errNoSpace}
	}
	return nil
}

func (f *fullDiskStorage) Close() error { return nil }

var errNoSpace = errors.New("no space left on device")

func TestMemberWithFullDiskStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		disk := &fullDiskStorage{}
		a := n.start(t, "a", 1, func(o *Options) { o.Storage = disk })
		b, c := n.start(t, "b", 1, nil), n.start(t, "c", 1, nil)
		defer n.closeAll(t)
		for _, d := range []*daemon{a, b, c} {
			require.NoError(t, d.CreateReplica(InitialGroup{Shard: testShard, Members: members(a, b, c)}))
		}
		becomeLeader(t, a)
		proposeMany(t, a, "x", 3)
		disk.full = true
		// The other two members may commit the record before the write fails
		// here.
		_ = a.Propose(context.Background(), testShard, []byte("x-3"))
		synctest.Wait()
		err := a.Propose(context.Background(), testShard, []byte("refused"))
		var failed *failure.DiskFailed
		require.ErrorAs(t, err, &failed)
		require.ErrorIs(t, err, errNoSpace)
		require.Equal(t, failure.NotRun, failed.Outcome())

		// No member suspects a, which is alive. It reports itself that it no
		// longer leads.
		startTime := time.Now()
		leader, err := b.EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.Equal(t, structs.NodeID("b"), leader)
		require.Less(t, time.Since(startTime), time.Second)
		proposeMany(t, b, "y", 1)
		time.Sleep(time.Second)
		require.Equal(t, b.records(testShard), c.records(testShard))
		require.GreaterOrEqual(t, len(b.records(testShard)), 4)
	})
}

func TestBoltStorageWriteIsAtomic(t *testing.T) {
	storage, err := OpenBoltStorage(t.TempDir(), 1)
	require.NoError(t, err)
	entry := &journalv1.Entry{Index: 1, Term: 1, Data: []byte("x")}
	require.NoError(t, storage.Write([]ShardWrite{{Shard: 1, Entries: []*journalv1.Entry{entry}}}))
	invalidMembers := []*journalv1.Member{{Node: "\xff"}}
	invalidEntry := &journalv1.Entry{Index: 2, Term: 1, Membership: &journalv1.Membership{Members: invalidMembers}}
	err = storage.Write([]ShardWrite{
		{Shard: 2, Entries: []*journalv1.Entry{entry}},
		{Shard: 1, Entries: []*journalv1.Entry{invalidEntry}},
	})
	require.True(t, failure.IsType(err, "disk_failed"))
	stored, err := storage.Load()
	require.NoError(t, err)
	require.Len(t, stored, 1)
	require.Len(t, stored[1].Entries, 1)
	require.NoError(t, storage.Close())
}
