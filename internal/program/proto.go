package program

import (
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/programv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func amountFromProto(message *programv1.Amount) structs.Amount {
	return structs.Amount{
		Tokens:       message.GetTokens(),
		CostMicros:   message.GetCostMicros(),
		Turns:        message.GetTurns(),
		Milliseconds: message.GetMilliseconds(),
	}
}

func amountToProto(a structs.Amount) *programv1.Amount {
	return &programv1.Amount{
		Tokens:       a.Tokens,
		CostMicros:   a.CostMicros,
		Turns:        a.Turns,
		Milliseconds: a.Milliseconds,
	}
}

// clampAmount returns a with every member limited to the range from 0 to the
// same member of limit.
func clampAmount(a, limit structs.Amount) structs.Amount {
	return structs.Amount{
		Tokens:       min(max(a.Tokens, 0), limit.Tokens),
		CostMicros:   min(max(a.CostMicros, 0), limit.CostMicros),
		Turns:        min(max(a.Turns, 0), limit.Turns),
		Milliseconds: min(max(a.Milliseconds, 0), limit.Milliseconds),
	}
}

// checkBudget returns nil, or a *failure.BudgetExceeded for the first member
// of asked that exceeds the same member of left.
func checkBudget(asked, left structs.Amount) error {
	members := []struct {
		name        string
		asked, left int64
	}{
		{"tokens", asked.Tokens, left.Tokens},
		{"costMicros", asked.CostMicros, left.CostMicros},
		{"turns", asked.Turns, left.Turns},
		{"milliseconds", asked.Milliseconds, left.Milliseconds},
	}
	for _, member := range members {
		if member.asked > member.left {
			return &failure.BudgetExceeded{Member: member.name, Asked: member.asked, Left: member.left}
		}
	}
	return nil
}

func kindToProto(kind CallKind) programv1.CallKind {
	switch kind {
	case ModelCall:
		return programv1.CallKind_CALL_KIND_MODEL
	case ToolCall:
		return programv1.CallKind_CALL_KIND_TOOL
	default:
		return programv1.CallKind_CALL_KIND_UNSPECIFIED
	}
}

func kindFromProto(kind programv1.CallKind) CallKind {
	if kind == programv1.CallKind_CALL_KIND_TOOL {
		return ToolCall
	}
	return ModelCall
}

// convertStrings converts between the string types of records and those of
// structs.
func convertStrings[To, From ~string](from []From) []To {
	if len(from) == 0 {
		return nil
	}
	converted := make([]To, len(from))
	for i, text := range from {
		converted[i] = To(text)
	}
	return converted
}
