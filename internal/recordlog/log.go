// Package recordlog is an append-only log of records in segment files. Concurrent appends
// share one sync. An append succeeds once its records are synced to disk. After a power loss
// Open truncates a torn record at the end of the log; damage before the end is reported as
// *Damaged. Disk space is freed by whole segments.
package recordlog

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// maxBatchBytes limits the size of a batch that is written and synced at once.
const maxBatchBytes = 4 << 20

// Damaged reports a damaged record before the end of the log. The data directory must not be
// used any longer.
type Damaged struct {
	// Segment and Offset locate the first damaged frame.
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

// Retry forbids a retry.
func (e *Damaged) Retry() failure.Retry { return failure.Retry{} }

// WriteBacklog reports that earlier appends failed and are not on the disk yet.
type WriteBacklog struct {
	// Bytes is the size of the records that are not written yet.
	Bytes int64
}

func (e *WriteBacklog) Error() string {
	return fmt.Sprintf("%d bytes of earlier records are not on the disk yet", e.Bytes)
}

// Type returns "log_behind".
func (e *WriteBacklog) Type() failure.Type { return "log_behind" }

// Outcome returns NotRun.
func (e *WriteBacklog) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry.
func (e *WriteBacklog) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// Log is an open log. Its methods are safe for concurrent use.
type Log struct {
	fileSystem FileSystem
	readers    segmentReaders

	mutex          sync.Mutex
	pending        []*appendRequest
	pendingChanged *sync.Cond
	closed         bool
	writerDone     chan struct{}
	size           atomic.Int64
	// oldestSegment is the number of the oldest segment, currentSegment the number of the
	// segment that receives appends.
	oldestSegment, currentSegment atomic.Uint64

	// The fields below are owned by the writer goroutine, except unwrittenBytes.
	currentFile      File
	endOffset        int64
	permanentFailure error
	segments         []segment
	// unwritten are appends that failed. Their callers already hold the records in memory and
	// may serve them, so the next batch writes them first.
	unwritten []*appendRequest
	// unwrittenBytes is the size of unwritten.
	unwrittenBytes atomic.Int64
	// failed is closed when permanentFailure is set.
	failed chan struct{}
	// writingSince is when the batch that is being written was begun; nil while there is none.
	writingSince atomic.Pointer[time.Time]
	// lastWrite is when a batch was last on the disk, or when the log was opened.
	lastWrite atomic.Pointer[time.Time]
}

type segment struct {
	number uint64
	bytes  int64
}

type appendRequest struct {
	frames []byte
	// recordLengths are the lengths of the records in frames.
	recordLengths []int
	// replacedSegment is the number of the segment that the frames replace; 0 means none.
	replacedSegment uint64
	// onWritten receives the positions of the records once they are on the disk.
	onWritten func([]Position)
	done      chan error
}

// Open opens the log and calls visit for each record, oldest first. visit must not retain the
// record. If visit returns an error, Open stops and returns it.
func Open(fileSystem FileSystem, visit func(record []byte, position Position) error) (*Log, error) {
	numbers, err := segmentNumbers(fileSystem)
	if err != nil {
		return nil, err
	}
	log := &Log{fileSystem: fileSystem, writerDone: make(chan struct{}), failed: make(chan struct{}), readers: segmentReaders{bySegment: make(map[uint64]Reader)}}
	log.pendingChanged = sync.NewCond(&log.mutex)
	for i, number := range numbers {
		bytes, err := readSegment(fileSystem, number, i == len(numbers)-1, visit)
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
	log.recordWrite()
	go log.runWriter()
	return log, nil
}

// openSegments opens all segments for reading and the last one for appending.
func (l *Log) openSegments() error {
	if len(l.segments) == 0 {
		return l.rotate()
	}
	last := len(l.segments) - 1
	for _, each := range l.segments[:last] {
		reader, err := l.fileSystem.OpenReader(segmentName(each.number))
		if err != nil {
			return err
		}
		l.readers.add(each.number, reader)
	}
	file, err := l.fileSystem.OpenAppend(segmentName(l.segments[last].number), l.segments[last].bytes)
	if err != nil {
		return err
	}
	l.currentFile, l.endOffset = file, l.segments[last].bytes
	l.readers.add(l.segments[last].number, file)
	l.publishSegmentRange()
	return file.Sync()
}

// publishSegmentRange updates the segment numbers that other goroutines read.
func (l *Log) publishSegmentRange() {
	l.oldestSegment.Store(l.segments[0].number)
	l.currentSegment.Store(l.segments[len(l.segments)-1].number)
}

// rotate starts a new segment. The previous one is already synced and stays open for reading.
func (l *Log) rotate() error {
	number := uint64(1)
	if len(l.segments) > 0 {
		number = l.segments[len(l.segments)-1].number + 1
	}
	name := segmentName(number)
	file, err := l.fileSystem.Create(name)
	if err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		// If the file remained, every later attempt to create it would fail.
		return errors.Join(err, l.fileSystem.Remove(name))
	}
	l.currentFile, l.endOffset = file, 0
	l.segments = append(l.segments, segment{number: number})
	l.readers.add(number, file)
	l.publishSegmentRange()
	return nil
}

// Append writes records and returns once they are on the disk. Without records it waits until
// all earlier appends are on the disk.
func (l *Log) Append(records ...[]byte) error { return l.Enqueue(nil, records...)() }

// Enqueue queues records for writing, in the order of the calls. The returned function waits
// until they and all earlier records are on the disk. onWritten, which may be nil, receives
// their positions before that function returns. If the write fails, onWritten is called after a
// later batch has written the records.
func (l *Log) Enqueue(onWritten func([]Position), records ...[]byte) (wait func() error) {
	return l.enqueue(&appendRequest{onWritten: onWritten}, records)
}

// ReplaceSegment queues records that replace a whole segment. The segment is removed once they
// are on the disk. A failed replacement is not retried.
func (l *Log) ReplaceSegment(segment uint64, onWritten func([]Position), records ...[]byte) (wait func() error) {
	return l.enqueue(&appendRequest{onWritten: onWritten, replacedSegment: segment}, records)
}

// UnwrittenBytes returns the size of the failed appends that are not on the disk yet.
func (l *Log) UnwrittenBytes() int64 { return l.unwrittenBytes.Load() }

// Failed returns a channel that is closed once the log accepts no more appends, because the content
// of the disk is unknown. Only opening the log again shows it.
func (l *Log) Failed() <-chan struct{} { return l.failed }

// Failure returns why the log accepts no more appends, or nil.
func (l *Log) Failure() error {
	select {
	case <-l.failed:
		return l.permanentFailure
	default:
		return nil
	}
}

// WritingFor returns for how long the batch that is being written has been under way; 0 if there is
// none.
func (l *Log) WritingFor() time.Duration {
	since := l.writingSince.Load()
	if since == nil {
		return 0
	}
	return time.Since(*since)
}

// IdleFor returns the time since records were last written to the disk, or since the log was opened.
func (l *Log) IdleFor() time.Duration { return time.Since(*l.lastWrite.Load()) }

// recordWrite sets the time of the last write to now.
func (l *Log) recordWrite() {
	now := time.Now()
	l.lastWrite.Store(&now)
}

// Read returns the record at a position. It returns *Moved if the segment has been replaced.
func (l *Log) Read(position Position) ([]byte, error) {
	records, err := l.readers.readSpan([]Position{position})
	if err != nil {
		return nil, err
	}
	return records[0], nil
}

// ReadAll returns the records at the positions, in the order given. Successive positions that
// are close together share one read. It returns *Moved if one of the segments has been
// replaced.
func (l *Log) ReadAll(positions []Position) ([][]byte, error) { return l.readers.readAll(positions) }

// Size returns the size of the log on disk, in bytes.
func (l *Log) Size() int64 { return l.size.Load() }

// OldestSegment returns the number of the oldest segment.
func (l *Log) OldestSegment() uint64 { return l.oldestSegment.Load() }

func (l *Log) enqueue(request *appendRequest, records [][]byte) (wait func() error) {
	request.done = make(chan error, 1)
	for _, record := range records {
		request.frames = appendFrame(request.frames, record)
		request.recordLengths = append(request.recordLengths, len(record))
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return func() error { return &failure.DiskFailed{Cause: io.ErrClosedPipe} }
	}
	l.pending = append(l.pending, request)
	l.pendingChanged.Signal()
	return func() error { return <-request.done }
}

// Close writes pending appends and closes the log.
func (l *Log) Close() {
	l.mutex.Lock()
	l.closed = true
	l.pendingChanged.Signal()
	l.mutex.Unlock()
	<-l.writerDone
}
