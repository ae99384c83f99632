package replica

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

// turnChain returns a turn and its predecessors with their contents, the newest first, as far as
// they are stored here. It fails if the turn itself is stored here but unreadable, because that
// does not prove its absence. An unreadable predecessor ends the chain.
func (s *state) turnChain(partition uint32, id string) ([]*replicav1.Turn, error) {
	s.mutex.Lock()
	stored := s.partition(partition).store.Chain(id)
	s.mutex.Unlock()
	turns := make([]*replicav1.Turn, 0, len(stored))
	for _, entry := range stored {
		full, err := s.loadTurn(partition, entry)
		if err != nil {
			eventUnreadable.Log("turn", entry.Id, "cause", err.Error())
			if len(turns) == 0 {
				return nil, err
			}
			break
		}
		turns = append(turns, full)
	}
	return turns, nil
}

// loadTurn reads the contents of a turn. If its segment was deleted by a compaction, the turn is
// looked up at its new place.
func (s *state) loadTurn(partition uint32, stored turn.Kept) (*replicav1.Turn, error) {
	for attempt := 1; ; attempt++ {
		if stored.Place.IsZero() {
			return stored.Turn, nil
		}
		data, err := s.log.Read(stored.Place)
		if err == nil {
			record, err := decodeTurn(data, stored.Place)
			return record.GetTurn(), err
		}
		var moved *recordlog.Moved
		if !errors.As(err, &moved) || attempt == maxReadAttempts {
			return nil, err
		}
		s.mutex.Lock()
		if found := s.partition(partition).store.Chain(stored.Id); len(found) > 0 {
			stored = found[0]
		}
		s.mutex.Unlock()
	}
}

// decodeTurn decodes a turn record from the log.
func decodeTurn(data []byte, at recordlog.Position) (*replicav1.Record, error) {
	record, err := decodeRecord(data, at)
	if err == nil && record.GetTurn() == nil {
		return nil, &recordlog.Damaged{Offset: at.Offset}
	}
	return record, err
}

// decodeRecord decodes a record from the log.
func decodeRecord(data []byte, at recordlog.Position) (*replicav1.Record, error) {
	record := &replicav1.Record{}
	if err := proto.Unmarshal(data, record); err != nil {
		return nil, &recordlog.Damaged{Offset: at.Offset}
	}
	return record, nil
}

// recordsAfter returns records of a partition, from a position on, of about limit bytes.
func (s *state) recordsAfter(partition uint32, position uint64, limit int) (records []*replicav1.Record, next uint64, more bool, err error) {
	for attempt := 1; ; attempt++ {
		s.mutex.Lock()
		found, next, more := s.partition(partition).store.After(position, limit)
		s.mutex.Unlock()
		records, err := s.loadRecords(found)
		if err == nil {
			return records, next, more, nil
		}
		var moved *recordlog.Moved
		if !errors.As(err, &moved) || attempt == maxReadAttempts {
			return nil, position, true, err
		}
	}
}

// loadRecords returns records that may lie in the log.
func (s *state) loadRecords(found []turn.Stored) ([]*replicav1.Record, error) {
	var places []recordlog.Position
	for _, stored := range found {
		if stored.Record == nil {
			places = append(places, stored.Place)
		}
	}
	encoded, err := s.log.ReadAll(places)
	if err != nil {
		return nil, err
	}
	records := make([]*replicav1.Record, 0, len(found))
	for _, stored := range found {
		record := stored.Record
		if record == nil {
			if record, err = decodeRecord(encoded[0], stored.Place); err != nil {
				return nil, err
			}
			encoded = encoded[1:]
		}
		records = append(records, record)
	}
	return records, nil
}
