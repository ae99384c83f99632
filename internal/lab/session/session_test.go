package session_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/caller/client"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/session"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// system is what all fake daemons share: it answers each call with a text of
// its own and remembers the calls by number.
type system struct {
	mutex  sync.Mutex
	budget structs.Amount
	calls  map[string]caller.CallRequest
	order  []string
	ended  int
	// script tells what becomes of the n-th request for an answer, from 0.
	script func(request int) fate
	asked  int
	reads  int
}

// fate is how a fake daemon treats one request.
type fate struct {
	refusal error
	// breakAfter cuts the answer after so many bytes; 0 sends the whole.
	breakAfter int
	// attempt is the attempt that the answer belongs to.
	attempt uint32
}

type daemon struct{ system *system }

func (d *daemon) Open(_ context.Context, r caller.OpenRequest) (caller.ProgramStatus, error) {
	budget := d.system.budget
	if r.Budget != nil {
		budget = *r.Budget
	}
	return caller.ProgramStatus{ID: structs.ProgramID(r.Key), Budget: budget}, nil
}

func (d *daemon) End(context.Context, structs.ProgramID) (caller.ProgramStatus, error) {
	d.system.mutex.Lock()
	defer d.system.mutex.Unlock()
	d.system.ended++
	return caller.ProgramStatus{}, nil
}

func (d *daemon) Call(_ context.Context, id structs.ProgramID, r caller.CallRequest, _ bool, sink caller.AnswerSink) error {
	key := fmt.Sprintf("%s/%d", id, r.Number)
	d.system.mutex.Lock()
	if _, known := d.system.calls[key]; !known {
		d.system.calls[key] = r
		d.system.order = append(d.system.order, key)
	}
	d.system.mutex.Unlock()
	return d.send(key, caller.Sequence{}, sink)
}

func (d *daemon) Read(_ context.Context, id structs.ProgramID, number structs.CallNumber, from caller.Sequence, sink caller.AnswerSink) error {
	d.system.mutex.Lock()
	d.system.reads++
	d.system.mutex.Unlock()
	return d.send(fmt.Sprintf("%s/%d", id, number), from, sink)
}

func (d *daemon) send(key string, from caller.Sequence, sink caller.AnswerSink) error {
	d.system.mutex.Lock()
	becomes := d.system.script(d.system.asked)
	d.system.asked++
	d.system.mutex.Unlock()
	if becomes.refusal != nil {
		return becomes.refusal
	}
	attempt := max(becomes.attempt, 1)
	text := answerOf(key)
	part := caller.AnswerPart{Attempt: attempt, Offset: from.Next}
	if from.Attempt != 0 && from.Attempt != attempt {
		part.Restart, part.Offset = true, 0
	}
	part.Text = text[part.Offset:]
	if becomes.breakAfter > 0 && becomes.breakAfter < len(part.Text) {
		part.Text = part.Text[:becomes.breakAfter]
		if err := sink.Part(part); err != nil {
			return &client.SinkFailed{Cause: err}
		}
		return &client.NoAnswer{Cause: io.ErrUnexpectedEOF}
	}
	if err := sink.Part(part); err != nil {
		return &client.SinkFailed{Cause: err}
	}
	return sink.Part(caller.AnswerPart{Attempt: attempt, Offset: uint64(len(text)), Complete: true})
}

func answerOf(key string) []byte { return []byte("the whole answer to " + key) }

type noObserver struct{}

func (noObserver) FirstToken(time.Duration) {}
func (noObserver) InterToken(time.Duration) {}
func (noObserver) Refused(string)           {}
func (noObserver) Request(string)           {}

func run(t *testing.T, behavior session.Behavior, script func(int) fate) (session.Outcome, *system) {
	shared := &system{calls: map[string]caller.CallRequest{}, script: script, budget: structs.Amount{Turns: 1000}}
	endpoints := []session.Endpoint{{Daemon: "d1", Client: &daemon{shared}}, {Daemon: "d2", Client: &daemon{shared}}}
	options := session.Options{
		Endpoints: func(structs.TenantID) []session.Endpoint { return endpoints },
		Observer:  noObserver{},
		Declared:  func(structs.ProgramName) structs.Amount { return shared.budget },
		Patience:  5 * time.Second,
		Stall:     2 * time.Second,
	}
	generator, err := workload.NewGenerator("voltkai", 11)
	require.NoError(t, err)
	program := generator.Next()
	played := session.New(options, program.Tenant, behavior)
	outcome := played.Run(context.Background(), program, rand.New(rand.NewPCG(1, 2)))
	require.Equal(t, shared.ended, len(outcome.Records))
	return outcome, shared
}

func requireWhole(t *testing.T, outcome session.Outcome) {
	require.True(t, outcome.Completed, outcome.Cause)
	for _, record := range outcome.Records {
		require.NotEmpty(t, record.Calls)
		for _, call := range record.Calls {
			require.True(t, call.Complete)
			require.Equal(t, string(answerOf(fmt.Sprintf("%s/%d", record.ID, call.Number))), string(call.Answer))
		}
	}
}

func TestBrokenAnswersAreResumedWhereTheyStopped(t *testing.T) {
	outcome, shared := run(t, session.Behavior{}, func(request int) fate { return fate{breakAfter: (request % 3) * 10} })
	requireWhole(t, outcome)
	require.Positive(t, shared.reads)
}

func TestAnotherAttemptVoidsWhatWasRead(t *testing.T) {
	outcome, _ := run(t, session.Behavior{}, func(request int) fate {
		return fate{breakAfter: (1 - request%2) * 12, attempt: uint32(request%2) + 1}
	})
	requireWhole(t, outcome)
}

func TestRefusalsThatAllowARepeatAreRepeatedElsewhere(t *testing.T) {
	outcome, _ := run(t, session.Behavior{Repeat: true, Overtake: true, Disconnect: true}, func(request int) fate {
		if request%4 == 0 {
			return fate{refusal: &failure.NotLeader{}}
		}
		return fate{}
	})
	requireWhole(t, outcome)
	refused := 0
	for _, record := range outcome.Records {
		for _, call := range record.Calls {
			answered := false
			for i, attempt := range call.Attempts {
				answered = answered || attempt.Result == promise.Answered
				if attempt.Result != promise.Refused {
					continue
				}
				refused++
				require.Equal(t, failure.NotRun, attempt.Outcome)
				if answered {
					// The repeat of a call that has its answer is sent once.
					continue
				}
				require.Less(t, i+1, len(call.Attempts))
				require.NotEqual(t, attempt.Daemon, call.Attempts[i+1].Daemon)
			}
		}
	}
	require.Positive(t, refused)
}

func TestFinalRefusalEndsTheProgram(t *testing.T) {
	outcome, _ := run(t, session.Behavior{Overspend: true}, func(request int) fate {
		if request >= 3 {
			return fate{refusal: &failure.BudgetExceeded{Member: "turns"}}
		}
		return fate{}
	})
	require.True(t, outcome.Completed, outcome.Cause)
	calls := outcome.Records[0].Calls
	require.Len(t, calls, 4)
	require.EqualValues(t, "budget_exceeded", calls[3].FailureType)
	require.Equal(t, failure.NotRun, calls[3].Outcome)
}
