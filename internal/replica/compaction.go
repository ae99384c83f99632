package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
)

// compact drops the expired records of groups with a single member. While the log is much larger than the
// live records, it rewrites the live records of the oldest segment.
func (s *state) compact(now time.Time) error {
	s.expireWithoutPeers(now)
	for range maxSegmentsPerCompaction {
		size, live := s.log.Size(), s.liveBytes()
		if size < s.minCompactBytes || size < maxLogToLiveRatio*live {
			return nil
		}
		if err := s.compactSegment(s.log.OldestSegment()); err != nil {
			return err
		}
	}
	return nil
}

// liveBytes returns the size of the live records of all partitions.
func (s *state) liveBytes() (live int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, partition := range s.partitions {
		live += partition.store.Bytes()
	}
	return live
}

// compactSegment writes the live records of a segment, and all records outside the turn stores, to
// the end of the log and then deletes the segment.
func (s *state) compactSegment(segment uint64) error {
	var places []recordlog.Position
	var refs []recordRef
	s.mutex.Lock()
	for number, partition := range s.partitions {
		for _, stored := range partition.store.In(segment) {
			places = append(places, stored.Place)
			refs = append(refs, recordRef{partition: number, position: stored.Position()})
		}
	}
	s.mutex.Unlock()
	encoded, err := s.log.ReadAll(places)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	for _, record := range s.metadataRecords() {
		data, err := proto.Marshal(record)
		if err != nil {
			s.mutex.Unlock()
			return &failure.Internal{Cause: err}
		}
		encoded = append(encoded, data)
		refs = append(refs, recordRef{position: noPosition})
	}
	wait := s.log.ReplaceSegment(segment, s.placeRecorder(refs), encoded...)
	s.mutex.Unlock()
	return wait()
}
