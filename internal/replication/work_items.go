package replication

import (
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/journal"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// messagesItem holds messages from one peer.
type messagesItem struct {
	from     journal.MemberID
	messages []*journalv1.Message
}

func (item *messagesItem) run(w *worker) {
	for _, message := range item.messages {
		from, to := item.from, w.host.self
		from.Admission, to.Admission = message.FromAdmission, message.ToAdmission
		s, exists := w.host.shard(structs.ShardID(message.Shard))
		if exists && message.ToAdmission > s.replica.Self().Admission && journal.MayCreateReplica(message.Type) {
			// A higher admission implies that the removal of this replica is
			// committed.
			s.removeFromGroup()
			exists = false
		}
		if !exists {
			if s = w.host.admitReplica(from, message, w); s == nil {
				continue
			}
		}
		s.replica.Step(from, to, message)
		w.dirty[s] = true
	}
}

// admitReplica creates an empty replica if the message admits this daemon to a
// group under an admission that it has not had yet. It returns nil if not. It
// answers a probe for a shard that has no replica here.
func (h *Host) admitReplica(from journal.MemberID, message *journalv1.Message, w *worker) *shard {
	if message.Type == journalv1.MessageType_MESSAGE_TYPE_PROBE {
		w.queueMessages([]journal.Envelope{{To: from, Message: &journalv1.Message{
			Shard: message.Shard, Type: journalv1.MessageType_MESSAGE_TYPE_PROBE_ANSWER, Term: message.Term,
			FromAdmission: message.ToAdmission, ToAdmission: message.FromAdmission,
		}}})
		return nil
	}
	if !journal.MayCreateReplica(message.Type) || h.diskFailure.Load() != nil {
		return nil
	}
	id := structs.ShardID(message.Shard)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if existing, exists := h.shard(id); exists {
		return existing
	}
	if tombstone := h.removed[id].tombstone; tombstone != nil && message.ToAdmission <= tombstone.Admission {
		return nil
	}
	created := h.newShard(id, journal.InitialState{State: &journalv1.State{Admission: message.ToAdmission}})
	h.addShardLocked(created)
	return created
}

type shardCreatedItem struct{ shard *shard }

func (item *shardCreatedItem) run(w *worker) { w.dirty[item.shard] = true }

type proposeItem struct {
	shard *shard
	// term is the only term in which data may be appended; 0 allows any.
	term   uint64
	data   []byte
	waiter *waiter
}

func (item *proposeItem) run(w *worker) {
	item.shard.queuedProposals = append(item.shard.queuedProposals, item)
	w.dirty[item.shard] = true
}

type confirmLeadershipItem struct {
	shard  *shard
	waiter *waiter
}

func (item *confirmLeadershipItem) run(w *worker) {
	item.shard.queuedConfirmations = append(item.shard.queuedConfirmations, item.waiter)
	w.dirty[item.shard] = true
}

type ensureLeaderItem struct {
	shard  *shard
	waiter *waiter
}

func (item *ensureLeaderItem) run(w *worker) {
	item.shard.ensureLeaderWaiters = append(item.shard.ensureLeaderWaiters, item.waiter)
	item.shard.replica.EnsureLeader()
	w.dirty[item.shard] = true
}

type reconcileMembersItem struct {
	shard   *shard
	desired []Member
}

func (item *reconcileMembersItem) run(w *worker) {
	item.shard.setDesiredMembers(item.desired)
	w.dirty[item.shard] = true
}

// drainItem transfers leadership if this replica leads. Otherwise it asks the
// other members whether this daemon is about to be removed from the group.
type drainItem struct{ shard *shard }

func (item *drainItem) run(w *worker) {
	if target, found := item.shard.replica.TransferTarget(); found {
		item.shard.replica.TransferLeadership(target)
	}
	item.shard.replica.ProbeMembership()
	w.dirty[item.shard] = true
}

// refreshSuspicionsItem updates the suspected members of the worker's shards.
type refreshSuspicionsItem struct{}

func (item *refreshSuspicionsItem) run(w *worker) {
	for _, s := range *w.host.shards.Load() {
		if s.worker == w {
			s.setSuspectedMembers()
			w.dirty[s] = true
		}
	}
}

// persistedItem reports that the state of one Ready is durable. Its messages
// may be sent only then.
type persistedItem struct {
	shard    *shard
	messages []journal.Envelope
	index    uint64
	term     uint64
}

func (item *persistedItem) run(w *worker) {
	if item.shard.stopped {
		return
	}
	w.queueMessages(item.messages)
	item.shard.replica.Persisted(item.index, item.term)
	w.dirty[item.shard] = true
}

type diskFailedItem struct{ cause *failure.DiskFailed }

func (item *diskFailedItem) run(w *worker) {
	for _, s := range *w.host.shards.Load() {
		if s.worker == w {
			s.stop(item.cause)
			w.host.removeShard(s, nil)
			delete(w.ticking, s)
			delete(w.dirty, s)
		}
	}
}
