package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/toolapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// ToolFaults are the faults of a tool service. They may be changed at any time.
type ToolFaults struct {
	// Hang makes calls run and never answer.
	Hang atomic.Bool
	// HangBefore makes calls neither run nor answer.
	HangBefore atomic.Bool
	// Refuse answers calls with 503 before they run.
	Refuse atomic.Bool
	// Fail makes calls run and answer with status 500.
	Fail atomic.Bool
	// Slow is added to the time of each call.
	Slow Duration
	// LoseAnswer is the share of calls that run and whose connection is then
	// cut without an answer.
	LoseAnswer Ratio
	// FailRatio and RefuseRatio are shares of calls that fail or are refused.
	FailRatio   Ratio
	RefuseRatio Ratio
	// HangRatio is the share of calls that run and never answer.
	HangRatio Ratio
	// NoOutcome makes the question for an outcome fail with 503.
	NoOutcome atomic.Bool
}

// ToolConfig configures a stand-in tool service. One service may hold many tools.
type ToolConfig struct {
	// Work is the time that a call takes.
	Work time.Duration
	// RemembersKeys makes a repeated key answer as before instead of running
	// again, and makes the outcome of a key known.
	RemembersKeys bool
	// Seed of the chances of faults.
	Seed uint64
}

// Execution is one effect that a tool really had.
type Execution struct {
	Tool      structs.ToolName
	Key       string
	Arguments []byte
	At        time.Time
	// Failed executions answered with a failure of the tool's own.
	Failed bool
}

// Tool is a stand-in tool service.
type Tool struct {
	standIn
	Faults ToolFaults

	config ToolConfig
	dice   *dice

	mutex      sync.Mutex
	executions []Execution
	outcomes   map[toolKey]toolOutcome
	inFlight   map[toolKey]int
}

type toolKey struct {
	tool structs.ToolName
	key  string
}

type toolOutcome struct {
	status int
	body   []byte
}

// NewTool returns a tool service that is not yet started.
func NewTool(config ToolConfig) *Tool {
	return &Tool{config: config, dice: newDice(config.Seed), outcomes: map[toolKey]toolOutcome{}, inFlight: map[toolKey]int{}}
}

// Start opens the port. The error is a *ListenFailed.
func (t *Tool) Start() error {
	server, err := toolapi.NewServer(&toolHandler{tool: t})
	if err != nil {
		return err
	}
	return t.listen(server)
}

// Close closes the port.
func (t *Tool) Close() { t.shut() }

// Crash closes the port and cuts every connection. What the tool has done and
// remembers lasts.
func (t *Tool) Crash() { t.shut() }

// Restart opens the port again.
func (t *Tool) Restart() error {
	t.Crash()
	return t.Start()
}

// Ledger returns every execution so far, in order.
func (t *Tool) Ledger() []Execution {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]Execution(nil), t.executions...)
}

// ExecutionsByKey counts the executions of each key.
func (t *Tool) ExecutionsByKey() map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := make(map[string]int, len(t.executions))
	for _, execution := range t.executions {
		counts[execution.Key]++
	}
	return counts
}

// ExpectedResult returns what the stand-in tool answers to a call that ran.
func ExpectedResult(tool structs.ToolName, arguments []byte) []byte {
	return []byte(`{"tool":"` + string(tool) + `","digest":"` + PromptDigest([][]byte{arguments}) + `"}`)
}

// execute has the effect, unless the key is remembered, and returns the outcome.
func (t *Tool) execute(tool structs.ToolName, key string, arguments []byte, fail bool) toolOutcome {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.config.RemembersKeys {
		if earlier, known := t.outcomes[toolKey{tool, key}]; known {
			return earlier
		}
	}
	outcome := toolOutcome{status: http.StatusOK, body: ExpectedResult(tool, arguments)}
	if fail {
		outcome = toolOutcome{status: http.StatusInternalServerError}
	}
	t.executions = append(t.executions, Execution{Tool: tool, Key: key, Arguments: arguments, At: time.Now(), Failed: fail})
	if t.config.RemembersKeys {
		t.outcomes[toolKey{tool, key}] = outcome
	}
	return outcome
}

