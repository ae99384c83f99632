package recordlog_test

import (
	"errors"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/recordlog"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// failingSyncDisk fails syncs of new files while failing is set. Like a real file system, its
// Create rejects existing names.
type failingSyncDisk struct {
	*recordlogtest.Disk
	failing bool
}

type failingSyncFile struct {
	recordlog.File
	disk *failingSyncDisk
}

var errSyncFailed = errors.New("sync failed")

func (f *failingSyncFile) Sync() error {
	if f.disk.failing {
		return errSyncFailed
	}
	return f.File.Sync()
}

func (d *failingSyncDisk) Create(name string) (recordlog.File, error) {
	names, err := d.List()
	if err != nil {
		return nil, err
	}
	for _, existing := range names {
		if existing == name {
			return nil, os.ErrExist
		}
	}
	file, err := d.Disk.Create(name)
	return &failingSyncFile{File: file, disk: d}, err
}

// TestRotationIsRetriedAfterFailedSync guards against leaving the file of a new segment behind
// when its sync fails. No later attempt could then create it, and a replica whose disk was
// briefly full accepted no records until it was restarted.
func TestRotationIsRetriedAfterFailedSync(t *testing.T) {
	disk := &failingSyncDisk{Disk: recordlogtest.NewDisk()}
	log, err := recordlog.Open(disk, func([]byte, recordlog.Position) error { return nil })
	require.NoError(t, err)
	defer log.Close()
	// The first segment is full.
	require.NoError(t, log.Append(make([]byte, 4<<20)))
	disk.failing = true
	require.Error(t, log.Append([]byte("refused")))
	disk.failing = false
	require.NoError(t, log.Append([]byte("taken")))
	require.Zero(t, log.UnwrittenBytes())
}
