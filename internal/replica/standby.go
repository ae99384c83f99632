package replica

import "github.com/barleyshelf/barleyshelf/internal/directory"

const (
	// initialStandbyQueries is the number of standbys queried in the first round. Some of them may
	// be affected by the same failure as the member that they would replace.
	initialStandbyQueries = 3
	// maxStandbyQueries bounds the standbys queried per round. At reconcileInterval, 24 of them
	// cause 80 small calls a second for as long as a seat is empty.
	maxStandbyQueries = 24
	// growthQueryPeriod is the number of rounds per query for a group that has all desired seats.
	// Such a group finds a new standby long before the users rely on it, and nodes that are gone
	// cost few calls.
	growthQueryPeriod = 3
)

// standbySearch selects the standbys to query. It has no side effects and is not safe for
// concurrent use.
//
// Machines that are gone stay registered, and only an answer distinguishes them from running ones.
// Each round therefore queries other nodes than the previous one, and twice as many. A search that
// repeatedly queried only the best candidates left seats empty forever after three machines of a
// zone were gone, and the next disk loss ended service.
type standbySearch struct {
	// queried is the number of nodes queried since the search started, and width the number queried
	// in the last round, by partition.
	queried, width map[uint32]int
	// growthChecks counts the rounds in which the group had all desired seats, by partition.
	growthChecks map[uint32]int
}

func newStandbySearch() *standbySearch {
	return &standbySearch{queried: make(map[uint32]int), width: make(map[uint32]int), growthChecks: make(map[uint32]int)}
}

// next returns the nodes to query now: healthy candidates, whose status must stay fresh, and the
// next ones of the others. candidates are the nodes that could take a seat.
func (s *standbySearch) next(partition uint32, candidates []directory.Replica, isHealthy func(node string) bool) (chosen []directory.Replica) {
	var unresponsive []directory.Replica
	for _, node := range candidates {
		switch {
		case !isHealthy(node.Node):
			unresponsive = append(unresponsive, node)
		case len(chosen) < initialStandbyQueries:
			chosen = append(chosen, node)
		}
	}
	width := min(max(initialStandbyQueries, 2*s.width[partition]), maxStandbyQueries)
	s.width[partition] = width
	for range min(width, len(unresponsive)) {
		chosen = append(chosen, unresponsive[s.queried[partition]%len(unresponsive)])
		s.queried[partition]++
	}
	return chosen
}

// growthDue reports whether to query standbys in this round for a group that has all desired seats.
func (s *standbySearch) growthDue(partition uint32) bool {
	s.growthChecks[partition]++
	return s.growthChecks[partition]%growthQueryPeriod == 0
}

// reset ends a search because no seat has to be filled.
func (s *standbySearch) reset(partition uint32) {
	delete(s.queried, partition)
	delete(s.width, partition)
}
