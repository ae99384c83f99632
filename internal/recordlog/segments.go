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
	// headerBytes is a frame's length and checksum.
	headerBytes = 8
	// maxFrameBytes bounds a record; a longer length is damage.
	maxFrameBytes = 64 << 20
	// segmentBytes is the size after which a new segment begins. One segment is
	// read into memory at a time when the log is opened.
	segmentBytes = 4 << 20
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// Position is where a record lies in the log. The zero value is no place.
type Position struct {
	// Segment is the number of the segment, from 1.
	Segment uint64
	// Offset is that of the record's frame, in bytes.
	Offset int64
	// Length is that of the record without its frame's header, in bytes.
	Length int
}

// IsZero reports whether p is no place.
func (p Position) IsZero() bool { return p.Segment == 0 }

// frame appends a record with its header.
func frame(to, record []byte) []byte {
	to = binary.LittleEndian.AppendUint32(to, uint32(len(record)))
	to = binary.LittleEndian.AppendUint32(to, crc32.Checksum(record, checksums))
	return append(to, record...)
}

// unframe returns the record of the frame at the start of data, if it is whole.
func unframe(data []byte) (record []byte, whole bool) {
	if len(data) < headerBytes {
		return nil, false
	}
	length := int(binary.LittleEndian.Uint32(data))
	sum := binary.LittleEndian.Uint32(data[4:])
	if length == 0 || length > maxFrameBytes || len(data)-headerBytes < length {
		return nil, false
	}
	record = data[headerBytes : headerBytes+length]
	return record, crc32.Checksum(record, checksums) == sum
}

// frames passes the records at the start of data on, with their offsets, and
// returns the length of that good part.
func frames(data []byte, take func(record []byte, offset int64) error) (int64, error) {
	var good int64
	for {
		record, whole := unframe(data[good:])
		if !whole {
			return good, nil
		}
		if err := take(record, good); err != nil {
			return good, err
		}
		good += int64(headerBytes + len(record))
	}
}

func segmentName(number uint64) string { return fmt.Sprintf("%016d%s", number, segmentSuffix) }

func segmentNumber(name string) (uint64, error) {
	var number uint64
	_, err := fmt.Sscanf(name, "%d"+segmentSuffix, &number)
	return number, err
}

// segmentNumbers returns the numbers of the segments in a folder, oldest first.
func segmentNumbers(files FileSystem) ([]uint64, error) {
	names, err := files.List()
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

// readSegment passes the records of one segment on and returns the length of its
// good part. Only the last segment may end torn: each other one was synced whole
// before the next began.
func readSegment(files FileSystem, number uint64, last bool, take func([]byte, Position) error) (int64, error) {
	name := segmentName(number)
	data, err := files.Read(name)
	if err != nil {
		return 0, &failure.DiskFailed{Cause: err}
	}
	good, err := frames(data, func(record []byte, offset int64) error {
		return take(record, Position{Segment: number, Offset: offset, Length: len(record)})
	})
	if err != nil {
		return 0, err
	}
	if good < int64(len(data)) && !last {
		return 0, &Damaged{Segment: name, Offset: good}
	}
	return good, nil
}

// readers are the segments that are open for reading, by number.
type readers struct {
	mutex sync.RWMutex
	open  map[uint64]Reader
}

func (r *readers) add(number uint64, reader Reader) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.open[number] = reader
}

// remove closes a segment. A read that is under way fails.
func (r *readers) remove(number uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if found := r.open[number]; found != nil {
		found.Close()
		delete(r.open, number)
	}
}

func (r *readers) closeAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, reader := range r.open {
		reader.Close()
	}
	clear(r.open)
}

// Moved reports a place whose segment is gone: the record lies elsewhere now, or
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

// Retry allows another try at the record's present place.
func (e *Moved) Retry() failure.Retry { return failure.Retry{Allowed: true} }

// readBytes reads length bytes from the beginning of a place on.
func (r *readers) readBytes(at Position, length int64) ([]byte, error) {
	reader := r.of(at.Segment)
	if reader == nil {
		return nil, &Moved{Position: at}
	}
	data := make([]byte, length)
	if _, err := reader.ReadAt(data, at.Offset); err != nil {
		if r.of(at.Segment) == nil {
			return nil, &Moved{Position: at}
		}
		return nil, &failure.DiskFailed{Cause: err}
	}
	return data, nil
}

func (r *readers) of(segment uint64) Reader {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.open[segment]
}

const (
	// maxSpanBytes bounds one read, and maxGapBytes what is read between two
	// records that nobody asked for.
	maxSpanBytes = 1 << 20
	maxGapBytes  = 32 << 10
)

// readAll returns the records at places. Those that lie close to each other, in
// the order given, come with one read: each read has its price on a disk.
func (r *readers) readAll(places []Position) ([][]byte, error) {
	records := make([][]byte, 0, len(places))
	for len(places) > 0 {
		count := spanLength(places)
		found, err := r.readSpan(places[:count])
		if err != nil {
			return nil, err
		}
		records, places = append(records, found...), places[count:]
	}
	return records, nil
}

// spanLength returns how many of the first places are read at once.
func spanLength(places []Position) int {
	first := places[0]
	for i := 1; i < len(places); i++ {
		before, next := places[i-1], places[i]
		gap := next.Offset - before.end()
		if next.Segment != first.Segment || gap < 0 || gap > maxGapBytes || next.end()-first.Offset > maxSpanBytes {
			return i
		}
	}
	return len(places)
}

// end returns the offset after the record.
func (p Position) end() int64 { return p.Offset + int64(headerBytes+p.Length) }

// readSpan reads records of one segment with one read.
func (r *readers) readSpan(places []Position) ([][]byte, error) {
	first, last := places[0], places[len(places)-1]
	data, err := r.readBytes(first, last.end()-first.Offset)
	if err != nil {
		return nil, err
	}
	records := make([][]byte, 0, len(places))
	for _, at := range places {
		record, whole := unframe(data[at.Offset-first.Offset : at.end()-first.Offset])
		if !whole || len(record) != at.Length {
			return nil, &Damaged{Segment: segmentName(at.Segment), Offset: at.Offset}
		}
		records = append(records, record)
	}
	return records, nil
}
