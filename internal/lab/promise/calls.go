package promise

import (
	"bytes"
	"math"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// checkOrder: of two calls of a program that both ran, the later one began
// only after a run of the earlier one had ended.
func checkOrder(_ *Evidence, x *index, verdict *Verdict) {
	for id, program := range x.programs {
		earlier := int64(0)
		earlierNumber := structs.CallNumber(0)
		for _, call := range program.Calls {
			runs := x.runsOf(id, call.Number)
			if len(runs) == 0 {
				continue
			}
			started, finished := span(runs)
			if earlierNumber > 0 {
				verdict.check(earlier <= started, "%s: call %d began before call %d ended", id, call.Number, earlierNumber)
			}
			earlier, earlierNumber = finished, call.Number
		}
	}
}

// span returns the first start of the runs and the first end. Where no run
// ended by itself, the end is the first start.
func span(runs []run) (started, finished int64) {
	started, finished = math.MaxInt64, math.MaxInt64
	for _, each := range runs {
		started = min(started, each.started)
		if each.finished > 0 {
			finished = min(finished, each.finished)
		}
	}
	if finished == math.MaxInt64 {
		finished = started
	}
	return started, finished
}

// Refusals that a caller must never see of a program that was opened, or of a
// call that it has read from: callers ask for nothing else.
const (
	unknownProgramType failure.Type = "unknown_program"
	unknownCallType    failure.Type = "unknown_call"
)

// checkHistory: every prompt that an engine saw, and all arguments that a tool
// saw, are what the caller of that very program wrote and read before; and no
// daemon forgot a program or a call.
func checkHistory(evidence *Evidence, x *index, verdict *Verdict) {
	for _, stream := range x.strayStreams {
		_, known := x.programs[stream.Holder]
		verdict.check(false, "engine %s stream %s: prompt is not the history of its holder %s (known %t)",
			stream.Engine, stream.ID, stream.Holder, known)
	}
	for _, toolRun := range x.strayToolRuns {
		verdict.check(false, "tool %s ran with arguments that no caller sent: %.80q", toolRun.Tool, toolRun.Arguments)
	}
	for _, runs := range x.runs {
		for range runs {
			verdict.check(true, "")
		}
	}
	for id, program := range x.programs {
		for i, call := range program.Calls {
			for _, attempt := range call.Attempts {
				forgotten := attempt.FailureType == unknownProgramType || attempt.FailureType == unknownCallType
				verdict.check(!forgotten, "%s call %d: %s at %s", id, call.Number, attempt.FailureType, attempt.Daemon)
			}
			if call.Kind != ModelCall || !call.Complete {
				continue
			}
			digest := evidence.Oracle.Digest(Segments(program.Calls, i))
			verdict.check(bytes.Contains(call.Answer, []byte(digest)),
				"%s call %d: the answer was made from another prompt", id, call.Number)
		}
	}
}

// checkAnswers: every call that a caller issued was settled, and an answer
// reported complete is the whole answer to that caller's prompt.
func checkAnswers(evidence *Evidence, x *index, verdict *Verdict) {
	for id, program := range x.programs {
		for i, call := range program.Calls {
			if len(call.Attempts) == 0 {
				continue
			}
			verdict.check(call.Settled(), "%s call %d: the caller never got an answer", id, call.Number)
			if !call.Complete {
				continue
			}
			expected := expectedAnswer(evidence.Oracle, program, i)
			verdict.check(bytes.Equal(call.Answer, expected),
				"%s call %d: got %d bytes of an answer of %d", id, call.Number, len(call.Answer), len(expected))
		}
	}
}

func expectedAnswer(oracle Oracle, program *Program, position int) []byte {
	call := program.Calls[position]
	if call.Kind == ToolCall {
		return oracle.ToolAnswer(call.Target, call.Input)
	}
	return oracle.Answer(call.Target, call.Adapter, Segments(program.Calls, position), call.MaxAnswerTokens)
}

// checkRefusals: while every request sent so far for a call was refused as not
// run, no run of that call has begun, and none begins before the next request.
func checkRefusals(_ *Evidence, x *index, verdict *Verdict) {
	for id, program := range x.programs {
		for _, call := range program.Calls {
			until, refused := refusedUntil(call)
			if refused == 0 {
				continue
			}
			started := int64(math.MaxInt64)
			for _, each := range x.runsOf(id, call.Number) {
				started = min(started, each.started)
			}
			holds := started == math.MaxInt64 || started >= until
			verdict.check(holds, "%s call %d: refused as not run, yet it ran", id, call.Number)
		}
	}
}

// refusedUntil returns the time before which nothing but refusals as not run
// answered the call, and the number of these refusals.
func refusedUntil(call Call) (until int64, refused int) {
	for _, attempt := range call.Attempts {
		notRun := attempt.Result == Refused && attempt.Outcome == failure.NotRun
		if !notRun && attempt.Result != Unreached {
			return attempt.Sent.UnixNano(), refused
		}
		if notRun {
			refused++
		}
	}
	return math.MaxInt64, refused
}

// checkAtMostOnce: a call marked not repeatable has at most one run.
func checkAtMostOnce(_ *Evidence, x *index, verdict *Verdict) {
	for id, program := range x.programs {
		for _, call := range program.Calls {
			if call.Repeatable || call.Kind != ToolCall || len(call.Attempts) == 0 {
				continue
			}
			runs := len(x.runsOf(id, call.Number))
			verdict.check(runs <= 1, "%s call %d to %s ran %d times", id, call.Number, call.Target, runs)
		}
	}
}
