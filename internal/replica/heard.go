package replica

import (
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// silentAfter is how long a node may say nothing before its seat may be given
// to another one.
const silentAfter = 2600 * time.Millisecond

// heard keeps what other nodes said last.
type heard struct {
	now   func() time.Time
	mutex sync.Mutex
	nodes map[string]lastWord
}

type lastWord struct {
	at time.Time
	// standings are those of the node's seats, by partition.
	standings map[uint32]heardStanding
}

type heardStanding struct {
	at       time.Time
	standing *replicav1.Standing
}

func newHeard(now func() time.Time) *heard {
	return &heard{now: now, nodes: make(map[string]lastWord)}
}

// note takes a sign of life.
func (h *heard) note(node string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	word := h.nodes[node]
	word.at = h.now()
	h.nodes[node] = word
}

// leave takes a node's word that it is to stop. What it said before says nothing any more; a
// node that starts again is heard anew.
func (h *heard) leave(node string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.nodes, node)
}

// noteStanding takes an answer that concerns a partition.
func (h *heard) noteStanding(node string, partition uint32, standing *replicav1.Standing) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	word := h.nodes[node]
	word.at = h.now()
	if word.standings == nil {
		word.standings = make(map[uint32]heardStanding)
	}
	word.standings[partition] = heardStanding{at: word.at, standing: standing}
	h.nodes[node] = word
}

// alive reports whether a node said something lately.
func (h *heard) alive(node string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	word, found := h.nodes[node]
	return found && h.now().Sub(word.at) < silentAfter
}

// settled reports whether a member of a partition's group has lately shown the epoch
// and that it is recovered.
func (h *heard) settled(node string, partition uint32, epoch uint64) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	last, found := h.nodes[node].standings[partition]
	return found && h.now().Sub(last.at) < silentAfter &&
		last.standing.Epoch == epoch && last.standing.Member && last.standing.Recovered
}
