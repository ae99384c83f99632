package replica

import (
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// silentAfter is how long a node may say nothing before its seat may be given
// to another one.
const silentAfter = 2600 * time.Millisecond

// lostAfter is how long a node may say nothing before its seat may be removed without a
// successor. With the exchange that follows it stays within the time after which the next disk
// may be lost, also where a node has come to a new seat meanwhile.
const lostAfter = silentAfter + 800*time.Millisecond

// ownPause is how long this process must have done nothing to have been paused itself.
const ownPause = 4 * reconcileEvery

// heard keeps what other nodes said last.
type heard struct {
	now func() time.Time
	// began is since when words are heard without a pause, looked when this process last looked.
	began, looked time.Time
	mutex         sync.Mutex
	nodes         map[string]lastWord
}

type lastWord struct {
	at time.Time
	// stopping is set where the word was that the node is to stop.
	stopping bool
	// keepsSystem is set where the node's process keeps the name of its system.
	keepsSystem bool
	// standings are those of the node's seats, by partition.
	standings map[uint32]heardStanding
}

type heardStanding struct {
	at       time.Time
	standing *replicav1.Standing
}

func newHeard(now func() time.Time) *heard {
	return &heard{now: now, began: now(), nodes: make(map[string]lastWord)}
}

// note takes a sign of life.
func (h *heard) note(node string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	word := h.nodes[node]
	word.at, word.stopping = h.now(), false
	h.nodes[node] = word
}

// leave takes a node's word that it is to stop. What it said before says nothing any more; a
// node that starts again is heard anew.
func (h *heard) leave(node string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.nodes[node] = lastWord{at: h.now(), stopping: true}
}

// noteStanding takes an answer that concerns a partition.
func (h *heard) noteStanding(node string, partition uint32, standing *replicav1.Standing) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	word := h.nodes[node]
	word.at, word.stopping = h.now(), false
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
	return found && !word.stopping && h.now().Sub(word.at) < silentAfter
}

// lost reports whether a node has said nothing for so long that it may be gone for good.
func (h *heard) lost(node string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	last := h.nodes[node].at
	if last.Before(h.began) {
		last = h.began
	}
	return h.now().Sub(last) >= lostAfter
}

// look notes that this process runs. After a pause of its own it knows of nobody's silence.
func (h *heard) look() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if !h.looked.IsZero() && now.Sub(h.looked) > ownPause {
		h.began = now
	}
	h.looked = now
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

// holdsRemovedSeat reports whether the member that a group has removed last has lately shown
// that it knows of that and still holds everything that its seat held.
func (h *heard) holdsRemovedSeat(group *replicav1.Group) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	last, found := h.nodes[group.Removed.GetNode()].standings[group.Partition]
	return found && h.now().Sub(last.at) < silentAfter && heldRemovedSeat(group, last.standing)
}

// noteKeepsSystem takes whether a node's process keeps the name of its system.
func (h *heard) noteKeepsSystem(node string, keeps bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	word := h.nodes[node]
	word.keepsSystem = keeps
	h.nodes[node] = word
}

// keepsSystem reports whether a node's process has shown that it keeps the name of its system.
func (h *heard) keepsSystem(node string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.nodes[node].keepsSystem
}
