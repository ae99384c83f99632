package replication

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// leadershipNotifier calls OnLeadershipChange in order from its own goroutine.
// The callback may therefore call the host.
type leadershipNotifier struct {
	callback func(shard structs.ShardID, leading bool, term uint64)
	mutex    sync.Mutex
	queue    []leadershipChange
	wake     chan struct{}
	closing  chan struct{}
}

// leadershipChange holds the arguments of one OnLeadershipChange call.
type leadershipChange struct {
	shard   structs.ShardID
	leading bool
	term    uint64
}

func newLeadershipNotifier(call func(structs.ShardID, bool, uint64)) *leadershipNotifier {
	return &leadershipNotifier{callback: call, wake: make(chan struct{}, 1), closing: make(chan struct{})}
}

func (n *leadershipNotifier) enqueue(change leadershipChange) {
	if n.callback == nil {
		return
	}
	n.mutex.Lock()
	n.queue = append(n.queue, change)
	n.mutex.Unlock()
	signal(n.wake)
}

func (n *leadershipNotifier) run() {
	for {
		select {
		case <-n.closing:
			return
		case <-n.wake:
		}
		n.mutex.Lock()
		changes := n.queue
		n.queue = nil
		n.mutex.Unlock()
		for _, change := range changes {
			n.callback(change.shard, change.leading, change.term)
		}
	}
}

func (n *leadershipNotifier) stop() { close(n.closing) }

// signal wakes the receiver without blocking. Signals that are not received yet
// are merged.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
