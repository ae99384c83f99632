package promise_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func digest(segments [][]byte) string {
	sum := sha256.Sum256(bytes.Join(segments, []byte{0}))
	return hex.EncodeToString(sum[:])
}

func answer(_, _ string, segments [][]byte, _ int64) []byte {
	return []byte(digest(segments) + " whole answer")
}

func answered(daemon structs.NodeID, sent, finished float64) []promise.Attempt {
	return []promise.Attempt{{Daemon: daemon, Sent: at(sent), Finished: at(finished), Result: promise.Answered}}
}

// kept returns evidence of a run in which every promise was kept: a program
// of three calls that ended, and one whose only call was refused.
func kept() *promise.Evidence {
	calls := []promise.Call{
		{Number: 1, Kind: promise.ModelCall, Target: "m", Input: []byte("ask"), Attempts: answered("d1", 1, 2), Complete: true},
		{Number: 2, Kind: promise.ToolCall, Target: "release", Input: []byte("p/2"), Attempts: answered("d2", 3, 4), Answer: []byte("ok"), Complete: true},
		{Number: 3, Kind: promise.ModelCall, Target: "m", Input: []byte("sum up"), Attempts: answered("d1", 5, 6), Complete: true},
	}
	calls[0].Answer = answer("m", "", promise.Segments(calls, 0), 0)
	calls[2].Answer = answer("m", "", promise.Segments(calls, 2), 0)
	refused := promise.Call{Number: 1, Kind: promise.ToolCall, Target: "release", Input: []byte("q/1"), FailureType: "budget_exceeded", Outcome: failure.NotRun}
	refused.Attempts = []promise.Attempt{{Daemon: "d2", Sent: at(1), Finished: at(2), Result: promise.Refused, FailureType: "budget_exceeded", Outcome: failure.NotRun}}
	budget := structs.Amount{Tokens: 100, CostMicros: 100, Turns: 3, Milliseconds: 1000}
	return &promise.Evidence{
		Oracle: promise.Oracle{Digest: digest, Answer: answer, ToolAnswer: func(string, []byte) []byte { return []byte("ok") }},
		Programs: []promise.Program{
			{ID: "p", Budget: budget, Calls: calls, Ended: at(7)},
			{ID: "q", Budget: budget, Calls: []promise.Call{refused}, Ended: at(7)},
		},
		Streams: []promise.Stream{
			{Engine: "e1", ID: "s1", Holder: "p", Model: "m", Digest: digest(promise.Segments(calls, 0)), Started: at(1.1), Finished: at(1.9), PromptTokens: 10, AnswerTokens: 10},
			{Engine: "e2", ID: "s3", Holder: "p", Model: "m", Digest: digest(promise.Segments(calls, 2)), Started: at(5.1), Finished: at(5.9), PromptTokens: 30, AnswerTokens: 10},
		},
		ToolRuns:    []promise.ToolRun{{Tool: "release", Arguments: []byte("p/2"), Started: at(3.1), Finished: at(3.9)}},
		Collected:   at(30),
		Departures:  []promise.Departure{{Engine: "e1", Since: at(2)}},
		Stops:       []promise.PlannedStop{{Daemon: "d1", Begun: at(5.5), Done: at(8)}},
		Accepted:    []promise.Accepted{{Version: 2, At: at(10)}},
		Samples:     []promise.Sample{{Daemon: "d1", At: at(9), Version: 1}, {Daemon: "d1", At: at(19), Version: 2}},
		ModelPrices: map[string]int64{"m": 1_000_000},
		ToolPrices:  map[string]int64{"release": 5},
		Bounds:      promise.DefaultBounds(),
	}
}

func TestEveryPromiseIsCheckedAndKept(t *testing.T) {
	verdicts := promise.Check(kept())
	require.Len(t, verdicts, 10)
	for _, verdict := range verdicts {
		require.Positive(t, verdict.Checked, verdict.Name)
		require.Zero(t, verdict.Broken, "%s: %v", verdict.Name, verdict.Details)
	}
	require.True(t, promise.Kept(verdicts))
}

func TestUncheckedPromiseIsNotKept(t *testing.T) {
	evidence := kept()
	evidence.Stops = nil
	require.False(t, promise.Kept(promise.Check(evidence)))
}

