package operator

import (
	"fmt"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/plan"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	platformUnavailable failure.Type = "platform_unavailable"
	// platformDelay is when to come back after the platform gave no answer.
	platformDelay = time.Second
)

// Unavailable reports that the platform gave no answer and that nothing was
// changed.
type Unavailable struct {
	// Operation names what was asked of the platform.
	Operation string
}

func (e *Unavailable) Error() string {
	return fmt.Sprintf("platform: no answer to %s; nothing was changed", e.Operation)
}

// Type returns "platform_unavailable".
func (e *Unavailable) Type() failure.Type { return platformUnavailable }

// Outcome returns NotRun.
func (e *Unavailable) Outcome() failure.Outcome { return failure.NotRun }

// Retry says when to send the request again.
func (e *Unavailable) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: platformDelay}
}

// ApplyUnknown reports a plan that was sent to the platform without an answer:
// it may be in force now or later. Applying it again tells, and is safe.
type ApplyUnknown struct {
	// PlanID is the plan.
	PlanID string
}

func (e *ApplyUnknown) Error() string {
	return fmt.Sprintf("the platform did not answer whether plan %s is in force; apply it again to learn it", e.PlanID)
}

// Type returns "apply_unknown".
func (e *ApplyUnknown) Type() failure.Type { return "apply_unknown" }

// Outcome returns OutcomeUnknown.
func (e *ApplyUnknown) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// Retry says when to send the request again.
func (e *ApplyUnknown) Retry() failure.Retry {
	return failure.Retry{Allowed: true, After: platformDelay}
}

// UnknownPlan reports a plan that does not exist.
type UnknownPlan struct {
	// PlanID is the plan asked for.
	PlanID string
}

func (e *UnknownPlan) Error() string { return fmt.Sprintf("no plan %q", e.PlanID) }

// Type returns "unknown_plan".
func (e *UnknownPlan) Type() failure.Type { return "unknown_plan" }

// Outcome returns NotRun.
func (e *UnknownPlan) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *UnknownPlan) Retry() failure.Retry { return failure.Retry{} }

// UnknownObject reports a zone or daemon that is not known.
type UnknownObject struct {
	// Object is "Kind/name".
	Object string
}

func (e *UnknownObject) Error() string { return fmt.Sprintf("no %s", e.Object) }

// Type returns "unknown_object".
func (e *UnknownObject) Type() failure.Type { return "unknown_object" }

// Outcome returns NotRun.
func (e *UnknownObject) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat.
func (e *UnknownObject) Retry() failure.Retry { return failure.Retry{} }

// PlanConflict reports a plan whose base is no longer in force.
type PlanConflict struct {
	// PlanID is the plan that was refused.
	PlanID string
	// Base is the version it was made from, InForce the version found.
	Base, InForce uint64
	// Mine is what the plan would have changed.
	Mine []structs.Difference
	// Theirs are the changes accepted since Base, oldest first; at most
	// maxConflictRecords of them.
	Theirs []structs.AuditRecord
}

func (e *PlanConflict) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "plan %s was made from version %d, but version %d is in force; make a new plan", e.PlanID, e.Base, e.InForce)
	text.WriteString("\nthis plan would change:")
	writeDifferences(&text, e.Mine)
	for _, record := range e.Theirs {
		fmt.Fprintf(&text, "\naccepted since, version %d by %s (%s):", record.Version, record.Operator, record.PlanID)
		writeDifferences(&text, record.Differences)
	}
	return text.String()
}

func writeDifferences(text *strings.Builder, differences []structs.Difference) {
	for _, difference := range differences {
		text.WriteString("\n  " + DifferenceText(difference))
	}
}

// DifferenceText words a difference on one line.
func DifferenceText(difference structs.Difference) string {
	if difference.Change != structs.ChangeChanged {
		return fmt.Sprintf("%s %s", difference.Change, difference.Object)
	}
	return fmt.Sprintf("%s %s: %s -> %s", difference.Object, difference.Field, orNone(difference.Before), orNone(difference.After))
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

// Type returns "plan_conflict".
func (e *PlanConflict) Type() failure.Type { return "plan_conflict" }

// Outcome returns NotRun.
func (e *PlanConflict) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat: the base never comes back.
func (e *PlanConflict) Retry() failure.Retry { return failure.Retry{} }

// HarmNotAccepted reports a confirmation that does not name all harms.
type HarmNotAccepted struct {
	// PlanID is the plan.
	PlanID string
	// Harms are those that the confirmation did not name.
	Harms []plan.Harm
}

func (e *HarmNotAccepted) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "plan %s does harm that the confirmation must name:", e.PlanID)
	for _, harm := range e.Harms {
		fmt.Fprintf(&text, "\n  --accept %s (%s: %s)", harm.Name, harm.Kind, harm.Detail)
	}
	return text.String()
}

// Type returns "harm_not_accepted".
func (e *HarmNotAccepted) Type() failure.Type { return "harm_not_accepted" }

// Outcome returns NotRun.
func (e *HarmNotAccepted) Outcome() failure.Outcome { return failure.NotRun }

// Retry forbids a repeat of the same confirmation.
func (e *HarmNotAccepted) Retry() failure.Retry { return failure.Retry{} }
