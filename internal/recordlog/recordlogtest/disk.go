// Package recordlogtest provides an in-memory disk for tests that simulates power loss.
package recordlogtest

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/recordlog"
)

// Disk is an in-memory recordlog.FileSystem that simulates power loss: of the bytes written
// after the last sync of a file, an arbitrary prefix remains, which may be damaged.
type Disk struct {
	mutex sync.Mutex
	files map[string]*diskFile
	// freeBytes is the number of bytes that can still be written; -1 means no limit.
	freeBytes int
	// readAtCount is the number of ReadAt calls.
	readAtCount int
	// syncDelay is how long each sync takes.
	syncDelay time.Duration
	// syncFails makes each sync fail.
	syncFails bool
	// SkipSync makes every sync a no-op. Tests set it to check that they detect lost records.
	SkipSync bool
}

type diskFile struct {
	disk   *Disk
	name   string
	data   []byte
	synced []byte
	offset int64
}

// ErrNoSpace is the error of a write to a full disk.
var ErrNoSpace = errors.New("no space left on the disk")

// ErrSyncFailed is the error of a sync that fails.
var ErrSyncFailed = errors.New("sync failed")

// NewDisk returns an empty disk.
func NewDisk() *Disk { return &Disk{files: map[string]*diskFile{}, freeBytes: -1} }

// List returns the names of all files.
func (d *Disk) List() ([]string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// Read returns a whole file.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return append([]byte(nil), d.files[name].data...), nil
}

// OpenReader opens a file for reading.
func (d *Disk) OpenReader(name string) (recordlog.Reader, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := d.files[name]
	if file == nil {
		return nil, os.ErrNotExist
	}
	return file, nil
}

// Create creates a new file.
func (d *Disk) Create(name string) (recordlog.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := &diskFile{disk: d, name: name}
	d.files[name] = file
	return file, nil
}

// OpenAppend truncates a file to offset and opens it for appending.
func (d *Disk) OpenAppend(name string, offset int64) (recordlog.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := d.files[name]
	file.data = file.data[:offset]
	file.offset = offset
	return file, nil
}

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.files, name)
	return nil
}

func (f *diskFile) Write(data []byte) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	written := len(data)
	if f.disk.freeBytes >= 0 {
		written = min(written, f.disk.freeBytes)
		f.disk.freeBytes -= written
	}
	f.data = append(f.data[:f.offset], data[:written]...)
	f.offset += int64(written)
	if written < len(data) {
		return written, ErrNoSpace
	}
	return written, nil
}

func (f *diskFile) Close() error { return nil }

func (f *diskFile) ReadAt(data []byte, offset int64) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	f.disk.readAtCount++
	if offset >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(data, f.data[offset:])
	if n < len(data) {
		return n, io.ErrUnexpectedEOF
	}
	return n, nil
}

func (f *diskFile) Sync() error {
	f.disk.mutex.Lock()
	delay := f.disk.syncDelay
	f.disk.mutex.Unlock()
	time.Sleep(delay)
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.disk.syncFails {
		return ErrSyncFailed
	}
	if !f.disk.SkipSync {
		f.synced = append([]byte(nil), f.data...)
	}
	return nil
}

func (f *diskFile) Truncate(size int64) error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	f.data = f.data[:size]
	return nil
}

func (f *diskFile) Seek(offset int64, _ int) (int64, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	f.offset = offset
	return offset, nil
}

// SetFreeBytes sets the number of bytes that can still be written; -1 means no limit.
func (d *Disk) SetFreeBytes(bytes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.freeBytes = bytes
}

// SetSyncFails sets whether each sync fails from now on.
func (d *Disk) SetSyncFails(fails bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncFails = fails
}

// SetSyncDelay sets how long each sync takes from now on.
func (d *Disk) SetSyncDelay(delay time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncDelay = delay
}

// ReadAtCount returns the number of ReadAt calls so far.
func (d *Disk) ReadAtCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.readAtCount
}

// FlipBit inverts the lowest bit of the byte at offset.
func (d *Disk) FlipBit(name string, offset int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.files[name].data[offset] ^= 1
}

// AppendSynced appends bytes to a file and marks its whole content as synced. It creates the
// file if it does not exist.
func (d *Disk) AppendSynced(name string, data []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := d.files[name]
	if file == nil {
		file = &diskFile{disk: d, name: name}
		d.files[name] = file
	}
	file.data = append(file.data, data...)
	file.synced = append([]byte(nil), file.data...)
}

// AfterPowerLoss returns a new disk with the content that remains after a power loss.
func (d *Disk) AfterPowerLoss(random *rand.Rand) *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	after := NewDisk()
	for name, file := range d.files {
		data := append([]byte(nil), file.synced...)
		if unsynced := file.data[min(len(file.synced), len(file.data)):]; len(unsynced) > 0 {
			torn := append([]byte(nil), unsynced[:random.IntN(len(unsynced)+1)]...)
			if len(torn) > 0 && random.IntN(2) == 0 {
				torn[random.IntN(len(torn))] ^= 0x40
			}
			data = append(data, torn...)
		}
		after.files[name] = &diskFile{disk: after, name: name, data: data, synced: data}
	}
	return after
}