// Each planted violation must break its promise.
func TestPlantedViolationIsReported(t *testing.T) {
	call := func(e *promise.Evidence, number int) *promise.Call { return &e.Programs[0].Calls[number-1] }
	plants := []struct {
		title   string
		promise string
		plant   func(*promise.Evidence)
	}{
		{"later call overtakes", promise.InOrder, func(e *promise.Evidence) { e.ToolRuns[0].Started = at(1.5) }},
		{"last call runs first", promise.InOrder, func(e *promise.Evidence) { e.Streams[1].Started, e.Streams[1].Finished = at(0.5), at(0.9) }},
		{"engine saw a shorter history", promise.HistoryKept, func(e *promise.Evidence) { e.Streams[1].Digest = digest([][]byte{[]byte("sum up")}) }},
		{"engine saw another program's history", promise.HistoryKept, func(e *promise.Evidence) { e.Streams[1].Holder = "q" }},
		{"answer from a mixed prompt", promise.HistoryKept, func(e *promise.Evidence) { call(e, 3).Answer = answer("m", "", [][]byte{[]byte("other")}, 0) }},
		{"tool got altered arguments", promise.HistoryKept, func(e *promise.Evidence) { e.ToolRuns[0].Arguments = []byte("p/3") }},
		{"a daemon forgot the program", promise.HistoryKept, func(e *promise.Evidence) {
			forgotten := promise.Attempt{Daemon: "d2", Sent: at(2.5), Finished: at(2.6), Result: promise.Refused, FailureType: "unknown_program", Outcome: failure.NotRun}
			call(e, 2).Attempts = append([]promise.Attempt{forgotten}, call(e, 2).Attempts...)
		}},
		{"too many tokens", promise.WithinBudget, func(e *promise.Evidence) { e.Streams[0].AnswerTokens = 90 }},
		{"too much money", promise.WithinBudget, func(e *promise.Evidence) { e.ToolPrices["release"] = 50 }},
		{"too many turns", promise.WithinBudget, func(e *promise.Evidence) { e.Programs[0].Budget.Turns = 2 }},
		{"a sub-agent overspends its parent's budget", promise.WithinBudget, func(e *promise.Evidence) {
			child := promise.Program{ID: "c", Parent: "p", Budget: structs.Amount{Tokens: 90, CostMicros: 90, Turns: 1}}
			child.Calls = []promise.Call{{Number: 1, Kind: promise.ModelCall, Target: "m", Input: []byte("c")}}
			e.Programs = append(e.Programs, child)
			e.Streams = append(e.Streams, promise.Stream{Engine: "e2", Holder: "c", Model: "m", Digest: digest([][]byte{[]byte("c")}), Started: at(6), PromptTokens: 60})
		}},
		{"memory held after the end", promise.MemoryReleased, func(e *promise.Evidence) { e.Holds = []promise.Hold{{Engine: "e2", Holder: "p"}} }},
		{"memory released late", promise.MemoryReleased, func(e *promise.Evidence) {
			e.LastHeld = map[structs.ProgramID]time.Time{"p": at(18)}
		}},
		{"memory held for nobody", promise.MemoryReleased, func(e *promise.Evidence) { e.Holds = []promise.Hold{{Engine: "e2", Holder: "x"}} }},
		{"answer cut short", promise.WholeAnswers, func(e *promise.Evidence) { call(e, 3).Answer = call(e, 3).Answer[:70] }},
		{"another tool call's answer", promise.WholeAnswers, func(e *promise.Evidence) { call(e, 2).Answer = []byte("ok for another") }},
		{"part delivered twice", promise.WholeAnswers, func(e *promise.Evidence) { call(e, 3).Answer = append(call(e, 3).Answer, " answer"...) }},
		{"caller left without a word", promise.WholeAnswers, func(e *promise.Evidence) { call(e, 2).Complete = false }},
		{"ran after a final refusal", promise.RefusedNotRun, func(e *promise.Evidence) {
			e.ToolRuns = append(e.ToolRuns, promise.ToolRun{Tool: "release", Arguments: []byte("q/1"), Started: at(20)})
		}},
		{"ran before a refusal that allows a repeat", promise.RefusedNotRun, func(e *promise.Evidence) {
			first := promise.Attempt{Daemon: "d1", Sent: at(2.5), Finished: at(3.3), Result: promise.Refused, FailureType: "shard_unavailable", Outcome: failure.NotRun}
			second := promise.Attempt{Daemon: "d2", Sent: at(3.5), Finished: at(4), Result: promise.Answered}
			call(e, 2).Attempts = []promise.Attempt{first, second}
		}},
		{"released twice", promise.AtMostOnce, func(e *promise.Evidence) { e.ToolRuns = append(e.ToolRuns, e.ToolRuns[0]) }},
		{"work for a leaving engine", promise.LeavingIsIdle, func(e *promise.Evidence) { e.Streams[1].Engine = "e1" }},
		{"stop cut an answer off", promise.StopCutsNothing, func(e *promise.Evidence) { call(e, 3).Attempts[0].Result = promise.Broken }},
		{"stop turned a request away halfway", promise.StopCutsNothing, func(e *promise.Evidence) {
			call(e, 3).Attempts[0].Result, call(e, 3).Attempts[0].FailureType = promise.Refused, "draining"
		}},
		{"stop ended a request with a failure of the daemon's own", promise.StopCutsNothing, func(e *promise.Evidence) {
			call(e, 3).Attempts[0].Result, call(e, 3).Attempts[0].FailureType = promise.Refused, "internal"
			call(e, 3).Attempts[0].Outcome = failure.OutcomeUnknown
		}},
		{"version goes back", promise.ConfigInForce, func(e *promise.Evidence) {
			e.Samples = append(e.Samples, promise.Sample{Daemon: "d1", At: at(20), Version: 1})
		}},
		{"version late", promise.ConfigInForce, func(e *promise.Evidence) { e.Samples[1].Version = 1 }},
		{"two changes accepted as one version", promise.ConfigInForce, func(e *promise.Evidence) { e.Accepted = append(e.Accepted, e.Accepted[0]) }},
		{"accepted change lost", promise.ConfigInForce, func(e *promise.Evidence) { e.Accepted[0].Lost = true }},
	}
	for _, planted := range plants {
		t.Run(planted.title, func(t *testing.T) {
			evidence := kept()
			planted.plant(evidence)
			for _, verdict := range promise.Check(evidence) {
				if verdict.Name == planted.promise {
					require.Positive(t, verdict.Broken)
					require.NotEmpty(t, verdict.Details)
				}
			}
			require.False(t, promise.Kept(promise.Check(evidence)))
		})
	}
}

func TestAnImpairedDaemonMayLearnLate(t *testing.T) {
	evidence := kept()
	evidence.Samples[1].Version = 1
	evidence.Impaired = []promise.Impairment{{Daemon: "d1", From: at(9), To: at(15)}}
	require.True(t, promise.Kept(promise.Check(withLaterSample(evidence))))
}

// withLaterSample adds a later sample, so that the promise is checked nonetheless.
func withLaterSample(evidence *promise.Evidence) *promise.Evidence {
	evidence.Samples = append(evidence.Samples, promise.Sample{Daemon: "d1", At: at(29), Version: 2})
	return evidence
}
