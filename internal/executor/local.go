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

// local carries an operation out on a shard that this daemon leads.
func (e *Executor) local(ctx context.Context, id structs.ShardID, op operation, sink replySink) error {
	held, known := e.shard(id)
	if !known {
		return &failure.NotLeader{Shard: uint32(id)}
	}
	led, err := held.leadership()
	if err != nil {
		return err
	}
	err = held.serve(ctx, op, sink)
	if refusedByState(err) {
		return held.confirmRefusal(ctx, led, err)
	}
	return err
}

// refusedByState reports whether err says that the request does not fit the
// programs' state, which a former leader may not know the latest of.
func refusedByState(err error) bool {
	known, ok := failure.As(err)
	return ok && known.Outcome() == failure.NotRun && !searchable(err)
}

// confirmRefusal makes sure that this daemon still led the shard when it
// refused, in the same leadership that it refused in: led ends with it. A daemon
// that was paused may wake as a leader of the past, and lead again soon after.
func (s *shard) confirmRefusal(ctx, led context.Context, refusal error) error {
	if err := s.executor.options.Replicator.ConfirmLeadership(ctx, s.id); err != nil {
		return err
	}
	if led.Err() != nil {
		return s.notLeader()
	}
	return refusal
}

func (s *shard) serve(ctx context.Context, op operation, sink replySink) error {
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
		return machine.Open(now, body.openRequest(now, op.tenant, op.program))
	}
	if _, err := s.mutate(ctx, open, ids...); err != nil {
		return err
	}
	if err := s.tookEffect(open); err != nil {
		return err
	}
	return s.serveStatus(op, sink)
}

func (s *shard) serveCall(ctx context.Context, op operation, sink replySink) error {
	body := callBody{}
	if err := decodeBody(op.body, &body); err != nil {
		return err
	}
	admitted, err := s.admitCall(op, body.Request)
	if err != nil {
		return err
	}
	accept := acceptance(admitted.request, admitted.attempt, admitted.status)
	decision, err := s.mutate(ctx, accept, op.program)
	if err != nil {
		return err
	}
	if err := s.tookEffect(accept); err != nil {
		return err
	}
	if !decision.Repeat {
		s.beginAttempt(op.tenant, admitted.attempt)
	}
	return s.followAnswer(ctx, op, body.Request.Number, sink)
}

// tookEffect makes sure that a decision's records were not void when they were
// applied: the end of a parent, decided on meanwhile, ends its sub-agents too.
// It returns why the same request would be refused now.
func (s *shard) tookEffect(decide decider) error {
	return s.inspect(func(machine *program.Machine) error {
		decision, err := decide(time.Now(), machine)
		if err != nil || decision.Repeat {
			return err
		}
		return &failure.ShardUnavailable{Shard: uint32(s.id)}
	})
}

// admittedCall is a call that may be recorded.
type admittedCall struct {
	request program.CallRequest
	status  program.Status
	// attempt is the call's first one; nil where it cannot be started at once.
	attempt *modelAttempt
}

// admitCall checks a call against the declarations in force and gives it the
// declared bounds. A call that the journal has already is not checked again.
func (s *shard) admitCall(op operation, request caller.CallRequest) (admittedCall, error) {
	hash := xxhash.Sum64(encodeBody(request))
	status, repeated := program.Status{}, false
	err := s.inspect(func(machine *program.Machine) error {
		found, err := machine.Status(op.tenant, op.program)
		status = found
		_, repeated = machine.Call(op.program, request.Number)
		return err
	})
	if err == nil && !repeated {
		err = permittedCall(s.executor.options.Configuration(), status, &request)
	}
	var attempt *modelAttempt
	if err == nil && !repeated {
		attempt, err = s.firstAttempt(op.tenant, status, request)
	}
	return admittedCall{request: callRequest(op, request, hash), status: status, attempt: attempt}, err
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
	_, err := s.mutate(ctx, func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.Cancel(now, op.tenant, op.program, body.Number)
	}, op.program)
	if err != nil {
		return err
	}
	s.startWorker(op.tenant, op.program)
	return s.serveStatus(op, sink)
}

func (s *shard) serveEnd(ctx context.Context, op operation, sink replySink) error {
	_, err := s.mutate(ctx, func(now time.Time, machine *program.Machine) (program.Decision, error) {
		return machine.End(now, op.tenant, op.program, program.CauseEnded)
	}, op.program)
	if err != nil {
		return err
	}
	return s.serveStatus(op, sink)
}

// serveConfirmedStatus tells a status that no later leader has changed.
func (s *shard) serveConfirmedStatus(ctx context.Context, op operation, sink replySink) error {
	if err := s.executor.options.Replicator.ConfirmLeadership(ctx, s.id); err != nil {
		return err
	}
	return s.serveStatus(op, sink)
}

func (s *shard) serveStatus(op operation, sink replySink) error {
	status := caller.ProgramStatus{}
	err := s.inspect(func(machine *program.Machine) error {
		found, err := machine.Status(op.tenant, op.program)
		status = statusForCaller(found)
		return err
	})
	if err != nil {
		return err
	}
	return sink.body(encodeBody(status))
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
