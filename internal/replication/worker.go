package replication

import (
	"slices"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// maxBatchBytes bounds the payload of one batch, beyond its first message.
const maxBatchBytes = 1 << 20

// input is one thing for a worker to do.
type input interface{ run(w *worker) }

// worker owns the replicas of some shards.
type worker struct {
	host  *Host
	mutex sync.Mutex
	inbox []input
	wake  chan struct{}
	// touched are the shards with something to process; active those that need
	// ticks. Both belong to the worker's goroutine.
	touched map[*shard]bool
	active  map[*shard]bool
	// outbox holds messages by the receiver's life.
	outbox map[journal.MemberID][]*journalv1.Message
}

func newWorker(h *Host, _ uint64) *worker {
	return &worker{
		host: h, wake: make(chan struct{}, 1),
		touched: map[*shard]bool{}, active: map[*shard]bool{},
		outbox: map[journal.MemberID][]*journalv1.Message{},
	}
}

func (w *worker) post(item input) {
	w.mutex.Lock()
	w.inbox = append(w.inbox, item)
	w.mutex.Unlock()
	signal(w.wake)
}

func (w *worker) take() []input {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	items := w.inbox
	w.inbox = nil
	return items
}

// run handles inputs until the host closes. The timer runs only while a shard
// has something outstanding.
func (w *worker) run() {
	timer := time.NewTimer(w.host.options.TickInterval)
	defer timer.Stop()
	ticking := true
	for {
		select {
		case <-w.host.closing:
			return
		case <-w.wake:
		case <-timer.C:
			ticking = false
			w.tick()
		}
		for _, item := range w.take() {
			item.run(w)
		}
		w.process()
		if len(w.active) > 0 && !ticking {
			timer.Reset(w.host.options.TickInterval)
			ticking = true
		}
	}
}

func (w *worker) tick() {
	for found := range w.active {
		found.tick()
		w.touched[found] = true
	}
}

// process lets every touched shard do what it has to, and sends what came of
// it. Shards go in the order of their numbers, so that a run can be repeated.
func (w *worker) process() {
	touched := make([]*shard, 0, len(w.touched))
	for found := range w.touched {
		touched = append(touched, found)
	}
	clear(w.touched)
	slices.SortFunc(touched, func(a, b *shard) int { return int(a.id) - int(b.id) })
	for _, found := range touched {
		found.process()
		if found.needsTicks() {
			w.active[found] = true
		} else {
			delete(w.active, found)
		}
	}
	w.flush()
}

func (w *worker) send(envelopes []journal.Envelope) {
	for _, envelope := range envelopes {
		to := envelope.To.WithoutAdmission()
		w.outbox[to] = append(w.outbox[to], envelope.Message)
	}
}

// flush sends what is in the outbox, one batch to each peer unless it is large.
func (w *worker) flush() {
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

// Receive takes a batch from a peer. A batch for another incarnation is dropped.
func (h *Host) Receive(batch *journalv1.Batch) {
	if batch.ToIncarnation != uint64(h.self.Incarnation) {
		return
	}
	from := journal.MemberID{
		Node: structs.NodeID(batch.FromNode), Incarnation: structs.Incarnation(batch.FromIncarnation),
	}
	if h.suspects.heard(from) {
		h.refreshSuspicions()
	}
	parts := make(map[*worker][]*journalv1.Message, 1)
	for _, message := range batch.Messages {
		owner := h.workers[int(message.Shard)%len(h.workers)]
		parts[owner] = append(parts[owner], message)
	}
	for owner, messages := range parts {
		owner.post(&inputMessages{from: from, messages: messages})
	}
}
