// Package recordlog is an append-only log of records in segment files. Many
// appends share one sync. An append has succeeded once its records are on the
// disk; after a loss of power a torn end is cut, and damage before the end is
// reported as *Damaged. Space is given back a segment at a time.
package recordlog

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// maxBatchBytes bounds what one sync covers.
const maxBatchBytes = 4 << 20

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

// WriteBacklog reports a log whose disk has not taken earlier appends.
type WriteBacklog struct {
	// Bytes are still to be written.
	Bytes int64
}

func (e *WriteBacklog) Error() string {
	return fmt.Sprintf("%d bytes of earlier records are not on the disk yet", e.Bytes)
}

// Type returns "log_behind".
func (e *WriteBacklog) Type() failure.Type { return "log_behind" }

// Outcome returns NotRun.
func (e *WriteBacklog) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows another try.
func (e *WriteBacklog) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// Log is an open log. Its methods are safe for concurrent use.
type Log struct {
	files   FileSystem
	readers readers

	mutex   sync.Mutex
	pending []*request
	wake    *sync.Cond
	closed  bool
	done    chan struct{}
	size    atomic.Int64
	// oldest is the number of the oldest segment, current that of the one that
	// takes appends.
	oldest, current atomic.Uint64

	// The fields below belong to the writing goroutine.
	file     File
	offset   int64
	failed   error
	segments []segment
	// owed are appends that failed. Those who made them know the records, and may
	// be asked for them again: the next write begins with them.
	owed []*request
	// owedBytes is the size of owed.
	owedBytes atomic.Int64
}

type segment struct {
	number uint64
	bytes  int64
}

type request struct {
	frames []byte
	// lengths are those of the records in frames.
	lengths []int
	// replaced is the segment that the frames replace; 0 is none.
	replaced uint64
	// placed is told where the records lie, once they are on the disk.
	placed func([]Position)
	done   chan error
}

// OpenAppend reads the log and passes its records on, oldest first. take must not keep
// a record; an error of its own ends the reading.
func Open(files FileSystem, take func(record []byte, at Position) error) (*Log, error) {
	numbers, err := segmentNumbers(files)
	if err != nil {
		return nil, err
	}
	log := &Log{files: files, done: make(chan struct{}), readers: readers{open: make(map[uint64]Reader)}}
	log.wake = sync.NewCond(&log.mutex)
	for i, number := range numbers {
		bytes, err := readSegment(files, number, i == len(numbers)-1, take)
		if err != nil {
			return nil, err
		}
		log.segments = append(log.segments, segment{number: number, bytes: bytes})
		log.size.Add(bytes)
	}
	if err := log.openSegments(); err != nil {
		log.readers.closeAll()
		return nil, &failure.DiskFailed{Cause: err}
	}
	go log.write()
	return log, nil
}

// openSegments opens all segments for reading and the last one for appending.
func (l *Log) openSegments() error {
	if len(l.segments) == 0 {
		return l.rotate()
	}
	last := len(l.segments) - 1
	for _, each := range l.segments[:last] {
		reader, err := l.files.OpenReader(segmentName(each.number))
		if err != nil {
			return err
		}
		l.readers.add(each.number, reader)
	}
	file, err := l.files.OpenAppend(segmentName(l.segments[last].number), l.segments[last].bytes)
	if err != nil {
		return err
	}
	l.file, l.offset = file, l.segments[last].bytes
	l.readers.add(l.segments[last].number, file)
	l.publish()
	return file.Sync()
}

// publish tells readers which segments there are.
func (l *Log) publish() {
	l.oldest.Store(l.segments[0].number)
	l.current.Store(l.segments[len(l.segments)-1].number)
}

// rotate begins a new segment. The current one is synced already; it stays open
// for reading.
func (l *Log) rotate() error {
	number := uint64(1)
	if len(l.segments) > 0 {
		number = l.segments[len(l.segments)-1].number + 1
	}
	name := segmentName(number)
	file, err := l.files.Create(name)
	if err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		// A file that stayed would keep every later try from making it.
		return errors.Join(err, l.files.Remove(name))
	}
	l.file, l.offset = file, 0
	l.segments = append(l.segments, segment{number: number})
	l.readers.add(number, file)
	l.publish()
	return nil
}

// Append writes records and returns once they are on the disk. Without records
// it waits for all earlier appends.
func (l *Log) Append(records ...[]byte) error { return l.Enqueue(nil, records...)() }

// Enqueue hands over records in the order of the calls. The function that it
// returns waits until they, and all earlier ones, are on the disk. placed, which
// may be nil, is told where they lie before that; where the write fails, it is
// told when a later one has taken them along.
func (l *Log) Enqueue(placed func([]Position), records ...[]byte) (wait func() error) {
	return l.enqueue(&request{placed: placed}, records)
}

// ReplaceSegment hands over records in place of a whole segment, which is removed once
// they are on the disk. A failed one is not made up for.
func (l *Log) ReplaceSegment(segment uint64, placed func([]Position), records ...[]byte) (wait func() error) {
	return l.enqueue(&request{placed: placed, replaced: segment}, records)
}

// UnwrittenBytes returns the bytes of failed appends that are still to be written.
func (l *Log) UnwrittenBytes() int64 { return l.owedBytes.Load() }

// Read returns the record at a place. It fails with *Moved where the segment has
// been replaced.
func (l *Log) Read(at Position) ([]byte, error) {
	records, err := l.readers.readSpan([]Position{at})
	if err != nil {
		return nil, err
	}
	return records[0], nil
}

// ReadAll returns the records at places, with few reads where they lie close to
// each other in the order given. It fails with *Moved where one of their segments
// has been replaced.
func (l *Log) ReadAll(places []Position) ([][]byte, error) { return l.readers.readAll(places) }

// Size returns the bytes that the log takes on the disk.
func (l *Log) Size() int64 { return l.size.Load() }

// OldestSegment returns the number of the oldest segment.
func (l *Log) OldestSegment() uint64 { return l.oldest.Load() }

func (l *Log) enqueue(one *request, records [][]byte) (wait func() error) {
	one.done = make(chan error, 1)
	for _, record := range records {
		one.frames = frame(one.frames, record)
		one.lengths = append(one.lengths, len(record))
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return func() error { return &failure.DiskFailed{Cause: io.ErrClosedPipe} }
	}
	l.pending = append(l.pending, one)
	l.wake.Signal()
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
