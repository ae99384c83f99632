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

// slowTick keeps a leader in office while a real disk takes long for a sync: with the
// default of 20 ms, beside plays that fill the machine's disk, it once resigned in the
// middle of a test that is about what the disk holds.
const slowTick = 300 * time.Millisecond

// onDisk starts one daemon that is a group of its own, with a data folder.
func onDisk(t *testing.T, n *network, folder string, incarnation uint64) *daemon {
	t.Helper()
	d := n.start(t, "a", incarnation, func(o *Options) {
		o.DataDir = folder
		o.TickInterval = slowTick
	})
	return d
}

func lead(t *testing.T, d *daemon) {
	t.Helper()
	_, err := d.EnsureLeader(context.Background(), testShard)
	require.NoError(t, err)
}

// filled returns a data folder in which a group of one has stored records.
func filled(t *testing.T, records int) string {
	t.Helper()
	folder := t.TempDir()
	n := newNetwork(0)
	d := onDisk(t, n, folder, 1)
	require.NoError(t, d.CreateReplica(InitialGroup{Shard: testShard, Members: members(d)}))
	lead(t, d)
	proposeMany(t, d, "x", records)
	require.NoError(t, d.Close())
	return folder
}

func TestRestartWithIntactDiskKeepsState(t *testing.T) {
	folder := filled(t, 50)
	incarnation, err := LoadOrCreateIncarnation(folder, 99)
	require.NoError(t, err)
	require.Equal(t, structs.Incarnation(1), incarnation)
	d := onDisk(t, newNetwork(0), folder, 1)
	lead(t, d)
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
	lead(t, a)
	proposeMany(t, a, "x", 3)
	// Nothing may be left that the leader still has to tell.
	require.Eventually(t, func() bool {
		status, _ := c.Status(testShard)
		return status.CommitIndex == 4
	}, 10*time.Second, time.Millisecond)
	time.Sleep(20 * DefaultTickInterval)
	require.NoError(t, c.Close())
	again := n.start(t, "c", 1, func(o *Options) { o.DataDir = folder })
	leader, err := again.EnsureLeader(context.Background(), testShard)
	require.NoError(t, err)
	require.Equal(t, structs.NodeID("a"), leader)
	proposeMany(t, a, "y", 3)
}

func TestStoredSnapshotReplacesOldEntries(t *testing.T) {
	folder := t.TempDir()
	d := onDisk(t, newNetwork(0), folder, 1)
	require.NoError(t, d.CreateReplica(InitialGroup{Shard: testShard, Members: members(d)}))
	lead(t, d)
	for i := range 80 {
		require.NoError(t, d.Propose(context.Background(), testShard, noise(i, 128<<10)))
	}
	want := d.records(testShard)
	require.NoError(t, d.Close())
	store, err := OpenBoltStorage(folder, 1)
	require.NoError(t, err)
	stored, err := store.Load()
	require.NoError(t, err)
	require.NotZero(t, stored[testShard].Snapshot.Index)
	require.Less(t, len(stored[testShard].Entries), 80)
	require.NoError(t, store.Close())
	again := onDisk(t, newNetwork(0), folder, 1)
	lead(t, again)
	require.Equal(t, want, again.records(testShard))
	require.NoError(t, again.Close())
}

// change edits the stored shard behind the store's back.
func change(t *testing.T, folder string, edit func(shard *bbolt.Bucket) error) {
	t.Helper()
	database, err := bbolt.Open(filepath.Join(folder, boltFile), boltFileMode, nil)
	require.NoError(t, err)
	require.NoError(t, database.Update(func(tx *bbolt.Tx) error {
		return edit(tx.Bucket(bucketShards).Bucket(shardKey(testShard)))
	}))
	require.NoError(t, database.Close())
}

func TestCorruptLogTailIsTruncated(t *testing.T) {
	folder := filled(t, 10)
	change(t, folder, func(shard *bbolt.Bucket) error {
		return shard.Bucket(bucketEntries).Put(number(12), []byte("torn"))
	})
	incarnation, err := LoadOrCreateIncarnation(folder, 99)
	require.NoError(t, err)
	require.Equal(t, structs.Incarnation(1), incarnation)
	d := onDisk(t, newNetwork(0), folder, 1)
	lead(t, d)
	require.Len(t, d.records(testShard), 10)
	require.NoError(t, d.Close())
}

