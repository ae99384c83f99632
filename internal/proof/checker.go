package proof

import (
	"bytes"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/journalv1"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// callID identifies a call of a program.
type callID struct {
	program structs.ProgramID
	number  structs.CallNumber
}

// execution is one execution of a call by an engine or tool.
type execution struct {
	call        callID
	dispatchKey string
	text        string
	tokens      int64
}

// checker records the executions of engines and tools and the committed entries,
// and compares them with the answers that callers received.
type checker struct {
	cluster   *cluster
	violation string
	// referenceMachine applies every committed entry once, in order.
	referenceMachine *program.Machine
	committedEntries []*journalv1.Entry
	// dispatchedKeys are the dispatch keys of attempts whose committed start
	// took effect.
	dispatchedKeys map[string]bool
	executions     []execution
	// finishedAnswers are the committed answers of finished calls. finishedKeys
	// are the dispatch keys of the attempts that produced them.
	finishedAnswers map[callID]program.CallResult
	finishedKeys    map[string]bool
	checkedPrompts  int
}

func newChecker(c *cluster) *checker {
	return &checker{
		cluster: c, referenceMachine: program.NewMachine(shard),
		dispatchedKeys: map[string]bool{}, finishedAnswers: map[callID]program.CallResult{},
		finishedKeys: map[string]bool{},
	}
}

func (k *checker) reportViolation(format string, arguments ...any) {
	if k.violation == "" {
		k.violation = fmt.Sprintf("step %d: ", k.cluster.report.Steps) + fmt.Sprintf(format, arguments...)
	}
}

func (k *checker) programIDs() []structs.ProgramID {
	ids := make([]structs.ProgramID, 0, len(k.cluster.callers))
	for _, p := range k.cluster.callers {
		ids = append(ids, p.id)
	}
	return ids
}

// observeEntry checks that all nodes apply the same entries. It applies an entry to
// referenceMachine when the first node applies it.
func (k *checker) observeEntry(n *node, entry *journalv1.Entry) {
	if index := int(entry.Index); index <= len(k.committedEntries) {
		first := k.committedEntries[index-1]
		if first.Term != entry.Term || !bytes.Equal(first.Data, entry.Data) {
			k.reportViolation("%s applied a different entry at index %d", n.name(), entry.Index)
		}
		return
	}
	if int(entry.Index) != len(k.committedEntries)+1 {
		k.reportViolation("%s applied entry %d, but only %d entries are committed before it", n.name(), entry.Index, len(k.committedEntries))
	}
	k.committedEntries = append(k.committedEntries, entry)
	if entry.Type != journalv1.EntryType_ENTRY_TYPE_DATA {
		return
	}
	k.referenceMachine.Apply(entry.Index, entry.Data)
	var batch programv1.RecordBatch
	if err := proto.Unmarshal(entry.Data, &batch); err != nil {
		k.reportViolation("cannot decode entry %d: %v", entry.Index, err)
	}
	for _, record := range batch.GetRecords() {
		k.observeRecord(record)
	}
}

func (k *checker) observeRecord(record *programv1.Record) {
	id := structs.ProgramID(record.GetProgramId())
	if started := record.GetStarted(); started != nil {
		number := structs.CallNumber(started.GetNumber())
		if _, dispatched := k.referenceMachine.StartedCall(id, number, started.GetDispatchKey()); dispatched {
			k.dispatchedKeys[started.GetDispatchKey()] = true
		}
	}
	if finished := record.GetFinished(); finished != nil {
		finishedCall := callID{id, structs.CallNumber(finished.GetNumber())}
		status, _ := k.referenceMachine.StatusForAnyTenant(id)
		if answer, err := k.referenceMachine.CallResult(status.Tenant, id, finishedCall.number); err == nil && answer.State == program.Finished {
			k.finishedAnswers[finishedCall] = answer
			k.finishedKeys[k.lastDispatchKey(finishedCall)] = true
		}
	}
	k.checkBudget(id)
}

func (k *checker) lastDispatchKey(id callID) string {
	call, _ := k.referenceMachine.Call(id.program, id.number)
	return call.DispatchKey
}

func (k *checker) checkBudget(id structs.ProgramID) {
	status, found := k.referenceMachine.StatusForAnyTenant(id)
	if !found {
		return
	}
	used := status.Spent.Plus(status.Reserved).Plus(status.Granted)
	if !used.Within(status.Budget) || status.Remaining.Negative() {
		k.reportViolation("program %s uses %+v of its budget %+v", id, used, status.Budget)
	}
}

func (k *checker) recordExecution(call *program.Call, text string, tokens int64) {
	if !k.dispatchedKeys[call.DispatchKey] {
		k.reportViolation("%s was dispatched before its start was committed", call.DispatchKey)
	}
	k.executions = append(k.executions, execution{callID{call.Program, call.Number}, call.DispatchKey, text, tokens})
}

// recordToolExecution records and checks an execution of a tool.
func (k *checker) recordToolExecution(call *program.Call, text string) {
	id := callID{call.Program, call.Number}
	if !call.Repeatable && k.hasExecution(id) {
		k.reportViolation("call %v was executed twice but is not repeatable", id)
	}
	k.recordExecution(call, text, 0)
}

func (k *checker) hasExecution(id callID) bool {
	return slices.ContainsFunc(k.executions, func(e execution) bool { return e.call == id })
}

// recordModelExecution records an execution of a model. It checks that the prompt
// holds the complete history of its program and nothing else.
func (k *checker) recordModelExecution(call *program.Call, segments []string, r streamResult) {
	k.recordExecution(call, r.text, r.tokens)
	k.checkedPrompts++
	var expected []string
	for _, request := range k.callsOf(call.Program) {
		if answer, done := k.finishedAnswers[callID{call.Program, request.Number}]; done && request.Number < call.Number {
			expected = append(expected, string(request.Input), string(answer.Answer))
		}
		if request.Number == call.Number {
			expected = append(expected, string(request.Input))
		}
	}
	if !slices.Equal(expected, segments) {
		k.reportViolation("%s was sent the prompt %q instead of %q", call.DispatchKey, segments, expected)
	}
}

func (k *checker) callsOf(id structs.ProgramID) []program.CallRequest {
	for _, p := range k.cluster.callers {
		if p.id == id {
			return p.calls
		}
	}
	return nil
}

// checkAnswer compares an answer with the executions and with an earlier answer to
// the same call.
func (k *checker) checkAnswer(p *caller, number structs.CallNumber, answer program.CallResult) {
	id := callID{p.id, number}
	if earlier, repeated := p.answers[number]; repeated && (earlier.State != answer.State || !bytes.Equal(earlier.Answer, answer.Answer)) {
		k.reportViolation("call %v was answered with %q and then with %q", id, earlier.Answer, answer.Answer)
	}
	if answer.State == program.Finished && !k.hasResult(id, string(answer.Answer)) {
		k.reportViolation("call %v was answered with %q, but no execution returned that", id, answer.Answer)
	}
}

func (k *checker) hasResult(id callID, text string) bool {
	return slices.ContainsFunc(k.executions, func(e execution) bool { return e.call == id && e.text == text })
}

// checkFinalState checks the complete run after all work is finished.
func (k *checker) checkFinalState() {
	for _, p := range k.cluster.callers {
		k.checkNotRunAnswers(p)
		k.checkExecutionOrder(p)
		k.checkTokenSpending(p)
	}
	k.checkReplicaStates()
}

// checkNotRunAnswers checks that calls that were answered as not run were not
// executed.
func (k *checker) checkNotRunAnswers(p *caller) {
	for _, request := range p.calls {
		id := callID{p.id, request.Number}
		answer, answered := p.answers[request.Number]
		if answered && answer.Outcome == failure.NotRun && k.hasExecution(id) {
			k.reportViolation("call %v was answered as not run but was executed", id)
		}
	}
}

// checkExecutionOrder checks that the executions that produced answers are in the
// order of the calls.
func (k *checker) checkExecutionOrder(p *caller) {
	lastNumber := structs.CallNumber(0)
	for _, e := range k.executions {
		if e.call.program != p.id || !k.finishedKeys[e.dispatchKey] {
			continue
		}
		if e.call.number < lastNumber {
			k.reportViolation("call %d of program %s was executed after call %d", e.call.number, p.id, lastNumber)
		}
		lastNumber = e.call.number
	}
}

// checkTokenSpending checks that the journal accounts for all tokens that engines
// processed.
func (k *checker) checkTokenSpending(p *caller) {
	status, found := k.referenceMachine.StatusForAnyTenant(p.id)
	if !found {
		return
	}
	total := int64(0)
	for _, e := range k.executions {
		if e.call.program == p.id {
			total += e.tokens
		}
	}
	if total > status.Spent.Tokens {
		k.reportViolation("engines processed %d tokens for program %s, but the journal accounts for %d", total, p.id, status.Spent.Tokens)
	}
}

// checkReplicaStates checks that replicas with the same applied index hold the same
// state.
func (k *checker) checkReplicaStates() {
	reference, err := k.referenceMachine.Snapshot()
	if err != nil {
		k.reportViolation("cannot snapshot the reference machine: %v", err)
	}
	for _, n := range k.cluster.nodes {
		if n.replica == nil || n.machine.Applied() != k.referenceMachine.Applied() {
			continue
		}
		if data, err := n.machine.Snapshot(); err != nil || !bytes.Equal(data, reference) {
			k.reportViolation("%s holds a different state than the reference machine", n.name())
		}
	}
}
