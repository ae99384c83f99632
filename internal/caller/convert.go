package caller

import (
	"time"
	"unicode/utf8"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/callerapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Conversions between the generated types and the project's own.

func amountFrom(a callerapi.Amount) structs.Amount {
	return structs.Amount{
		Tokens:       a.Tokens,
		CostMicros:   a.CostMicros,
		Turns:        a.Turns,
		Milliseconds: a.Milliseconds,
	}
}

func amountTo(a structs.Amount) callerapi.Amount {
	return callerapi.Amount{
		Tokens:       a.Tokens,
		CostMicros:   a.CostMicros,
		Turns:        a.Turns,
		Milliseconds: a.Milliseconds,
	}
}

func openFrom(r *callerapi.OpenProgram) (OpenRequest, error) {
	request := OpenRequest{
		Program:              structs.ProgramName(r.Program),
		Key:                  r.Key,
		Parent:               structs.ProgramID(r.Parent.Or("")),
		DeadlineMilliseconds: r.DeadlineMilliseconds.Or(0),
		HistoryZones:         zonesFrom(r.HistoryZones),
		CacheZones:           zonesFrom(r.CacheZones),
	}
	if budget, set := r.Budget.Get(); set {
		amount := amountFrom(budget)
		request.Budget = &amount
	}
	return request, validText("key", r.Key)
}

func zonesFrom(names []string) []structs.ZoneName {
	if len(names) == 0 {
		return nil
	}
	zones := make([]structs.ZoneName, len(names))
	for i, name := range names {
		zones[i] = structs.ZoneName(name)
	}
	return zones
}

func callFrom(r *callerapi.IssueCall, number int64) (CallRequest, error) {
	request := CallRequest{
		Number:                    structs.CallNumber(number),
		Kind:                      CallKind(r.Kind),
		Target:                    r.Target,
		Adapter:                   r.Adapter.Or(""),
		Repeatable:                r.Repeatable.Or(false),
		Input:                     []byte(r.Input.Or("")),
		MaxAnswerTokens:           r.MaxAnswerTokens.Or(0),
		ExpectedPauseMilliseconds: r.ExpectedPauseMilliseconds.Or(0),
	}
	if request.Kind == CallTool && request.Adapter != "" {
		return request, &failure.Malformed{Field: "adapter", Reason: "a tool has none"}
	}
	return request, validText("input", r.Input.Or(""))
}

// validText refuses text that JSON could not carry back unchanged.
func validText(field, text string) error {
	if utf8.ValidString(text) {
		return nil
	}
	return &failure.Malformed{Field: field, Reason: "must be UTF-8"}
}

func statusTo(s ProgramStatus) *callerapi.ProgramStatus {
	status := &callerapi.ProgramStatus{
		ID:       string(s.ID),
		Tenant:   string(s.Tenant),
		Program:  string(s.Program),
		State:    string(s.State),
		NextCall: int64(s.NextCall),
		Budget:   amountTo(s.Budget),
		Spent:    amountTo(s.Spent),
		Reserved: amountTo(s.Reserved),
	}
	if s.EndCause != "" {
		status.EndCause = callerapi.NewOptString(s.EndCause)
	}
	if s.Parent != "" {
		status.Parent = callerapi.NewOptString(string(s.Parent))
	}
	if !s.Deadline.IsZero() {
		status.Deadline = callerapi.NewOptDateTime(s.Deadline.UTC().Truncate(time.Millisecond))
	}
	return status
}

func usageOf(part AnswerPart) callerapi.Usage {
	return callerapi.Usage{
		PromptTokens: part.PromptTokens,
		AnswerTokens: part.AnswerTokens,
		ReusedTokens: part.ReusedTokens,
	}
}
