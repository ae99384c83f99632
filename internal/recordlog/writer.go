package recordlog

import (
	"io"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// runWriter writes pending appends in batches, with one write and one sync per batch.
func (l *Log) runWriter() {
	defer close(l.writerDone)
	for {
		batch := l.nextBatch()
		if batch == nil {
			l.readers.closeAll()
			return
		}
		started := time.Now()
		l.writingSince.Store(&started)
		err := l.writeBatch(batch)
		l.writingSince.Store(nil)
		for _, request := range batch {
			request.done <- err
		}
	}
}

// nextBatch waits for pending appends and returns the next batch, or nil once the log is closed
// and no appends are pending. A segment replacement is a batch of its own.
func (l *Log) nextBatch() []*appendRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.pending) == 0 && !l.closed {
		l.pendingChanged.Wait()
	}
	size, count := 0, 0
	for count < len(l.pending) && (count == 0 || size+len(l.pending[count].frames) <= maxBatchBytes) {
		replaces := l.pending[count].replacedSegment != 0
		if replaces && count > 0 {
			break
		}
		size += len(l.pending[count].frames)
		count++
		if replaces {
			break
		}
	}
	if count == 0 {
		return nil
	}
	batch := l.pending[:count:count]
	l.pending = l.pending[count:]
	return batch
}

// writeBatch writes and syncs the appends that failed earlier, then the batch, and removes the
// segment that the batch replaces.
func (l *Log) writeBatch(batch []*appendRequest) error {
	if l.permanentFailure != nil {
		return l.permanentFailure
	}
	replacedSegment := batch[0].replacedSegment
	requests := append(l.unwritten, batch...)
	err := l.writeRequests(requests, replacedSegment)
	if err != nil {
		if replacedSegment == 0 {
			l.setUnwritten(requests)
		}
		return err
	}
	l.setUnwritten(nil)
	return l.removeSegment(replacedSegment)
}

// setUnwritten stores failed appends to be retried with the next batch.
func (l *Log) setUnwritten(failed []*appendRequest) {
	l.unwritten = nil
	var bytes int64
	for _, request := range failed {
		if len(request.frames) > 0 {
			l.unwritten = append(l.unwritten, request)
			bytes += int64(len(request.frames))
		}
	}
	l.unwrittenBytes.Store(bytes)
}

// writeRequests writes and syncs requests, and reports the positions of their records.
func (l *Log) writeRequests(requests []*appendRequest, replacedSegment uint64) error {
	var data []byte
	for _, request := range requests {
		data = append(data, request.frames...)
	}
	if len(data) == 0 && replacedSegment == 0 {
		return nil
	}
	if l.endOffset >= segmentBytes || replacedSegment == l.currentSegment.Load() {
		if err := l.rotate(); err != nil {
			return &failure.DiskFailed{Cause: err}
		}
	}
	offset := l.endOffset
	if err := l.appendFrames(data); err != nil {
		return err
	}
	for _, request := range requests {
		positions := request.positions(l.currentSegment.Load(), offset)
		offset += int64(len(request.frames))
		if request.onWritten != nil {
			request.onWritten(positions)
		}
	}
	return nil
}

// positions returns the positions of the records if their frames start at offset.
func (r *appendRequest) positions(segment uint64, offset int64) []Position {
	positions := make([]Position, 0, len(r.recordLengths))
	for _, length := range r.recordLengths {
		positions = append(positions, Position{Segment: segment, Offset: offset, Length: length})
		offset += int64(headerBytes + length)
	}
	return positions
}

// appendFrames writes frames to the end of the current segment and syncs it.
func (l *Log) appendFrames(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := l.currentFile.Write(data); err != nil {
		l.truncateFailedWrite()
		return &failure.DiskFailed{Cause: err}
	}
	if err := l.currentFile.Sync(); err != nil {
		// After a failed sync the content on the disk is unknown, so the log accepts no more
		// appends.
		l.fail(err)
		return l.permanentFailure
	}
	l.recordWrite()
	l.endOffset += int64(len(data))
	l.segments[len(l.segments)-1].bytes = l.endOffset
	l.size.Add(int64(len(data)))
	return nil
}

// truncateFailedWrite removes the bytes of a failed write, because a later record must not
// follow a torn frame.
func (l *Log) truncateFailedWrite() {
	if err := l.currentFile.Truncate(l.endOffset); err != nil {
		l.fail(err)
		return
	}
	if _, err := l.currentFile.Seek(l.endOffset, io.SeekStart); err != nil {
		l.fail(err)
	}
}

// fail makes the log refuse all further appends.
func (l *Log) fail(cause error) {
	l.permanentFailure = &failure.DiskFailed{Cause: cause}
	close(l.failed)
}

// removeSegment removes a segment whose records are expired or were copied to another segment.
// The file may reappear after a power loss. That is harmless: its records are read again.
func (l *Log) removeSegment(number uint64) error {
	for i, each := range l.segments {
		if each.number != number {
			continue
		}
		l.segments = append(l.segments[:i], l.segments[i+1:]...)
		l.size.Add(-each.bytes)
		l.readers.remove(number)
		l.publishSegmentRange()
		if err := l.fileSystem.Remove(segmentName(number)); err != nil {
			return &failure.DiskFailed{Cause: err}
		}
		return nil
	}
	return nil
}