// begin marks a call as under way until the returned function is called.
func (t *Tool) begin(key toolKey) func() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inFlight[key]++
	return func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.inFlight[key]--
		if t.inFlight[key] == 0 {
			delete(t.inFlight, key)
		}
	}
}

// remembered returns the outcome of a key, whether there is one, and whether a
// call with the key is still under way.
func (t *Tool) remembered(key toolKey) (outcome toolOutcome, ran, pending bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	outcome, ran = t.outcomes[key]
	return outcome, ran, t.inFlight[key] > 0
}

// toolHandler serves the API of the tool service.
type toolHandler struct{ tool *Tool }

// toolProblem is an answer other than success.
type toolProblem struct {
	status int
	kind   string
	detail string
}

func (e *toolProblem) Error() string { return e.detail }

func (h *toolHandler) CallTool(ctx context.Context, request toolapi.CallToolReq, params toolapi.CallToolParams) (toolapi.CallToolRes, error) {
	t := h.tool
	arguments, err := io.ReadAll(request)
	if err != nil {
		cutConnection()
	}
	if t.Faults.HangBefore.Load() {
		<-ctx.Done()
		cutConnection()
	}
	if t.Faults.Refuse.Load() || t.dice.hit(t.Faults.RefuseRatio.Get()) {
		return &toolapi.Problem{Type: "refused", Detail: "the tool takes no calls now"}, nil
	}
	outcome := t.run(ctx, structs.ToolName(params.Tool), params.CallKey, arguments)
	if t.Faults.Hang.Load() || t.dice.hit(t.Faults.HangRatio.Get()) {
		<-ctx.Done()
		cutConnection()
	}
	if t.dice.hit(t.Faults.LoseAnswer.Get()) {
		cutConnection()
	}
	if outcome.status != http.StatusOK {
		return nil, &toolProblem{status: outcome.status, kind: "failed", detail: "the tool failed"}
	}
	return &toolapi.CallToolOK{Data: bytes.NewReader(outcome.body)}, nil
}

// run takes the time of a call and has its effect, which the client's leaving
// does not stop.
func (t *Tool) run(ctx context.Context, tool structs.ToolName, key string, arguments []byte) toolOutcome {
	end := t.begin(toolKey{tool, key})
	defer end()
	// A context without cancellation lets sleep end by its span alone.
	_ = sleep(context.WithoutCancel(ctx), t.config.Work+t.Faults.Slow.Get())
	fail := t.Faults.Fail.Load() || t.dice.hit(t.Faults.FailRatio.Get())
	return t.execute(tool, key, arguments, fail)
}

func (h *toolHandler) GetOutcome(_ context.Context, params toolapi.GetOutcomeParams) (*toolapi.Outcome, error) {
	if h.tool.Faults.NoOutcome.Load() {
		return nil, &toolProblem{status: http.StatusServiceUnavailable, kind: "unavailable", detail: "no outcomes now"}
	}
	if !h.tool.config.RemembersKeys {
		return &toolapi.Outcome{}, nil
	}
	outcome, ran, pending := h.tool.remembered(toolKey{structs.ToolName(params.Tool), params.Key})
	answer := &toolapi.Outcome{Known: true, Ran: ran, Body: outcome.body}
	answer.Pending.SetTo(pending && !ran)
	if ran {
		answer.Status.SetTo(outcome.status)
	}
	return answer, nil
}

func (h *toolHandler) NewError(_ context.Context, err error) *toolapi.ProblemStatusCode {
	problem, ok := err.(*toolProblem)
	if !ok {
		problem = &toolProblem{status: http.StatusBadRequest, kind: "bad_request", detail: err.Error()}
	}
	return &toolapi.ProblemStatusCode{
		StatusCode: problem.status,
		Response:   toolapi.Problem{Type: problem.kind, Detail: problem.detail},
	}
}
