package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
)

// compact drops what has expired. While the log holds much more than what is
// live, it writes what is live in its oldest segment anew.
func (s *state) compact(now time.Time) error {
	s.mutex.Lock()
	for _, each := range s.partitions {
		each.store.Expire(now)
	}
	s.mutex.Unlock()
	for range maxCompacted {
		size, live := s.log.Size(), s.liveBytes()
		if size < s.compactFrom || size < compactFactor*live {
			return nil
		}
		if err := s.compactSegment(s.log.OldestSegment()); err != nil {
			return err
		}
	}
	return nil
}

// liveBytes returns the size of the records of all partitions.
func (s *state) liveBytes() (live int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.partitions {
		live += each.store.Bytes()
	}
	return live
}

// compactSegment writes what is live in a segment, and everything that is not
// a store's, to the end of the log, and gives the segment's space back.
func (s *state) compactSegment(segment uint64) error {
	var places []recordlog.Position
	var written []placedRecord
	s.mutex.Lock()
	for partition, each := range s.partitions {
		for _, live := range each.store.In(segment) {
			places = append(places, live.Place)
			written = append(written, placedRecord{partition: partition, position: live.Position()})
		}
	}
	s.mutex.Unlock()
	encoded, err := s.log.ReadAll(places)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	for _, record := range s.ownRecords() {
		data, err := proto.Marshal(record)
		if err != nil {
			s.mutex.Unlock()
			return &failure.Internal{Cause: err}
		}
		encoded = append(encoded, data)
		written = append(written, placedRecord{position: noPosition})
	}
	wait := s.log.ReplaceSegment(segment, s.placed(written), encoded...)
	s.mutex.Unlock()
	return wait()
}
