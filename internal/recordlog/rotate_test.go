package recordlog_test

import (
	"errors"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/recordlog"
	"github.com/barleyshelf/barleyshelf/internal/recordlog/recordlogtest"
)

// refusingDisk makes new files whose first sync fails, and makes none that are there.
type refusingDisk struct {
	*recordlogtest.Disk
	refusing bool
}

type refusingFile struct {
	recordlog.File
	disk *refusingDisk
}

var errRefused = errors.New("the disk takes nothing")

func (f *refusingFile) Sync() error {
	if f.disk.refusing {
		return errRefused
	}
	return f.File.Sync()
}

func (d *refusingDisk) Create(name string) (recordlog.File, error) {
	names, err := d.List()
	if err != nil {
		return nil, err
	}
	for _, known := range names {
		if known == name {
			return nil, os.ErrExist
		}
	}
	file, err := d.Disk.Create(name)
	return &refusingFile{File: file, disk: d}, err
}

// TestRotationIsRetriedAfterFailedSync: its file stayed, so that no later try could make it,
// and a replica whose disk was full for a moment took no record until it was started again.
func TestRotationIsRetriedAfterFailedSync(t *testing.T) {
	disk := &refusingDisk{Disk: recordlogtest.NewDisk()}
	log, err := recordlog.Open(disk, func([]byte, recordlog.Position) error { return nil })
	require.NoError(t, err)
	defer log.Close()
	// The first segment is full.
	require.NoError(t, log.Append(make([]byte, 4<<20)))
	disk.refusing = true
	require.Error(t, log.Append([]byte("refused")))
	disk.refusing = false
	require.NoError(t, log.Append([]byte("taken")))
	require.Zero(t, log.UnwrittenBytes())
}
