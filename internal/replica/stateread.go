package replica

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

// chain returns a turn and those before it, whole, the newest first, as far as
// they are here. It fails where the turn is here and cannot be read: that is no
// proof that it does not exist. A turn before it that cannot be read ends the
// chain.
func (s *state) chain(partition uint32, id string) ([]*replicav1.Turn, error) {
	s.mutex.Lock()
	kept := s.partition(partition).store.Chain(id)
	s.mutex.Unlock()
	turns := make([]*replicav1.Turn, 0, len(kept))
	for _, each := range kept {
		whole, err := s.load(partition, each)
		if err != nil {
			eventUnreadable.Log("turn", each.Id, "cause", err.Error())
			if len(turns) == 0 {
				return nil, err
			}
			break
		}
		turns = append(turns, whole)
	}
	return turns, nil
}

// load reads what a turn says. One whose segment was given back lies elsewhere.
func (s *state) load(partition uint32, kept turn.Kept) (*replicav1.Turn, error) {
	for try := 1; ; try++ {
		if kept.Place.IsZero() {
			return kept.Turn, nil
		}
		data, err := s.log.Read(kept.Place)
		if err == nil {
			record, err := decodeTurn(data, kept.Place)
			return record.GetTurn(), err
		}
		var moved *recordlog.Moved
		if !errors.As(err, &moved) || try == maxReads {
			return nil, err
		}
		s.mutex.Lock()
		if found := s.partition(partition).store.Chain(kept.Id); len(found) > 0 {
			kept = found[0]
		}
		s.mutex.Unlock()
	}
}

// decodeTurn reads a turn's record as the log has it.
func decodeTurn(data []byte, at recordlog.Position) (*replicav1.Record, error) {
	record := &replicav1.Record{}
	if err := proto.Unmarshal(data, record); err != nil || record.GetTurn() == nil {
		return nil, &recordlog.Damaged{Offset: at.Offset}
	}
	return record, nil
}

// after returns whole records of a partition from a position on, up to about limit
// bytes.
func (s *state) after(partition uint32, position uint64, limit int) (records []*replicav1.Record, next uint64, more bool, err error) {
	for try := 1; ; try++ {
		s.mutex.Lock()
		found, next, more := s.partition(partition).store.After(position, limit)
		s.mutex.Unlock()
		records, err := s.loadAll(found)
		if err == nil {
			return records, next, more, nil
		}
		var moved *recordlog.Moved
		if !errors.As(err, &moved) || try == maxReads {
			return nil, position, true, err
		}
	}
}

// loadAll returns records with what their turns say.
func (s *state) loadAll(found []turn.Stored) ([]*replicav1.Record, error) {
	var places []recordlog.Position
	for _, each := range found {
		if each.GetTurn() != nil && !each.Place.IsZero() {
			places = append(places, each.Place)
		}
	}
	encoded, err := s.log.ReadAll(places)
	if err != nil {
		return nil, err
	}
	records := make([]*replicav1.Record, 0, len(found))
	for _, each := range found {
		record := each.Record
		if record.GetTurn() != nil && !each.Place.IsZero() {
			if record, err = decodeTurn(encoded[0], each.Place); err != nil {
				return nil, err
			}
			encoded = encoded[1:]
		}
		records = append(records, record)
	}
	return records, nil
}
