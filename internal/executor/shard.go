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

// shard is this daemon's replica of a shard. It holds the state of the shard's
// programs and, while this daemon leads the shard, the work on them.
//
// Invariant: there is at most one outstanding proposal per program, and every decision
// is made on a state to which all earlier proposals were applied.
type shard struct {
	executor *Executor
	id       structs.ShardID

	// mutex guards the machine and the maps. It is never held during I/O.
	mutex   sync.Mutex
	machine *program.Machine
	// term is the term in which this daemon leads the shard, or 0.
	term uint64
	// context is cancelled when the leadership ends.
	context context.Context
	cancel  context.CancelFunc
	// changeChannels has a channel for each program that a goroutine waits for. It is
	// closed at the program's next change.
	changeChannels   map[structs.ProgramID]chan struct{}
	locks            map[structs.ProgramID]*programLock
	answerBuffers    map[callKey]*answerBuffer
	workers          map[structs.ProgramID]*worker
	dutiesInProgress map[dutyKey]bool
	hints            map[structs.ProgramID]*schedulingHints
}

// programLock serializes the proposals of one program.
type programLock struct {
	references int
	semaphore  chan struct{}
}

func newShard(executor *Executor, id structs.ShardID) *shard {
	replica := &shard{executor: executor, id: id, machine: program.NewMachine(id)}
	replica.changeChannels = map[structs.ProgramID]chan struct{}{}
	replica.locks = map[structs.ProgramID]*programLock{}
	replica.resetLeadership()
	return replica
}

// resetLeadership clears the state that only a leader holds. The caller holds the
// mutex, or the shard is not shared yet.
func (s *shard) resetLeadership() {
	s.term = 0
	s.context, s.cancel = context.WithCancel(s.executor.context)
	s.answerBuffers = map[callKey]*answerBuffer{}
	s.workers = map[structs.ProgramID]*worker{}
	s.dutiesInProgress = map[dutyKey]bool{}
	s.hints = map[structs.ProgramID]*schedulingHints{}
}

// Apply applies a committed batch of records.
func (s *shard) Apply(index uint64, data []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machine.Apply(index, data)
	if len(s.changeChannels) > 0 {
		s.notifyBatch(data)
	}
}

// Snapshot returns the complete state.
func (s *shard) Snapshot() ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machine.Snapshot()
}

// Restore replaces the complete state.
func (s *shard) Restore(data []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machine = program.NewMachine(s.id)
	return s.machine.Restore(data)
}

// notifyBatch notifies the waiters of every program that a batch of records changes.
// The caller holds the mutex.
func (s *shard) notifyBatch(data []byte) {
	batch := &programv1.RecordBatch{}
	if proto.Unmarshal(data, batch) != nil {
		return
	}
	for _, record := range batch.GetRecords() {
		s.notify(structs.ProgramID(record.GetProgramId()))
		if child := record.GetChild(); child != nil {
			s.notify(structs.ProgramID(child.GetChildId()))
		}
	}
}

// notify closes the change channel of a program. The caller holds the mutex.
func (s *shard) notify(id structs.ProgramID) {
	if changed, exists := s.changeChannels[id]; exists {
		close(changed)
		delete(s.changeChannels, id)
	}
}

// changeChannel returns a channel that is closed at the program's next change. The
// caller holds the mutex since it read the state, so that it misses no change.
func (s *shard) changeChannel(id structs.ProgramID) <-chan struct{} {
	changed, exists := s.changeChannels[id]
	if !exists {
		changed = make(chan struct{})
		s.changeChannels[id] = changed
	}
	return changed
}

func (s *shard) becomeLeader(term uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancel()
	s.resetLeadership()
	s.term = term
}

func (s *shard) becomeFollower() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancel()
	s.resetLeadership()
	s.cancel()
}

// leaderContext returns the context of the current leadership, or a *failure.NotLeader
// error.
func (s *shard) leaderContext() (context.Context, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term == 0 {
		return nil, s.notLeaderError()
	}
	return s.context, nil
}

func (s *shard) notLeaderError() error {
	return &failure.NotLeader{Shard: uint32(s.id)}
}

// readState calls read with the state if this daemon leads the shard.
func (s *shard) readState(read func(*program.Machine) error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term == 0 {
		return s.notLeaderError()
	}
	return read(s.machine)
}

// decisionFunc validates a request against the state and returns the decision to
// propose.
type decisionFunc func(now time.Time, machine *program.Machine) (program.Decision, error)

// proposeDecision makes a decision on the given programs and returns once its records
// are committed and applied. If ctx ends first, the proposal continues and keeps the
// programs locked until its outcome is known; the error is then a
// *failure.ProposalUnknown.
func (s *shard) proposeDecision(ctx context.Context, decide decisionFunc, ids ...structs.ProgramID) (program.Decision, error) {
	if err := s.lockAll(ctx, ids); err != nil {
		return program.Decision{}, err
	}
	decision, term, err := s.makeDecision(decide)
	if err != nil || len(decision.Records) == 0 {
		s.unlockAll(ids)
		return decision, err
	}
	done := make(chan error, 1)
	s.executor.runInBackground(func() {
		defer s.unlockAll(ids)
		done <- s.proposeRecords(term, decision)
	})
	select {
	case err := <-done:
		return decision, err
	case <-ctx.Done():
		return decision, &failure.ProposalUnknown{Shard: uint32(s.id)}
	}
}

func (s *shard) makeDecision(decide decisionFunc) (program.Decision, uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.term == 0 {
		return program.Decision{}, 0, s.notLeaderError()
	}
	decision, err := decide(time.Now(), s.machine)
	return decision, s.term, err
}

func (s *shard) proposeRecords(term uint64, decision program.Decision) error {
	data, err := proto.Marshal(decision.Batch())
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	return s.executor.options.Replicator.ProposeInTerm(s.executor.context, s.id, term, data)
}

// lockAll locks the programs in the given order. A parent must precede its child.
func (s *shard) lockAll(ctx context.Context, ids []structs.ProgramID) error {
	for i, id := range ids {
		if err := s.lockProgram(ctx, id); err != nil {
			s.unlockAll(ids[:i])
			return err
		}
	}
	return nil
}

func (s *shard) unlockAll(ids []structs.ProgramID) {
	for _, id := range ids {
		s.unlockProgram(id)
	}
}

func (s *shard) lockProgram(ctx context.Context, id structs.ProgramID) error {
	s.mutex.Lock()
	lock, exists := s.locks[id]
	if !exists {
		lock = &programLock{semaphore: make(chan struct{}, 1)}
		s.locks[id] = lock
	}
	lock.references++
	s.mutex.Unlock()
	select {
	case lock.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		s.releaseLockReference(id)
		return &failure.ShardUnavailable{Shard: uint32(s.id)}
	}
}

func (s *shard) unlockProgram(id structs.ProgramID) {
	s.mutex.Lock()
	lock := s.locks[id]
	s.mutex.Unlock()
	<-lock.semaphore
	s.releaseLockReference(id)
}

// releaseLockReference removes the lock of a program once no goroutine uses it.
func (s *shard) releaseLockReference(id structs.ProgramID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lock := s.locks[id]
	lock.references--
	if lock.references == 0 {
		delete(s.locks, id)
	}
}
