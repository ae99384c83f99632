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
		from, to := in.from, w.host.self
		from.Admission, to.Admission = message.FromAdmission, message.ToAdmission
		found, exists := w.host.shard(structs.ShardID(message.Shard))
		if exists && message.ToAdmission > found.replica.Self().Admission && journal.MayCreateReplica(message.Type) {
			// A later admission says that the removal of this one is committed.
			found.leave()
			exists = false
		}
		if !exists {
			if found = w.host.admit(from, message, w); found == nil {
				continue
			}
		}
		found.replica.Step(from, to, message)
		w.touched[found] = true
	}
}

// admit makes an empty replica for a message that a group sent to an identity
// which this daemon has not had yet.
func (h *Host) admit(from journal.MemberID, message *journalv1.Message, w *worker) *shard {
	if message.Type == journalv1.MessageType_MESSAGE_TYPE_PROBE {
		w.send([]journal.Envelope{{To: from, Message: &journalv1.Message{
			Shard: message.Shard, Type: journalv1.MessageType_MESSAGE_TYPE_PROBE_ANSWER, Term: message.Term,
			FromAdmission: message.ToAdmission, ToAdmission: message.FromAdmission,
		}}})
		return nil
	}
	if !journal.MayCreateReplica(message.Type) || h.failed.Load() != nil {
		return nil
	}
	id := structs.ShardID(message.Shard)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if raced, exists := h.shard(id); exists {
		return raced
	}
	if tombstone := h.former[id].tombstone; tombstone != nil && message.ToAdmission <= tombstone.Admission {
		return nil
	}
	created := h.newShard(id, journal.InitialState{State: &journalv1.State{Admission: message.ToAdmission}})
	h.addShardLocked(created)
	return created
}

type inputCreated struct{ shard *shard }

func (in *inputCreated) run(w *worker) { w.touched[in.shard] = true }

type inputPropose struct {
	shard *shard
	// term is the only one in which data may be appended; 0 means any.
	term   uint64
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
	in.shard.reconcile(in.wanted)
	w.touched[in.shard] = true
}

// inputHandOver gives leadership away, or asks the leader whether the group is
// to go on without this daemon.
type inputHandOver struct{ shard *shard }

func (in *inputHandOver) run(w *worker) {
	if target, found := in.shard.replica.TransferTarget(); found {
		in.shard.replica.TransferLeadership(target)
	}
	in.shard.replica.ProbeMembership()
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
