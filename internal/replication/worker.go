package replication

import (
	"slices"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// maxBatchBytes bounds the payload of a batch of more than one message.
const maxBatchBytes = 1 << 20

// workItem is a unit of work for a worker.
type workItem interface{ run(w *worker) }

// worker owns the replicas of some shards.
type worker struct {
	host  *Host
	mutex sync.Mutex
	inbox []workItem
	wake  chan struct{}
	// dirty holds the shards that must be processed, ticking those that need
	// ticks. Only the worker's goroutine uses them.
	dirty   map[*shard]bool
	ticking map[*shard]bool
	// outbox holds unsent messages by the incarnation of the receiver.
	outbox map[journal.MemberID][]*journalv1.Message
}

func newWorker(h *Host, _ uint64) *worker {
	return &worker{
		host: h, wake: make(chan struct{}, 1),
		dirty: map[*shard]bool{}, ticking: map[*shard]bool{},
		outbox: map[journal.MemberID][]*journalv1.Message{},
	}
}

func (w *worker) enqueue(item workItem) {
	w.mutex.Lock()
	w.inbox = append(w.inbox, item)
	w.mutex.Unlock()
	signal(w.wake)
}

func (w *worker) takeInbox() []workItem {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	items := w.inbox
	w.inbox = nil
	return items
}

// run processes work items until the host closes. The timer runs only while a
// shard needs ticks.
func (w *worker) run() {
	timer := time.NewTimer(w.host.options.TickInterval)
	defer timer.Stop()
	timerRunning := true
	for {
		select {
		case <-w.host.closing:
			return
		case <-w.wake:
		case <-timer.C:
			timerRunning = false
			w.tick()
		}
		for _, item := range w.takeInbox() {
			item.run(w)
		}
		w.processDirtyShards()
		if len(w.ticking) > 0 && !timerRunning {
			timer.Reset(w.host.options.TickInterval)
			timerRunning = true
		}
	}
}

func (w *worker) tick() {
	for s := range w.ticking {
		s.tick()
		w.dirty[s] = true
	}
}

// processDirtyShards processes the dirty shards and sends the resulting messages.
// The shards are processed in the order of their IDs to make runs repeatable.
func (w *worker) processDirtyShards() {
	dirty := make([]*shard, 0, len(w.dirty))
	for s := range w.dirty {
		dirty = append(dirty, s)
	}
	clear(w.dirty)
	slices.SortFunc(dirty, func(a, b *shard) int { return int(a.id) - int(b.id) })
	for _, s := range dirty {
		s.process()
		if s.needsTicks() {
			w.ticking[s] = true
		} else {
			delete(w.ticking, s)
		}
	}
	w.flushOutbox()
}

func (w *worker) queueMessages(envelopes []journal.Envelope) {
	for _, envelope := range envelopes {
		to := envelope.To.WithoutAdmission()
		w.outbox[to] = append(w.outbox[to], envelope.Message)
	}
}

// flushOutbox sends the messages in the outbox, in one batch per peer unless it
// would exceed maxBatchBytes.
func (w *worker) flushOutbox() {
	for to, messages := range w.outbox {
		delete(w.outbox, to)
		w.sendBatches(to, messages)
	}
}

func (w *worker) sendBatches(to journal.MemberID, messages []*journalv1.Message) {
	start, size := 0, 0
	for i, message := range messages {
		size += payloadBytes(message)
		if size > maxBatchBytes && i > start {
			w.sendBatch(to, messages[start:i])
			start, size = i, payloadBytes(message)
		}
	}
	w.sendBatch(to, messages[start:])
}

func (w *worker) sendBatch(to journal.MemberID, messages []*journalv1.Message) {
	batch := &journalv1.Batch{
		Messages: messages, FromNode: string(w.host.self.Node), FromIncarnation: uint64(w.host.self.Incarnation),
		ToIncarnation: uint64(to.Incarnation),
	}
	if to == w.host.self {
		w.host.Receive(batch)
		return
	}
	w.host.options.Transport.Send(to.Node, batch)
}

func payloadBytes(message *journalv1.Message) int {
	size := len(message.Data)
	for _, entry := range message.Entries {
		size += len(entry.Data)
	}
	return size
}

// Receive processes a batch from a peer. It drops a batch for another
// incarnation of this daemon.
func (h *Host) Receive(batch *journalv1.Batch) {
	if batch.ToIncarnation != uint64(h.self.Incarnation) {
		return
	}
	from := journal.MemberID{
		Node: structs.NodeID(batch.FromNode), Incarnation: structs.Incarnation(batch.FromIncarnation),
	}
	if h.suspicions.clear(from) {
		h.refreshSuspicions()
	}
	messagesByWorker := make(map[*worker][]*journalv1.Message, 1)
	for _, message := range batch.Messages {
		owner := h.workers[int(message.Shard)%len(h.workers)]
		messagesByWorker[owner] = append(messagesByWorker[owner], message)
	}
	for owner, messages := range messagesByWorker {
		owner.enqueue(&messagesItem{from: from, messages: messages})
	}
}
