package promise

import "github.com/barleyshelf/barleyshelf/internal/structs"

// Segments returns the prompt that the engine must see for the call at index:
// the inputs and answers of the calls before it, then its own input. A call
// that did not run leaves nothing in the history.
func Segments(calls []Call, index int) [][]byte {
	var segments [][]byte
	for _, earlier := range calls[:index] {
		if !earlier.Complete {
			continue
		}
		segments = append(segments, earlier.Input, earlier.Answer)
	}
	return append(segments, calls[index].Input)
}

// run is one effect outside, matched to the call that asked for it.
type run struct {
	number  structs.CallNumber
	kind    Kind
	target  string
	started int64
	// finished is 0 for a run that did not end by itself.
	finished int64
	tokens   int64
}

// index holds the evidence by program and call.
type index struct {
	programs map[structs.ProgramID]*Program
	runs     map[structs.ProgramID][]run
	// strayStreams saw a prompt that their holder's caller did not write.
	strayStreams []Stream
	// strayToolRuns carry arguments that no caller sent.
	strayToolRuns []ToolRun
}

type callKey struct {
	program structs.ProgramID
	number  structs.CallNumber
}

func newIndex(evidence *Evidence) *index {
	built := &index{
		programs: make(map[structs.ProgramID]*Program, len(evidence.Programs)),
		runs:     make(map[structs.ProgramID][]run, len(evidence.Programs)),
	}
	digests := map[structs.ProgramID]map[string]structs.CallNumber{}
	arguments := map[string]callKey{}
	for i := range evidence.Programs {
		program := &evidence.Programs[i]
		built.programs[program.ID] = program
		digests[program.ID] = expectedDigests(evidence.Oracle, program)
		for _, call := range program.Calls {
			if call.Kind == ToolCall {
				arguments[call.Target+"\x00"+string(call.Input)] = callKey{program.ID, call.Number}
			}
		}
	}
	built.addStreams(evidence.Streams, digests)
	built.addToolRuns(evidence.ToolRuns, arguments)
	return built
}

func expectedDigests(oracle Oracle, program *Program) map[string]structs.CallNumber {
	digests := make(map[string]structs.CallNumber, len(program.Calls))
	for i, call := range program.Calls {
		if call.Kind == ModelCall {
			digests[oracle.Digest(Segments(program.Calls, i))] = call.Number
		}
	}
	return digests
}

func (x *index) addStreams(streams []Stream, digests map[structs.ProgramID]map[string]structs.CallNumber) {
	for _, stream := range streams {
		number, known := digests[stream.Holder][stream.Digest]
		if !known {
			x.strayStreams = append(x.strayStreams, stream)
			continue
		}
		added := run{number: number, kind: ModelCall, target: stream.Model}
		added.started = stream.Started.UnixNano()
		added.tokens = stream.PromptTokens + stream.AnswerTokens
		if !stream.Finished.IsZero() {
			added.finished = stream.Finished.UnixNano()
		}
		x.runs[stream.Holder] = append(x.runs[stream.Holder], added)
	}
}

func (x *index) addToolRuns(toolRuns []ToolRun, arguments map[string]callKey) {
	for _, toolRun := range toolRuns {
		key, known := arguments[toolRun.Tool+"\x00"+string(toolRun.Arguments)]
		if !known {
			x.strayToolRuns = append(x.strayToolRuns, toolRun)
			continue
		}
		added := run{number: key.number, kind: ToolCall, target: toolRun.Tool}
		added.started = toolRun.Started.UnixNano()
		if !toolRun.Finished.IsZero() {
			added.finished = toolRun.Finished.UnixNano()
		}
		x.runs[key.program] = append(x.runs[key.program], added)
	}
}

// runsOf returns the runs of one call.
func (x *index) runsOf(program structs.ProgramID, number structs.CallNumber) []run {
	var found []run
	for _, candidate := range x.runs[program] {
		if candidate.number == number {
			found = append(found, candidate)
		}
	}
	return found
}
