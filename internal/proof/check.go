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

// callName is a call of a program.
type callName struct {
	program structs.ProgramID
	number  structs.CallNumber
}

// execution is one run in the ledgers of engines and tools.
type execution struct {
	call   callName
	key    string
	text   string
	tokens int64
}

// checker holds the ledgers and what was committed, and compares them with
// what callers were told.
type checker struct {
	cluster   *cluster
	violation string
	// reference applies every committed entry once, in order.
	reference *program.Machine
	entries   []*journalv1.Entry
	// startedKeys are the attempts that took effect in the journal.
	startedKeys map[string]bool
	runs        []execution
	// finished is what the journal holds as the answers of finished calls, and
	// finishedKeys the attempts that gave them.
	finished     map[callName]program.CallResult
	finishedKeys map[string]bool
	histories    int
}

func newChecker(c *cluster) *checker {
	return &checker{
		cluster: c, reference: program.NewMachine(shard),
		startedKeys: map[string]bool{}, finished: map[callName]program.CallResult{},
		finishedKeys: map[string]bool{},
	}
}

func (k *checker) violate(format string, arguments ...any) {
	if k.violation == "" {
		k.violation = fmt.Sprintf("step %d: ", k.cluster.report.Steps) + fmt.Sprintf(format, arguments...)
	}
}

func (k *checker) programs() []structs.ProgramID {
	ids := make([]structs.ProgramID, 0, len(k.cluster.callers))
	for _, p := range k.cluster.callers {
		ids = append(ids, p.id)
	}
	return ids
}

// committed checks that all nodes apply the same entries, and carries the
// reference on at the first.
func (k *checker) committed(n *node, entry *journalv1.Entry) {
	if known := int(entry.Index); known <= len(k.entries) {
		first := k.entries[known-1]
		if first.Term != entry.Term || !bytes.Equal(first.Data, entry.Data) {
			k.violate("%s applied another entry %d", n.name(), entry.Index)
		}
		return
	}
	if int(entry.Index) != len(k.entries)+1 {
		k.violate("%s applied entry %d after %d", n.name(), entry.Index, len(k.entries))
	}
	k.entries = append(k.entries, entry)
	if entry.Type != journalv1.EntryType_ENTRY_TYPE_DATA {
		return
	}
	k.reference.Apply(entry.Index, entry.Data)
	var batch programv1.RecordBatch
	if err := proto.Unmarshal(entry.Data, &batch); err != nil {
		k.violate("entry %d: %v", entry.Index, err)
	}
	for _, record := range batch.GetRecords() {
		k.note(record)
	}
}

func (k *checker) note(record *programv1.Record) {
	id := structs.ProgramID(record.GetProgramId())
	if started := record.GetStarted(); started != nil {
		number := structs.CallNumber(started.GetNumber())
		if _, dispatched := k.reference.StartedCall(id, number, started.GetDispatchKey()); dispatched {
			k.startedKeys[started.GetDispatchKey()] = true
		}
	}
	if finished := record.GetFinished(); finished != nil {
		name := callName{id, structs.CallNumber(finished.GetNumber())}
		status, _ := k.reference.StatusForAnyTenant(id)
		if answer, err := k.reference.CallResult(status.Tenant, id, name.number); err == nil && answer.State == program.Finished {
			k.finished[name] = answer
			k.finishedKeys[k.lastKey(name)] = true
		}
	}
	k.checkBudget(id)
}

func (k *checker) lastKey(name callName) string {
	call, _ := k.reference.Call(name.program, name.number)
	return call.DispatchKey
}

func (k *checker) checkBudget(id structs.ProgramID) {
	status, found := k.reference.StatusForAnyTenant(id)
	if !found {
		return
	}
	used := status.Spent.Plus(status.Reserved).Plus(status.Granted)
	if !used.Within(status.Budget) || status.Remaining.Negative() {
		k.violate("%s uses %+v of %+v", id, used, status.Budget)
	}
}

func (k *checker) ran(call *program.Call, text string, tokens int64) {
	if !k.startedKeys[call.DispatchKey] {
		k.violate("%s was sent before its record", call.DispatchKey)
	}
	k.runs = append(k.runs, execution{callName{call.Program, call.Number}, call.DispatchKey, text, tokens})
}

