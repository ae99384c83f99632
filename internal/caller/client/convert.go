package client

import (
	"github.com/go-faster/jx"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/gen/callerapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Answer is the whole answer of a call.
type Answer struct {
	Number  structs.CallNumber
	Attempt uint32
	Text    []byte
	// PromptTokens, AnswerTokens and ReusedTokens are the engine's account.
	PromptTokens int64
	AnswerTokens int64
	ReusedTokens int64
}

func answerFrom(whole callerapi.Answer) Answer {
	answer := Answer{
		Number:       structs.CallNumber(whole.Number),
		Attempt:      uint32(whole.Attempt),
		Text:         whole.Base64,
		PromptTokens: whole.Usage.PromptTokens,
		AnswerTokens: whole.Usage.AnswerTokens,
		ReusedTokens: whole.Usage.ReusedTokens,
	}
	if text, set := whole.Text.Get(); set {
		answer.Text = []byte(text)
	}
	return answer
}

func encodeOpen(r caller.OpenRequest) []byte {
	open := callerapi.OpenProgram{
		Program:      string(r.Program),
		Key:          r.Key,
		HistoryZones: zoneNames(r.HistoryZones),
		CacheZones:   zoneNames(r.CacheZones),
	}
	if r.Budget != nil {
		open.Budget = callerapi.NewOptAmount(callerapi.Amount(*r.Budget))
	}
	if r.Parent != "" {
		open.Parent = callerapi.NewOptString(string(r.Parent))
	}
	if r.DeadlineMilliseconds != 0 {
		open.DeadlineMilliseconds = callerapi.NewOptInt64(r.DeadlineMilliseconds)
	}
	return encode(&open)
}

func zoneNames(zones []structs.ZoneName) []string {
	var names []string
	for _, zone := range zones {
		names = append(names, string(zone))
	}
	return names
}

func encodeCall(r caller.CallRequest) []byte {
	call := callerapi.IssueCall{
		Kind:       callerapi.IssueCallKind(r.Kind),
		Target:     r.Target,
		Repeatable: callerapi.NewOptBool(r.Repeatable),
		Input:      callerapi.NewOptString(string(r.Input)),
	}
	if r.Adapter != "" {
		call.Adapter = callerapi.NewOptString(r.Adapter)
	}
	if r.MaxAnswerTokens != 0 {
		call.MaxAnswerTokens = callerapi.NewOptInt64(r.MaxAnswerTokens)
	}
	if r.ExpectedPauseMilliseconds != 0 {
		call.ExpectedPauseMilliseconds = callerapi.NewOptInt64(r.ExpectedPauseMilliseconds)
	}
	return encode(&call)
}

func encode(value interface{ Encode(*jx.Encoder) }) []byte {
	encoder := new(jx.Encoder)
	value.Encode(encoder)
	return encoder.Bytes()
}
