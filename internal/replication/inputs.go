package replication

import (
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// inputMessages are messages from one peer.
type inputMessages struct {
	from     journal.MemberID
	messages []*journalv1.Message
}

func (in *inputMessages) run(w *worker) {
	for _, message := range in.messages {
		found, exists := w.host.shard(structs.ShardID(message.Shard))
		if !exists {
			if found = w.host.admit(in.from, message, w); found == nil {
				continue
			}
		}
		found.replica.Step(in.from, w.host.self, message)
		w.touched[found] = true
	}
}

// admit makes an empty replica for a message that a group sent to this very
// incarnation. It holds no vote and no entry, and has forgotten none.
func (h *Host) admit(from journal.MemberID, message *journalv1.Message, w *worker) *shard {
	if message.Type == journalv1.MessageType_MESSAGE_TYPE_PROBE {
		w.send([]journal.Envelope{{To: from, Message: &journalv1.Message{
			Shard: message.Shard, Type: journalv1.MessageType_MESSAGE_TYPE_PROBE_ANSWER, Term: message.Term,
		}}})
		return nil
	}
	if !admits(message.Type) || h.failed.Load() != nil {
		return nil
	}
	id := structs.ShardID(message.Shard)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if raced, exists := h.shard(id); exists {
		return raced
	}
	restored := journal.Restored{}
	if tombstone := h.former[id].tombstone; tombstone != nil {
		restored.State = tombstone
	}
	created := h.newShard(id, restored)
	h.addShardLocked(created)
	return created
}

func admits(kind journalv1.MessageType) bool {
	switch kind {
	case journalv1.MessageType_MESSAGE_TYPE_APPEND, journalv1.MessageType_MESSAGE_TYPE_SNAPSHOT,
		journalv1.MessageType_MESSAGE_TYPE_VOTE, journalv1.MessageType_MESSAGE_TYPE_PRE_VOTE:
		return true
	}
	return false
}

type inputCreated struct{ shard *shard }

func (in *inputCreated) run(w *worker) { w.touched[in.shard] = true }

type inputPropose struct {
	shard  *shard
	data   []byte
	waiter *waiter
}

func (in *inputPropose) run(w *worker) {
	in.shard.queued = append(in.shard.queued, in)
	w.touched[in.shard] = true
}

type inputConfirm struct {
	shard  *shard
	waiter *waiter
}

func (in *inputConfirm) run(w *worker) {
	in.shard.confirming = append(in.shard.confirming, in.waiter)
	w.touched[in.shard] = true
}

type inputEnsure struct {
	shard  *shard
	waiter *waiter
}

func (in *inputEnsure) run(w *worker) {
	in.shard.ensuring = append(in.shard.ensuring, in.waiter)
	in.shard.replica.EnsureLeader()
	w.touched[in.shard] = true
}

type inputReconcile struct {
	shard  *shard
	wanted []Member
}

func (in *inputReconcile) run(w *worker) {
	in.shard.refreshSuspicion()
	in.shard.reconcile(in.wanted)
	w.touched[in.shard] = true
}

type inputTransfer struct{ shard *shard }

func (in *inputTransfer) run(w *worker) {
	if target, found := in.shard.replica.TransferTarget(); found {
		in.shard.replica.TransferLeadership(target)
	}
	w.touched[in.shard] = true
}

// inputRefresh makes the worker's shards look at the suspicions again.
type inputRefresh struct{}

func (in *inputRefresh) run(w *worker) {
	for _, found := range *w.host.shards.Load() {
		if found.worker == w {
			found.refreshSuspicion()
			w.touched[found] = true
		}
	}
}

// inputStored reports that what one process handed to the store is durable.
type inputStored struct {
	shard    *shard
	messages []journal.Envelope
	index    uint64
	term     uint64
}

func (in *inputStored) run(w *worker) {
	if in.shard.dropped {
		return
	}
	w.send(in.messages)
	in.shard.replica.Persisted(in.index, in.term)
	w.touched[in.shard] = true
}

type inputDiskFailed struct{ cause *failure.DiskFailed }

func (in *inputDiskFailed) run(w *worker) {
	for _, found := range *w.host.shards.Load() {
		if found.worker == w {
			found.drop(in.cause)
			w.host.dropShard(found, nil)
			delete(w.active, found)
			delete(w.touched, found)
		}
	}
}
