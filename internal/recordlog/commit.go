package recordlog

import (
	"io"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// write serves the appends: one write and one sync for all that wait.
func (l *Log) write() {
	defer close(l.done)
	for {
		batch := l.next()
		if batch == nil {
			l.readers.closeAll()
			return
		}
		err := l.commit(batch)
		for _, one := range batch {
			one.done <- err
		}
	}
}

// next waits for appends. One that replaces a segment makes a batch of its own.
func (l *Log) next() []*request {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.pending) == 0 && !l.closed {
		l.wake.Wait()
	}
	size, count := 0, 0
	for count < len(l.pending) && (count == 0 || size+len(l.pending[count].frames) <= maxBatchBytes) {
		replaces := l.pending[count].replaced != 0
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

// commit writes a batch, after the appends that failed before it, syncs it, and
// removes the segment that it replaces.
func (l *Log) commit(batch []*request) error {
	if l.failed != nil {
		return l.failed
	}
	replaced := batch[0].replaced
	due := append(l.owed, batch...)
	err := l.writeAll(due, replaced)
	if err != nil {
		if replaced == 0 {
			l.owe(due)
		}
		return err
	}
	l.owe(nil)
	return l.remove(replaced)
}

// owe keeps failed appends for the next write.
func (l *Log) owe(failed []*request) {
	l.owed = nil
	var bytes int64
	for _, one := range failed {
		if len(one.frames) > 0 {
			l.owed = append(l.owed, one)
			bytes += int64(len(one.frames))
		}
	}
	l.owedBytes.Store(bytes)
}

// writeAll writes and syncs requests, and tells where their records lie.
func (l *Log) writeAll(due []*request, replaced uint64) error {
	var data []byte
	for _, one := range due {
		data = append(data, one.frames...)
	}
	if len(data) == 0 && replaced == 0 {
		return nil
	}
	if l.offset >= segmentBytes || replaced == l.current.Load() {
		if err := l.rotate(); err != nil {
			return &failure.DiskFailed{Cause: err}
		}
	}
	begin := l.offset
	if err := l.append(data); err != nil {
		return err
	}
	for _, one := range due {
		places := one.places(l.current.Load(), begin)
		begin += int64(len(one.frames))
		if one.placed != nil {
			one.placed(places)
		}
	}
	return nil
}

// places returns where the records lie if the frames begin at an offset.
func (r *request) places(segment uint64, offset int64) []Position {
	places := make([]Position, 0, len(r.lengths))
	for _, length := range r.lengths {
		places = append(places, Position{Segment: segment, Offset: offset, Length: length})
		offset += int64(headerBytes + length)
	}
	return places
}

// append writes frames at the end and syncs them.
func (l *Log) append(data []byte) error {
	if len(data) == 0 {
		return nil
	}
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
	l.segments[len(l.segments)-1].bytes = l.offset
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

// remove removes a segment whose records are not needed, or lie elsewhere. A
// loss of power may bring it back: its records are then read again without harm.
func (l *Log) remove(number uint64) error {
	for i, each := range l.segments {
		if each.number != number {
			continue
		}
		l.segments = append(l.segments[:i], l.segments[i+1:]...)
		l.size.Add(-each.bytes)
		l.readers.remove(number)
		l.publish()
		if err := l.files.Remove(segmentName(number)); err != nil {
			return &failure.DiskFailed{Cause: err}
		}
		return nil
	}
	return nil
}
