// Package recordlogtest has a disk in memory for tests, which loses what a loss
// of power may lose.
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

// Disk is a folder in memory that loses what a loss of power may lose: writes
// after the last sync of their file, each kept, torn or missing, and names whose
// folder was not synced.
type Disk struct {
	mutex sync.Mutex
	files map[string]*diskFile
	// room is the number of bytes that may still be written; -1 is no limit.
	room int
	// reads counts the reads of parts of files.
	reads int
	// syncTime is how long each sync takes.
	syncTime time.Duration
	// SkipSync leaves out every sync: a deliberate breakage.
	SkipSync bool
}

type diskFile struct {
	disk   *Disk
	name   string
	data   []byte
	synced []byte
	offset int64
}

// ErrNoSpace is what a full disk answers.
var ErrNoSpace = errors.New("no space left on the disk")

// NewDisk returns an empty disk.
func NewDisk() *Disk { return &Disk{files: map[string]*diskFile{}, room: -1} }

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

// Create makes a new file.
func (d *Disk) Create(name string) (recordlog.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := &diskFile{disk: d, name: name}
	d.files[name] = file
	return file, nil
}

// OpenAppend opens a file for appending at an offset.
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
	taken := len(data)
	if f.disk.room >= 0 {
		taken = min(taken, f.disk.room)
		f.disk.room -= taken
	}
	f.data = append(f.data[:f.offset], data[:taken]...)
	f.offset += int64(taken)
	if taken < len(data) {
		return taken, ErrNoSpace
	}
	return taken, nil
}

func (f *diskFile) Close() error { return nil }

func (f *diskFile) ReadAt(data []byte, offset int64) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	f.disk.reads++
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
	takes := f.disk.syncTime
	f.disk.mutex.Unlock()
	time.Sleep(takes)
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
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

// SetFreeBytes sets the number of bytes that may still be written; -1 is no limit.
func (d *Disk) SetFreeBytes(bytes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.room = bytes
}

// SetSyncDelay sets how long each sync takes from now on.
func (d *Disk) SetSyncDelay(takes time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncTime = takes
}

// ReadAtCount returns how many reads of parts of files there were.
func (d *Disk) ReadAtCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.reads
}

// FlipBit changes one byte of a file.
func (d *Disk) FlipBit(name string, offset int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.files[name].data[offset] ^= 1
}

// AppendSynced puts bytes at the end of a file, which may be new.
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

// AfterPowerLoss returns the disk as it is after a loss of power.
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
