package executor

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// executeLocally executes an operation on a shard that this daemon leads.
func (e *Executor) executeLocally(ctx context.Context, id structs.ShardID, op operation, sink replySink) error {
	replica, found := e.localShard(id)
	if !found {
		return &failure.NotLeader{Shard: uint32(id)}
	}
	leadership, err := replica.leaderContext()
	if err != nil {
		return err
	}
	err = replica.serveOperation(ctx, op, sink)
	if isRejectedByState(err) {
		return replica.confirmRejection(ctx, leadership, err)
	}
	return err
}

// isRejectedByState reports whether err says that the request does not fit the state
// of the programs. A former leader may not know the latest state.
func isRejectedByState(err error) bool {
	classified, ok := failure.As(err)
	return ok && classified.Outcome() == failure.NotRun && !isRetriable(err)
}

// confirmRejection confirms that this daemon still led the shard when it rejected a
// request, and in the same leadership: leadership is the context of that leadership. A
// daemon that was paused may resume with stale leadership, and become leader again
// soon after.
func (s *shard) confirmRejection(ctx, leadership context.Context, rejection error) error {
	if err := s.executor.options.Replicator.ConfirmLeadership(ctx, s.id); err != nil {
		return err
	}
	if leadership.Err() != nil {
		return s.notLeaderError()
	}
	return rejection
}

func (s *shard) serveOperation(ctx context.Context, op operation, sink replySink) error {
	switch op.name {
	case operationOpen:
		return s.serveOpen(ctx, op, sink)
	case operationCall:
		return s.serveCall(ctx, op, sink)
	case operationRead:
		return s.serveRead(ctx, op, sink)
	case operationCancel:
		return s.serveCancel(ctx, op, sink)
	case operationEnd:
		return s.serveEnd(ctx, op, sink)
	case operationStatus:
		return s.serveConfirmedStatus(ctx, op, sink)
	case operationOrphans:
		return s.serveOrphans(ctx, op, sink)
	}
	return &failure.Malformed{Field: "operation", Reason: string(op.name)}
}

func (s *shard) serveOpen(ctx context.Context, op operation, sink replySink) error {
	body := openBody{}
	if err := decodeBody(op.body, &body); err != nil {
		return err
	}
	ids := []structs.ProgramID{op.program}
	if body.Request.Parent != "" {
		ids = []structs.ProgramID{body.Request.Parent, op.program}
	}
	open := func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Open(now, body.programRequest(now, op.tenant, op.program))
	}
	if _, err := s.proposeDecision(ctx, open, ids...); err != nil {
		return err
	}
	if err := s.checkTookEffect(open); err != nil {
		return err
	}
	return s.serveStatus(op, sink)
}

func (s *shard) serveCall(ctx context.Context, op operation, sink replySink) error {
	body := callBody{}
	if err := decodeBody(op.body, &body); err != nil {
		return err
	}
	admission, err := s.admitCall(op, body.Request)
	if err != nil {
		return err
	}
	accept := acceptDecision(admission.request, admission.attempt, admission.status)
	decision, err := s.proposeDecision(ctx, accept, op.program)
	if err != nil {
		return err
	}
	if err := s.checkTookEffect(accept); err != nil {
		return err
	}
	if !decision.Repeat {
		s.handOverAttempt(op.tenant, admission.attempt)
	}
	return s.followAnswer(ctx, op, body.Request.Number, sink)
}

// checkTookEffect verifies that the records of a decision were not void when they were
// applied. If a parent's end was committed in the meantime, its sub-agents ended as
// well. It returns the error with which the same request would be rejected now.
func (s *shard) checkTookEffect(decide decisionFunc) error {
	return s.readState(func(machine *program.Machine) error {
		decision, err := decide(time.Now(), machine)
		if err != nil || decision.Repeat {
			return err
		}
		return &failure.ShardUnavailable{Shard: uint32(s.id)}
	})
}