// ranTool notes one run of a tool.
func (k *checker) ranTool(call *program.Call, text string) {
	name := callName{call.Program, call.Number}
	if !call.Repeatable && k.hasRun(name) {
		k.violate("%v ran twice and is not repeatable", name)
	}
	k.ran(call, text, 0)
}

func (k *checker) hasRun(name callName) bool {
	return slices.ContainsFunc(k.runs, func(e execution) bool { return e.call == name })
}

// ranModel notes one run of a model, and that it saw its program's history,
// whole and unmixed.
func (k *checker) ranModel(call *program.Call, segments []string, r streamResult) {
	k.ran(call, r.text, r.tokens)
	k.histories++
	var expected []string
	for _, request := range k.callsOf(call.Program) {
		if answer, done := k.finished[callName{call.Program, request.Number}]; done && request.Number < call.Number {
			expected = append(expected, string(request.Input), string(answer.Answer))
		}
		if request.Number == call.Number {
			expected = append(expected, string(request.Input))
		}
	}
	if !slices.Equal(expected, segments) {
		k.violate("%s saw history %q instead of %q", call.DispatchKey, segments, expected)
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

// answered compares an answer with the ledgers and with an earlier answer.
func (k *checker) answered(p *caller, number structs.CallNumber, answer program.CallResult) {
	name := callName{p.id, number}
	if earlier, repeated := p.answers[number]; repeated && (earlier.State != answer.State || !bytes.Equal(earlier.Answer, answer.Answer)) {
		k.violate("%v was answered %q and %q", name, earlier.Answer, answer.Answer)
	}
	if answer.State == program.Finished && !k.hasResult(name, string(answer.Answer)) {
		k.violate("%v was answered %q, which no ledger holds", name, answer.Answer)
	}
}

func (k *checker) hasResult(name callName, text string) bool {
	return slices.ContainsFunc(k.runs, func(e execution) bool { return e.call == name && e.text == text })
}

// finalChecks looks at the whole run once all is quiet.
func (k *checker) finalChecks() {
	for _, p := range k.cluster.callers {
		k.checkRefusals(p)
		k.checkOrder(p)
		k.checkSpending(p)
	}
	k.checkReplicas()
}

// checkRefusals checks that what was refused as not run is in no ledger.
func (k *checker) checkRefusals(p *caller) {
	for _, request := range p.calls {
		name := callName{p.id, request.Number}
		answer, answered := p.answers[request.Number]
		if answered && answer.Outcome == failure.NotRun && k.hasRun(name) {
			k.violate("%v was refused as not run, and ran", name)
		}
	}
}

// checkOrder checks that the runs whose answers stand are in the calls' order.
func (k *checker) checkOrder(p *caller) {
	last := structs.CallNumber(0)
	for _, run := range k.runs {
		if run.call.program != p.id || !k.finishedKeys[run.key] {
			continue
		}
		if run.call.number < last {
			k.violate("call %d of %s ran after call %d", run.call.number, p.id, last)
		}
		last = run.call.number
	}
}

// checkSpending checks that the journal counts all that the engines ran.
func (k *checker) checkSpending(p *caller) {
	status, held := k.reference.StatusForAnyTenant(p.id)
	if !held {
		return
	}
	total := int64(0)
	for _, run := range k.runs {
		if run.call.program == p.id {
			total += run.tokens
		}
	}
	if total > status.Spent.Tokens {
		k.violate("engines ran %d tokens for %s, which spent %d", total, p.id, status.Spent.Tokens)
	}
}

// checkReplicas checks that replicas at the same entry hold the same state.
func (k *checker) checkReplicas() {
	reference, err := k.reference.Snapshot()
	if err != nil {
		k.violate("snapshot: %v", err)
	}
	for _, n := range k.cluster.nodes {
		if n.replica == nil || n.machine.Applied() != k.reference.Applied() {
			continue
		}
		if data, err := n.machine.Snapshot(); err != nil || !bytes.Equal(data, reference) {
			k.violate("%s holds another state", n.name())
		}
	}
}