func TestCorruptStateRequiresNewIncarnation(t *testing.T) {
	damages := map[string]func(shard *bbolt.Bucket) error{
		"entry":         func(s *bbolt.Bucket) error { return s.Bucket(bucketEntries).Put(number(5), []byte("damaged")) },
		"missing entry": func(s *bbolt.Bucket) error { return s.Bucket(bucketEntries).Delete(number(11)) },
		"vote":          func(s *bbolt.Bucket) error { return s.Put(keyState, []byte("damaged.")) },
		"membership":    func(s *bbolt.Bucket) error { return s.Put(keySnapshot, []byte("damaged.")) },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			folder := filled(t, 10)
			change(t, folder, damage)
			incarnation, err := LoadOrCreateIncarnation(folder, 99)
			require.NoError(t, err)
			require.Equal(t, structs.Incarnation(99), incarnation)
			d := onDisk(t, newNetwork(0), folder, 99)
			require.Empty(t, d.Statuses())
			require.NoError(t, d.Close())
		})
	}
}

func TestCorruptFileRequiresNewIncarnation(t *testing.T) {
	folder := filled(t, 10)
	name := filepath.Join(folder, boltFile)
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(name, data[:len(data)/3], boltFileMode))
	incarnation, err := LoadOrCreateIncarnation(folder, 99)
	require.NoError(t, err)
	require.Equal(t, structs.Incarnation(99), incarnation)
}

func TestStateOfAnotherIncarnationIsDeleted(t *testing.T) {
	folder := filled(t, 10)
	d := onDisk(t, newNetwork(0), folder, 2)
	require.Empty(t, d.Statuses())
	require.NoError(t, d.Close())
}

// failing is a storage that stops working.
type failing struct{ full bool }

func (f *failing) Load() (map[structs.ShardID]StoredShard, error) { return nil, nil }

func (f *failing) Write([]ShardWrite) error {
	if f.full {
		return &failure.DiskFailed{Cause: errNoSpace}
	}
	return nil
}

func (f *failing) Close() error { return nil }

var errNoSpace = errors.New("no space left on device")

func TestMemberWithFullDiskStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(time.Millisecond)
		disk := &failing{}
		a := n.start(t, "a", 1, func(o *Options) { o.Storage = disk })
		b, c := n.start(t, "b", 1, nil), n.start(t, "c", 1, nil)
		defer n.closeAll(t)
		for _, d := range []*daemon{a, b, c} {
			require.NoError(t, d.CreateReplica(InitialGroup{Shard: testShard, Members: members(a, b, c)}))
		}
		lead(t, a)
		proposeMany(t, a, "x", 3)
		disk.full = true
		// The two others may commit it before the disk fails here.
		_ = a.Propose(context.Background(), testShard, []byte("x-3"))
		synctest.Wait()
		err := a.Propose(context.Background(), testShard, []byte("refused"))
		var failed *failure.DiskFailed
		require.ErrorAs(t, err, &failed)
		require.ErrorIs(t, err, errNoSpace)
		require.Equal(t, failure.NotRun, failed.Outcome())

		// Nobody suspects a, which is alive: it says itself that it leads no more.
		began := time.Now()
		leader, err := b.EnsureLeader(context.Background(), testShard)
		require.NoError(t, err)
		require.Equal(t, structs.NodeID("b"), leader)
		require.Less(t, time.Since(began), time.Second)
		proposeMany(t, b, "y", 1)
		time.Sleep(time.Second)
		require.Equal(t, b.records(testShard), c.records(testShard))
		require.GreaterOrEqual(t, len(b.records(testShard)), 4)
	})
}

func TestBoltStorageWriteIsAtomic(t *testing.T) {
	store, err := OpenBoltStorage(t.TempDir(), 1)
	require.NoError(t, err)
	entry := &journalv1.Entry{Index: 1, Term: 1, Data: []byte("x")}
	require.NoError(t, store.Write([]ShardWrite{{Shard: 1, Entries: []*journalv1.Entry{entry}}}))
	notText := []*journalv1.Member{{Node: "\xff"}}
	refused := &journalv1.Entry{Index: 2, Term: 1, Membership: &journalv1.Membership{Members: notText}}
	err = store.Write([]ShardWrite{
		{Shard: 2, Entries: []*journalv1.Entry{entry}},
		{Shard: 1, Entries: []*journalv1.Entry{refused}},
	})
	require.True(t, failure.IsType(err, "disk_failed"))
	stored, err := store.Load()
	require.NoError(t, err)
	require.Len(t, stored, 1)
	require.Len(t, stored[1].Entries, 1)
	require.NoError(t, store.Close())
}