// admission is a call that may be recorded.
type admission struct {
	request program.CallRequest
	status  program.Status
	// attempt is the call's first attempt; nil if it cannot start immediately.
	attempt *modelAttempt
}

// admitCall checks a call against the active declarations and applies their limits to
// it. A call that is already in the journal is not checked again.
func (s *shard) admitCall(op operation, request caller.CallRequest) (admission, error) {
	hash := xxhash.Sum64(encodeBody(request))
	status, repeated := program.Status{}, false
	err := s.readState(func(machine *program.Machine) error {
		found, err := machine.Status(op.tenant, op.program)
		status = found
		_, repeated = machine.Call(op.program, request.Number)
		return err
	})
	if err == nil && !repeated {
		err = applyDeclaration(s.executor.options.Configuration(), status, &request)
	}
	var attempt *modelAttempt
	if err == nil && !repeated {
		attempt, err = s.firstAttempt(op.tenant, status, request)
	}
	return admission{request: callRequest(op, request, hash), status: status, attempt: attempt}, err
}

func callRequest(op operation, request caller.CallRequest, hash uint64) program.CallRequest {
	return program.CallRequest{
		Program:         op.program,
		Tenant:          op.tenant,
		Number:          request.Number,
		Kind:            program.CallKind(request.Kind),
		Target:          request.Target,
		Adapter:         request.Adapter,
		Repeatable:      request.Repeatable,
		Input:           request.Input,
		MaxAnswerTokens: request.MaxAnswerTokens,
		ExpectedPause:   time.Duration(request.ExpectedPauseMilliseconds) * time.Millisecond,
		Hash:            hash,
	}
}

func (s *shard) serveRead(ctx context.Context, op operation, sink replySink) error {
	body := readBody{}
	if err := decodeBody(op.body, &body); err != nil {
		return err
	}
	return s.followAnswer(ctx, op, body.Number, sink)
}

func (s *shard) serveCancel(ctx context.Context, op operation, sink replySink) error {
	body := cancelBody{}
	if err := decodeBody(op.body, &body); err != nil {
		return err
	}
	_, err := s.proposeDecision(ctx, func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Cancel(now, op.tenant, op.program, body.Number)
	}, op.program)
	if err != nil {
		return err
	}
	s.startWorker(op.tenant, op.program)
	return s.serveStatus(op, sink)
}

func (s *shard) serveEnd(ctx context.Context, op operation, sink replySink) error {
	_, err := s.proposeDecision(ctx, func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.End(now, op.tenant, op.program, program.CauseEnded)
	}, op.program)
	if err != nil {
		return err
	}
	return s.serveStatus(op, sink)
}

// serveConfirmedStatus sends the status after confirming the leadership, so that no
// later leader has changed it.
func (s *shard) serveConfirmedStatus(ctx context.Context, op operation, sink replySink) error {
	if err := s.executor.options.Replicator.ConfirmLeadership(ctx, s.id); err != nil {
		return err
	}
	return s.serveStatus(op, sink)
}

func (s *shard) serveStatus(op operation, sink replySink) error {
	status := caller.ProgramStatus{}
	err := s.readState(func(machine *program.Machine) error {
		found, err := machine.Status(op.tenant, op.program)
		status = statusForCaller(found)
		return err
	})
	if err != nil {
		return err
	}
	return sink.onBody(encodeBody(status))
}

func statusForCaller(status program.Status) caller.ProgramStatus {
	state := caller.ProgramOpen
	if status.State != program.Open {
		state = caller.ProgramEnded
	}
	return caller.ProgramStatus{
		ID:       status.ID,
		Tenant:   status.Tenant,
		Program:  status.ProgramName,
		State:    state,
		EndCause: status.Cause,
		Parent:   status.Parent,
		NextCall: status.NextCall,
		Budget:   status.Budget,
		Spent:    status.Spent,
		Reserved: status.Reserved.Plus(status.Granted),
		Deadline: status.Deadline,
	}
}
