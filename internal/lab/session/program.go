package session

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// Session runs one program and its sub-agents.
type Session struct {
	options  Options
	tenant   structs.TenantID
	behavior Behavior

	mutex   sync.Mutex
	home    structs.NodeID
	records []promise.Program
	// subAgents counts the causes for which sub-agents were not completed.
	subAgents map[string]int
}

// Outcome is what became of one program and its sub-agents.
type Outcome struct {
	// Records are the programs' records, sub-agents included.
	Records []promise.Program
	// Completed says that every step was carried out and the end confirmed.
	Completed bool
	// Cause is why the program was not completed, or empty.
	Cause string
	// SubAgents counts the causes for which sub-agents were not completed. Their
	// parent goes on without them.
	SubAgents map[string]int
}

// New returns a session of the tenant.
func New(options Options, tenant structs.TenantID, behavior Behavior) *Session {
	return &Session{options: options, tenant: tenant, behavior: behavior, subAgents: map[string]int{}}
}

// Run runs the program to its end. It returns early when ctx ends.
func (s *Session) Run(ctx context.Context, program *workload.Program, random *rand.Rand) Outcome {
	completed, cause := s.runProgram(ctx, program, "", nil, random)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Outcome{Records: s.records, Completed: completed, Cause: cause, SubAgents: s.subAgents}
}

// causeOf names the kind of a failure, so that equal ones are counted together.
func causeOf(err error) string {
	result := resultOf(err)
	if known, reported := failure.As(err); reported && result == promise.Refused {
		return string(known.Type())
	}
	return string(result)
}

// run is one program under way.
type run struct {
	session *Session
	program *workload.Program
	record  promise.Program
	random  *rand.Rand
	// inherited starts the first model call's prompt.
	inherited []byte
	// cause is why the program stopped early.
	cause string
	// number of the calls planned so far.
	planned structs.CallNumber
	// prompted says that a model call was issued.
	prompted bool
}

func (s *Session) runProgram(ctx context.Context, program *workload.Program, parent structs.ProgramID, inherited []byte, random *rand.Rand) (bool, string) {
	status, err := s.open(ctx, program, parent, random)
	if err != nil {
		return false, "open: " + causeOf(err)
	}
	current := &run{session: s, program: program, random: random, inherited: inherited}
	current.record = promise.Program{ID: status.ID, Parent: parent, Tenant: s.tenant, Name: program.Name, Budget: status.Budget}
	if s.behavior.Overspend && parent == "" {
		current.overspend(ctx)
	} else {
		current.steps(ctx)
	}
	current.end(ctx)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.records = append(s.records, current.record)
	return current.cause == "", current.cause
}

// overspendTurns is the budget of programs that try to overspend.
const overspendTurns = 4

// overspendBudget narrows the declared budget to a few turns.
func (s *Session) overspendBudget(program structs.ProgramName) *structs.Amount {
	budget := s.options.Declared(program)
	budget.Turns = min(budget.Turns, overspendTurns)
	return &budget
}

func (s *Session) open(ctx context.Context, program *workload.Program, parent structs.ProgramID, random *rand.Rand) (caller.ProgramStatus, error) {
	request := caller.OpenRequest{Program: program.Name, Key: program.Key, Parent: parent}
	if s.behavior.Overspend && parent == "" {
		request.Budget = s.overspendBudget(program.Name)
	}
	patient, cancel := context.WithTimeout(ctx, s.options.Patience)
	defer cancel()
	requests := newRequester(&s.options, s.tenant, random)
	requests.daemon = s.daemon()
	var status caller.ProgramStatus
	err := requests.until(patient, func(ctx context.Context, target Client) error {
		limited, cancel := context.WithTimeout(ctx, s.options.Stall)
		defer cancel()
		var err error
		status, err = target.Open(limited, request)
		return err
	})
	s.keepDaemon(requests.daemon)
	return status, err
}

// end ends the program; a program that ended by itself is ended all the same.
func (r *run) end(ctx context.Context) {
	patient, cancel := context.WithTimeout(ctx, r.session.options.Patience)
	defer cancel()
	requests := newRequester(&r.session.options, r.session.tenant, r.random)
	requests.daemon = r.session.daemon()
	err := requests.until(patient, func(ctx context.Context, target Client) error {
		limited, cancel := context.WithTimeout(ctx, r.session.options.Stall)
		defer cancel()
		_, err := target.End(limited, r.record.ID)
		return err
	})
	if err == nil {
		r.record.Ended = time.Now()
	} else if r.cause == "" {
		r.cause = "end: " + causeOf(err)
	}
}

