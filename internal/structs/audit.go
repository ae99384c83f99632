package structs

import "time"

// Change says what became of a declared object or field.
type Change string

// The changes of an object.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeChanged Change = "changed"
)

// Difference is one object or field that differs between two declarations.
type Difference struct {
	// Object is "Kind/name".
	Object string `json:"object"`
	Change Change `json:"change"`
	// Field is the dotted path of a changed field; empty for a whole object.
	Field string `json:"field,omitempty"`
	// Before and After are the values as JSON; empty where there is none.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// AuditRecord tells who made which change of the configuration from which
// version. The record of the version in force stands in the root object itself,
// so that no accepted change can lack it.
type AuditRecord struct {
	PlanID string `json:"planID"`
	// PlannedBy made the plan, Operator confirmed it.
	PlannedBy string `json:"plannedBy"`
	Operator  string `json:"operator"`
	// Base is the version that was changed; 0 for the first configuration.
	Base uint64 `json:"base"`
	// PreviousBase is Base of the record before; the records form a chain.
	PreviousBase uint64 `json:"previousBase"`
	// Version is the version that the change made; 0 within the root object,
	// whose own version says it.
	Version uint64 `json:"version,omitempty"`
	// AcceptedAt is the time by the clock of the daemon that applied the plan.
	AcceptedAt time.Time `json:"acceptedAt"`
	// AcceptedHarms are the harms that the operator named in the confirmation.
	AcceptedHarms []string     `json:"acceptedHarms,omitempty"`
	Differences   []Difference `json:"differences"`
}
