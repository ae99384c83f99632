package recordlog

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"sort"
	"strings"
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

const (
	segmentSuffix = ".log"
	// headerBytes is the size of a frame's header: the record's length and checksum.
	headerBytes = 8
	// maxFrameBytes is the maximum length of a record; a longer length means that the frame is damaged.
	maxFrameBytes = 64 << 20
	// segmentBytes is the size after which a new segment starts. Opening the log reads one
	// whole segment into memory at a time.
	segmentBytes = 4 << 20
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Position locates a record in the log. The zero value is no position.
type Position struct {
	// Segment is the number of the segment, starting at 1.
	Segment uint64
	// Offset is the offset of the record's frame in the segment, in bytes.
	Offset int64
	// Length is the length of the record without its frame header, in bytes.
	Length int
}

// IsZero reports whether p is no position.
func (p Position) IsZero() bool { return p.Segment == 0 }

// appendFrame appends a record and its header to frames.
func appendFrame(frames, record []byte) []byte {
	frames = binary.LittleEndian.AppendUint32(frames, uint32(len(record)))
	frames = binary.LittleEndian.AppendUint32(frames, crc32.Checksum(record, checksumTable))
	return append(frames, record...)
}

// decodeFrame returns the record of the frame at the start of data. valid reports whether the
// frame is complete and its checksum matches.
func decodeFrame(data []byte) (record []byte, valid bool) {
	if len(data) < headerBytes {
		return nil, false
	}
	length := int(binary.LittleEndian.Uint32(data))
	sum := binary.LittleEndian.Uint32(data[4:])
	if length == 0 || length > maxFrameBytes || len(data)-headerBytes < length {
		return nil, false
	}
	record = data[headerBytes : headerBytes+length]
	return record, crc32.Checksum(record, checksumTable) == sum
}

// scanFrames calls visit for each valid frame at the start of data, with its record and offset,
// and returns the length of the valid part.
func scanFrames(data []byte, visit func(record []byte, offset int64) error) (int64, error) {
	var validBytes int64
	for {
		record, valid := decodeFrame(data[validBytes:])
		if !valid {
			return validBytes, nil
		}
		if err := visit(record, validBytes); err != nil {
			return validBytes, err
		}
		validBytes += int64(headerBytes + len(record))
	}
}

func segmentName(number uint64) string { return fmt.Sprintf("%016d%s", number, segmentSuffix) }

func segmentNumber(name string) (uint64, error) {
	var number uint64
	_, err := fmt.Sscanf(name, "%d"+segmentSuffix, &number)
	return number, err
}

// segmentNumbers returns the numbers of all segments in the data directory, oldest first.
func segmentNumbers(fileSystem FileSystem) ([]uint64, error) {
	names, err := fileSystem.List()
	if err != nil {
		return nil, &failure.DiskFailed{Cause: err}
	}
	var numbers []uint64
	for _, name := range names {
		if !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		number, err := segmentNumber(name)
		if err != nil {
			return nil, &failure.DiskFailed{Cause: err}
		}
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers, nil
}

// readSegment calls visit for each record of a segment and returns the length of its valid part.
// Only the last segment may end with a torn frame: every other segment was completely synced
// before the next one was created.
func readSegment(fileSystem FileSystem, number uint64, last bool, visit func([]byte, Position) error) (int64, error) {
	name := segmentName(number)
	data, err := fileSystem.Read(name)
	if err != nil {
		return 0, &failure.DiskFailed{Cause: err}
	}
	validBytes, err := scanFrames(data, func(record []byte, offset int64) error {
		return visit(record, Position{Segment: number, Offset: offset, Length: len(record)})
	})
	if err != nil {
		return 0, err
	}
	if validBytes < int64(len(data)) && !last {
		return 0, &Damaged{Segment: name, Offset: validBytes}
	}
	return validBytes, nil
}

// segmentReaders holds the readers of all open segments, by segment number.
type segmentReaders struct {
	mutex     sync.RWMutex
	bySegment map[uint64]Reader
}

func (r *segmentReaders) add(number uint64, reader Reader) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bySegment[number] = reader
}

// remove closes the reader of a segment. Reads in progress fail.
func (r *segmentReaders) remove(number uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if found := r.bySegment[number]; found != nil {
		found.Close()
		delete(r.bySegment, number)
	}
}

func (r *segmentReaders) closeAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, reader := range r.bySegment {
		reader.Close()
	}
	clear(r.bySegment)
}

// Moved reports a position whose segment was removed: the record has another position now, or
// has expired.
type Moved struct {
	Position Position
}

func (e *Moved) Error() string {
	return fmt.Sprintf("segment %d, which held the record, is gone", e.Position.Segment)
}

// Type returns "record_moved".
func (e *Moved) Type() failure.Type { return "record_moved" }

// Outcome returns NotRun.
func (e *Moved) Outcome() failure.Outcome { return failure.NotRun }

// Retry allows a retry at the record's current position.
func (e *Moved) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// readBytes reads length bytes starting at a position.
func (r *segmentReaders) readBytes(position Position, length int64) ([]byte, error) {
	reader := r.get(position.Segment)
	if reader == nil {
		return nil, &Moved{Position: position}
	}
	data := make([]byte, length)
	if _, err := reader.ReadAt(data, position.Offset); err != nil {
		if r.get(position.Segment) == nil {
			return nil, &Moved{Position: position}
		}
		return nil, &failure.DiskFailed{Cause: err}
	}
	return data, nil
}

func (r *segmentReaders) get(segment uint64) Reader {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.bySegment[segment]
}

const (
	// maxSpanBytes limits the size of one read. maxGapBytes limits the unrequested bytes between
	// two records that share a read.
	maxSpanBytes = 1 << 20
	maxGapBytes  = 32 << 10
)

// readAll returns the records at the positions, in the order given. Successive positions that
// are close together share one read, because each read has a fixed cost on a disk.
func (r *segmentReaders) readAll(positions []Position) ([][]byte, error) {
	records := make([][]byte, 0, len(positions))
	for len(positions) > 0 {
		count := countInSpan(positions)
		found, err := r.readSpan(positions[:count])
		if err != nil {
			return nil, err
		}
		records, positions = append(records, found...), positions[count:]
	}
	return records, nil
}

// countInSpan returns how many of the leading positions share one read.
func countInSpan(positions []Position) int {
	first := positions[0]
	for i := 1; i < len(positions); i++ {
		previous, next := positions[i-1], positions[i]
		gap := next.Offset - previous.endOffset()
		if next.Segment != first.Segment || gap < 0 || gap > maxGapBytes || next.endOffset()-first.Offset > maxSpanBytes {
			return i
		}
	}
	return len(positions)
}

// endOffset returns the offset of the first byte after the record.
func (p Position) endOffset() int64 { return p.Offset + int64(headerBytes+p.Length) }

// readSpan reads records of one segment with a single read.
func (r *segmentReaders) readSpan(positions []Position) ([][]byte, error) {
	first, last := positions[0], positions[len(positions)-1]
	data, err := r.readBytes(first, last.endOffset()-first.Offset)
	if err != nil {
		return nil, err
	}
	records := make([][]byte, 0, len(positions))
	for _, position := range positions {
		record, valid := decodeFrame(data[position.Offset-first.Offset : position.endOffset()-first.Offset])
		if !valid || len(record) != position.Length {
			return nil, &Damaged{Segment: segmentName(position.Segment), Offset: position.Offset}
		}
		records = append(records, record)
	}
	return records, nil
}