// steps carries out the program's steps one by one.
func (r *run) steps(ctx context.Context) {
	var held *callPlan
	for r.cause == "" && ctx.Err() == nil {
		step, more := r.program.Next()
		if !more {
			break
		}
		switch step.Kind {
		case workload.KindModel, workload.KindTool:
			held = r.take(ctx, held, r.plan(step))
		case workload.KindPause:
			held = r.flush(ctx, held)
			pause.For(ctx, r.scaled(step.Duration))
		case workload.KindSpawn:
			held = r.flush(ctx, held)
			r.spawn(ctx, step.Children)
		}
	}
	r.flush(ctx, held)
	if r.cause == "" && ctx.Err() != nil {
		r.cause = "run ended"
	}
}

func (r *run) scaled(span time.Duration) time.Duration {
	return time.Duration(float64(span) * r.session.options.TimeScale)
}

// take issues the call, or holds it back to let the next one overtake it.
func (r *run) take(ctx context.Context, held *callPlan, next callPlan) *callPlan {
	if !r.session.behavior.Overtake {
		r.issue(ctx, next)
		return nil
	}
	if held == nil {
		return &next
	}
	r.overtake(ctx, *held, next)
	return nil
}

func (r *run) flush(ctx context.Context, held *callPlan) *callPlan {
	if held != nil && r.cause == "" {
		r.issue(ctx, *held)
	}
	return nil
}

func (r *run) issue(ctx context.Context, plan callPlan) {
	r.settle(r.session.runCall(ctx, r.record.ID, plan, r.random))
}

// overtakeLead is how long the later call is ahead.
const overtakeLead = 10 * time.Millisecond

// overtake sends the later call first.
func (r *run) overtake(ctx context.Context, earlier, later callPlan) {
	var laterRecord promise.Call
	random := rand.New(rand.NewPCG(r.random.Uint64(), uint64(later.request.Number)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		laterRecord = r.session.runCall(ctx, r.record.ID, later, random)
	}()
	pause.For(ctx, overtakeLead)
	earlierRecord := r.session.runCall(ctx, r.record.ID, earlier, r.random)
	<-done
	r.settle(earlierRecord)
	r.settle(laterRecord)
}

// settle records the call and tells whether the program goes on: a call that
// ran and failed, or whose outcome is not known, does not end it.
func (r *run) settle(record promise.Call) {
	r.record.Calls = append(r.record.Calls, record)
	if r.cause != "" {
		return
	}
	if !record.Settled() {
		r.cause = "a call never settled"
	}
	if record.FailureType != "" && record.Outcome == failure.NotRun {
		r.cause = "refused: " + string(record.FailureType)
	}
}

func (r *run) spawn(ctx context.Context, children []*workload.Program) {
	inherited := r.history()
	var group sync.WaitGroup
	for position, child := range children {
		random := rand.New(rand.NewPCG(r.random.Uint64(), uint64(position)))
		group.Add(1)
		go func() {
			defer group.Done()
			var history []byte
			if child.InheritsHistory {
				history = inherited
			}
			if completed, cause := r.session.runProgram(ctx, child, r.record.ID, history, random); !completed {
				r.session.noteSubAgent(cause)
			}
		}()
	}
	group.Wait()
}

func (s *Session) noteSubAgent(cause string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.subAgents[cause]++
}

// history returns the whole text that the program holds so far.
func (r *run) history() []byte {
	var text []byte
	for _, segment := range promise.Segments(append(r.record.Calls, promise.Call{}), len(r.record.Calls)) {
		text = append(text, segment...)
	}
	return text
}

// overspend issues calls without end; the budget must end it. The cause stays
// empty, since the refusal is what this program is for.
func (r *run) overspend(ctx context.Context) {
	step, more := r.program.Next()
	for more && step.Kind != workload.KindModel {
		step, more = r.program.Next()
	}
	const attempts = 2 * overspendTurns
	for range attempts {
		record := r.session.runCall(ctx, r.record.ID, r.plan(step), r.random)
		r.record.Calls = append(r.record.Calls, record)
		if !record.Complete {
			return
		}
	}
	r.cause = "the budget did not stop it"
}
