package executor

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// shard is a replica of a shard's programs and, while this daemon leads it, the
// work on them.
//
// Invariant: at most one proposal per program is outstanding, and every
// decision is made on a state to which all earlier ones were applied.
type shard struct {
	executor *Executor
	id       structs.ShardID

	// mutex guards the machine and the maps; it is never held over I/O.
	mutex   sync.Mutex
	machine *program.Machine
	// term is the term led in, or 0.
	term uint64
	// context ends with the leadership.
	context context.Context
	cancel  context.CancelFunc
	// changed has a channel for each program somebody waits on.
	changed map[structs.ProgramID]chan struct{}
	locks   map[structs.ProgramID]*programLock
	live    map[callKey]*liveAnswer
	workers map[structs.ProgramID]*worker
	duties  map[dutyKey]bool
	notes   map[structs.ProgramID]*programNote
}

// programLock serialises the proposals of one program.
type programLock struct {
	holders int
	token   chan struct{}
}

func newShard(executor *Executor, id structs.ShardID) *shard {
	created := &shard{executor: executor, id: id, machine: program.NewMachine(id)}
	created.changed = map[structs.ProgramID]chan struct{}{}
	created.locks = map[structs.ProgramID]*programLock{}
	created.resetLeadership()
	return created
}

// resetLeadership drops what only a leader holds. The mutex is held, or the
// shard is not shared yet.
func (s *shard) resetLeadership() {
	s.term = 0
	s.context, s.cancel = context.WithCancel(s.executor.context)
	s.live = map[callKey]*liveAnswer{}
	s.workers = map[structs.ProgramID]*worker{}
	s.duties = map[dutyKey]bool{}
	s.notes = map[structs.ProgramID]*programNote{}
}

// Apply applies a committed batch of records.
func (s *shard) Apply(index uint64, data []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machine.Apply(index, data)
	if len(s.changed) > 0 {
		s.wakeChanged(data)
	}
}

// Snapshot returns the whole state.
func (s *shard) Snapshot() ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machine.Snapshot()
}

// Restore replaces the whole state.
func (s *shard) Restore(data []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machine = program.NewMachine(s.id)
	return s.machine.Restore(data)
}

func (s *shard) wakeChanged(data []byte) {
	batch := &programv1.RecordBatch{}
	if proto.Unmarshal(data, batch) != nil {
		return
	}
	for _, record := range batch.GetRecords() {
		s.wake(structs.ProgramID(record.GetProgramId()))
		if child := record.GetChild(); child != nil {
			s.wake(structs.ProgramID(child.GetChildId()))
		}
	}
}

// wake must be called with the mutex held.
func (s *shard) wake(id structs.ProgramID) {
	if channel, waited := s.changed[id]; waited {
		close(channel)
		delete(s.changed, id)
	}
}

// watch returns a channel that is closed at the program's next change. The
// mutex must be held, so that no change is missed after a look at the state.
func (s *shard) watch(id structs.ProgramID) <-chan struct{} {
	channel, waited := s.changed[id]
	if !waited {
		channel = make(chan struct{})
		s.changed[id] = channel
	}
	return channel
}

func (s *shard) lead(term uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancel()
	s.resetLeadership()
	s.term = term
}

func (s *shard) follow() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancel()
	s.resetLeadership()
	s.cancel()
}

// leadership returns the context of the present leadership, or a
// *failure.NotLeader.
func (s *shard) leadership() (context.Context, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term == 0 {
		return nil, s.notLeader()
	}
	return s.context, nil
}

func (s *shard) notLeader() error {
	return &failure.NotLeader{Shard: uint32(s.id)}
}

// inspect runs look on the state while this daemon leads the shard.
func (s *shard) inspect(look func(*program.Machine) error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term == 0 {
		return s.notLeader()
	}
	return look(s.machine)
}

// decider validates a request against the state.
type decider func(now time.Time, machine *program.Machine) (program.Decision, error)

// mutate makes a decision on the named programs and returns once its records
// are committed and applied. When ctx ends first, the proposal goes on and
// keeps the programs locked until its fate is known; the error is then a
// *failure.ProposalUnknown.
func (s *shard) mutate(ctx context.Context, decide decider, ids ...structs.ProgramID) (program.Decision, error) {
	if err := s.lockAll(ctx, ids); err != nil {
		return program.Decision{}, err
	}
	decision, term, err := s.decide(decide)
	if err != nil || len(decision.Records) == 0 {
		s.unlockAll(ids)
		return decision, err
	}
	done := make(chan error, 1)
	s.executor.task(func() {
		defer s.unlockAll(ids)
		done <- s.propose(term, decision)
	})
	select {
	case err := <-done:
		return decision, err
	case <-ctx.Done():
		return decision, &failure.ProposalUnknown{Shard: uint32(s.id)}
	}
}

func (s *shard) decide(decide decider) (program.Decision, uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term == 0 {
		return program.Decision{}, 0, s.notLeader()
	}
	decision, err := decide(time.Now(), s.machine)
	return decision, s.term, err
}

func (s *shard) propose(term uint64, decision program.Decision) error {
	data, err := proto.Marshal(decision.Batch())
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	return s.executor.options.Replicator.ProposeInTerm(s.executor.context, s.id, term, data)
}

// lockAll takes the programs' locks in the order given; a parent is named
// before its child.
func (s *shard) lockAll(ctx context.Context, ids []structs.ProgramID) error {
	for position, id := range ids {
		if err := s.lock(ctx, id); err != nil {
			s.unlockAll(ids[:position])
			return err
		}
	}
	return nil
}

func (s *shard) unlockAll(ids []structs.ProgramID) {
	for _, id := range ids {
		s.unlock(id)
	}
}

func (s *shard) lock(ctx context.Context, id structs.ProgramID) error {
	s.mutex.Lock()
	held, known := s.locks[id]
	if !known {
		held = &programLock{token: make(chan struct{}, 1)}
		s.locks[id] = held
	}
	held.holders++
	s.mutex.Unlock()
	select {
	case held.token <- struct{}{}:
		return nil
	case <-ctx.Done():
		s.forget(id)
		return &failure.ShardUnavailable{Shard: uint32(s.id)}
	}
}

func (s *shard) unlock(id structs.ProgramID) {
	s.mutex.Lock()
	held := s.locks[id]
	s.mutex.Unlock()
	<-held.token
	s.forget(id)
}

func (s *shard) forget(id structs.ProgramID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.locks[id]
	held.holders--
	if held.holders == 0 {
		delete(s.locks, id)
	}
}
