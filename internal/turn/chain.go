package turn

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// chain is all turns that go on, directly or not, from one first turn, as far as they are known here. A replica has
// gaps in it: the turns that were written to other replicas.
type chain struct {
	// id is that of the first turn. Of a chain with turns of earlier versions, which do not name it, it is the id of
	// the oldest turn that is known to precede them.
	id    string
	usage usage
	// turns counts the turns that are known here.
	turns int
}

// addTurn adds a turn, uses its chain, and reports whether the turn was new.
func (s *Store) addTurn(now time.Time, added *replicav1.Turn) bool {
	known := s.turns[added.Id]
	if known != nil {
		known.chain.usage.lastUse = now
		return false
	}
	belongsTo := s.chainNamed(s.chainID(added))
	belongsTo.usage.lastUse = now
	belongsTo.turns++
	s.turns[added.Id] = &keptTurn{Kept: Kept{Turn: added}, chain: belongsTo}
	s.adoptPredecessors(added.Previous, belongsTo)
	return true
}

// chainID returns the id of a turn's chain. A turn of an earlier version does not name it.
func (s *Store) chainID(added *replicav1.Turn) string {
	switch previous := s.turns[added.Previous]; {
	case added.Chain != "":
		return added.Chain
	case added.Previous == "":
		return added.Id
	case previous != nil:
		return previous.chain.id
	}
	return added.Previous
}

// adoptPredecessors moves a turn and those before it to a chain. Only turns of earlier versions can belong to another
// one.
func (s *Store) adoptPredecessors(id string, to *chain) {
	for found := s.turns[id]; found != nil && found.chain != to; found = s.turns[found.Previous] {
		to.usage.retention = max(to.usage.retention, found.chain.usage.retention)
		to.turns++
		s.leaveChain(found.chain)
		found.chain = to
	}
}

// chainNamed returns the chain with an id, and begins it if it is not known.
func (s *Store) chainNamed(id string) *chain {
	found := s.chains[id]
	if found == nil {
		found = &chain{id: id}
		s.chains[id] = found
	}
	return found
}

// leaveChain takes one turn off a chain, which ends with its last turn.
func (s *Store) leaveChain(left *chain) {
	left.turns--
	if left.turns == 0 {
		delete(s.chains, left.id)
	}
}

// removeTurn removes a turn.
func (s *Store) removeTurn(id string) {
	removed := s.turns[id]
	delete(s.turns, id)
	s.leaveChain(removed.chain)
}
