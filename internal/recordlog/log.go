// Package recordlog is an append-only log of records in segment files. Many
// appends share one sync. An append has succeeded once its records are on the
// disk; after a loss of power a torn end is cut, and damage before the end is
// reported as *Damaged.
package recordlog

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

const (
	segmentSuffix = ".log"
	// headerBytes is a frame's length and checksum.
	headerBytes = 8
	// maxFrameBytes bounds a record; a longer length is damage.
	maxFrameBytes = 64 << 20
	// segmentBytes is the size after which a new segment begins.
	segmentBytes = 8 << 20
	// maxBatchBytes bounds what one sync covers.
	maxBatchBytes = 4 << 20
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// Damaged reports a record in the middle of the log that is not what was
// written. What the folder holds must not be relied on.
type Damaged struct {
	// Segment and Offset are the place of the first bad frame.
	Segment string
	Offset  int64
}

func (e *Damaged) Error() string {
	return fmt.Sprintf("log segment %s is damaged at byte %d", e.Segment, e.Offset)
}

// Type returns "log_damaged".
func (e *Damaged) Type() failure.Type { return "log_damaged" }

// Outcome returns NotRun.
func (e *Damaged) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *Damaged) Retry() failure.Retry { return failure.Retry{} }

// Log is an open log. Append is safe for concurrent use.
type Log struct {
	files Files

	mutex   sync.Mutex
	pending []*request
	wake    *sync.Cond
	closed  bool
	done    chan struct{}
	size    atomic.Int64

	// The fields below belong to the writing goroutine.
	file     File
	offset   int64
	sequence uint64
	failed   error
	segments []string
}

type request struct {
	frames []byte
	// rewrite is set if the frames replace all that came before.
	rewrite bool
	done    chan error
}

// Open reads the log and returns its records, oldest first.
func Open(files Files) (*Log, [][]byte, error) {
	names, err := files.List()
	if err != nil {
		return nil, nil, &failure.DiskFailed{Cause: err}
	}
	segments := make([]string, 0, len(names))
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) {
			segments = append(segments, name)
		}
	}
	sort.Strings(segments)
	log := &Log{files: files, done: make(chan struct{}), segments: segments}
	log.wake = sync.NewCond(&log.mutex)
	records, end, err := readSegments(files, segments)
	if err != nil {
		return nil, nil, err
	}
	for _, record := range records {
		log.size.Add(int64(len(record) + headerBytes))
	}
	if err := log.openLast(end); err != nil {
		return nil, nil, &failure.DiskFailed{Cause: err}
	}
	go log.write()
	return log, records, nil
}

// readSegments returns all records and the length of the last segment's good
// part. A segment was synced whole before the next one began, so that only
// the last one may end torn.
func readSegments(files Files, segments []string) ([][]byte, int64, error) {
	var records [][]byte
	var end int64
	for i, name := range segments {
		data, err := files.Read(name)
		if err != nil {
			return nil, 0, &failure.DiskFailed{Cause: err}
		}
		found, good := Frames(data)
		if good < len(data) && i < len(segments)-1 {
			return nil, 0, &Damaged{Segment: name, Offset: int64(good)}
		}
		records = append(records, found...)
		end = int64(good)
	}
	return records, end, nil
}

// Frames returns the records at the start of data and the length of that good
// part.
func Frames(data []byte) ([][]byte, int) {
	var records [][]byte
	good := 0
	for len(data)-good >= headerBytes {
		length := int(binary.LittleEndian.Uint32(data[good:]))
		sum := binary.LittleEndian.Uint32(data[good+4:])
		if length == 0 || length > maxFrameBytes || len(data)-good-headerBytes < length {
			break
		}
		payload := data[good+headerBytes : good+headerBytes+length]
		if crc32.Checksum(payload, checksums) != sum {
			break
		}
		records = append(records, payload)
		good += headerBytes + length
	}
	return records, good
}

// frame appends a record with its header.
func frame(to, record []byte) []byte {
	to = binary.LittleEndian.AppendUint32(to, uint32(len(record)))
	to = binary.LittleEndian.AppendUint32(to, crc32.Checksum(record, checksums))
	return append(to, record...)
}

func (l *Log) openLast(end int64) error {
	if len(l.segments) == 0 {
		return l.rotate()
	}
	last := l.segments[len(l.segments)-1]
	if _, err := fmt.Sscanf(last, "%d"+segmentSuffix, &l.sequence); err != nil {
		return err
	}
	file, err := l.files.Open(last, end)
	if err != nil {
		return err
	}
	l.file, l.offset = file, end
	return file.Sync()
}

