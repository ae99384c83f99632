package replication

import (
	"sync"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// notifier calls OnLeadershipChange from a goroutine of its own, in order, so that
// the callee may call the host.
type notifier struct {
	call    func(shard structs.ShardID, leading bool, term uint64)
	mutex   sync.Mutex
	queue   []leadershipNotice
	wake    chan struct{}
	closing chan struct{}
}

type leadershipNotice struct {
	shard   structs.ShardID
	leading bool
	term    uint64
}

func newNotifier(call func(structs.ShardID, bool, uint64)) *notifier {
	return &notifier{call: call, wake: make(chan struct{}, 1), closing: make(chan struct{})}
}

func (n *notifier) notify(notice leadershipNotice) {
	if n.call == nil {
		return
	}
	n.mutex.Lock()
	n.queue = append(n.queue, notice)
	n.mutex.Unlock()
	signal(n.wake)
}

func (n *notifier) run() {
	for {
		select {
		case <-n.closing:
			return
		case <-n.wake:
		}
		n.mutex.Lock()
		notices := n.queue
		n.queue = nil
		n.mutex.Unlock()
		for _, notice := range notices {
			n.call(notice.shard, notice.leading, notice.term)
		}
	}
}

func (n *notifier) stop() { close(n.closing) }

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