// rotate begins a new segment. The current one is synced already.
func (l *Log) rotate() error {
	name := fmt.Sprintf("%016d%s", l.sequence+1, segmentSuffix)
	file, err := l.files.Create(name)
	if err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.sequence++
	l.file, l.offset = file, 0
	l.segments = append(l.segments, name)
	return nil
}

// Append writes records and returns once they are on the disk. Without records
// it waits for all earlier appends.
func (l *Log) Append(records ...[]byte) error { return l.Enqueue(records...)() }

// Enqueue hands over records in the order of the calls. The function that it
// returns waits until they, and all earlier ones, are on the disk.
func (l *Log) Enqueue(records ...[]byte) func() error { return l.enqueue(records, false) }

// Rewrite replaces all records that were handed over before by these. The
// function that it returns waits until that is done.
func (l *Log) Rewrite(records [][]byte) func() error { return l.enqueue(records, true) }

// Size returns the bytes that the log takes on the disk.
func (l *Log) Size() int64 { return l.size.Load() }

func (l *Log) enqueue(records [][]byte, rewrite bool) func() error {
	one := &request{done: make(chan error, 1), rewrite: rewrite}
	for _, record := range records {
		one.frames = frame(one.frames, record)
	}
	l.mutex.Lock()
	if l.closed {
		l.mutex.Unlock()
		return func() error { return &failure.DiskFailed{Cause: io.ErrClosedPipe} }
	}
	l.pending = append(l.pending, one)
	l.wake.Signal()
	l.mutex.Unlock()
	return func() error { return <-one.done }
}

// Close writes what is pending and closes the log.
func (l *Log) Close() {
	l.mutex.Lock()
	l.closed = true
	l.wake.Signal()
	l.mutex.Unlock()
	<-l.done
}

// write serves the appends: one write and one sync for all that wait.
func (l *Log) write() {
	defer close(l.done)
	for {
		batch := l.next()
		if batch == nil {
			l.file.Close()
			return
		}
		err := l.commit(batch)
		for _, one := range batch {
			one.done <- err
		}
	}
}

func (l *Log) next() []*request {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.pending) == 0 && !l.closed {
		l.wake.Wait()
	}
	size, count := 0, 0
	for count < len(l.pending) && (count == 0 || size+len(l.pending[count].frames) <= maxBatchBytes) {
		if l.pending[count].rewrite && count > 0 {
			break
		}
		size += len(l.pending[count].frames)
		count++
		if l.pending[count-1].rewrite {
			break
		}
	}
	batch := l.pending[:count:count]
	l.pending = l.pending[count:]
	if count == 0 {
		return nil
	}
	return batch
}

func (l *Log) commit(batch []*request) error {
	if l.failed != nil {
		return l.failed
	}
	if batch[0].rewrite {
		return l.replace(batch[0].frames)
	}
	var data []byte
	for _, one := range batch {
		data = append(data, one.frames...)
	}
	if len(data) == 0 {
		return nil
	}
	if l.offset >= segmentBytes {
		if err := l.rotate(); err != nil {
			return &failure.DiskFailed{Cause: err}
		}
	}
	return l.append(data)
}

// replace writes frames to a segment of their own and removes those before it.
// A loss of power in between leaves the old ones, whose records are read again
// without harm.
func (l *Log) replace(frames []byte) error {
	old := l.segments
	if err := l.rotate(); err != nil {
		return &failure.DiskFailed{Cause: err}
	}
	if err := l.append(frames); err != nil {
		return err
	}
	l.segments = l.segments[len(old):]
	l.size.Store(l.offset)
	for _, name := range old {
		if err := l.files.Remove(name); err != nil {
			return &failure.DiskFailed{Cause: err}
		}
	}
	return nil
}

// append writes frames at the end and syncs them.
func (l *Log) append(data []byte) error {
	if _, err := l.file.Write(data); err != nil {
		l.cut()
		return &failure.DiskFailed{Cause: err}
	}
	if err := l.file.Sync(); err != nil {
		// What a failed sync has left on the disk is unknown.
		l.failed = &failure.DiskFailed{Cause: err}
		return l.failed
	}
	l.offset += int64(len(data))
	l.size.Add(int64(len(data)))
	return nil
}

// cut takes a failed write back, so that the next one does not follow a torn
// frame.
func (l *Log) cut() {
	if err := l.file.Truncate(l.offset); err != nil {
		l.failed = &failure.DiskFailed{Cause: err}
		return
	}
	if _, err := l.file.Seek(l.offset, io.SeekStart); err != nil {
		l.failed = &failure.DiskFailed{Cause: err}
	}
}
