package operator

import (
	"github.com/barleyshelf/barleyshelf/internal/gen/operatorapi"
	"github.com/barleyshelf/barleyshelf/internal/plan"
	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// The conversions from the project's types to those of the generated API.

func planResponse(made *plan.Plan, state PlanState) *operatorapi.Plan {
	return &operatorapi.Plan{
		ID:           made.ID,
		BaseVersion:  int64(made.BaseVersion),
		Operator:     made.Operator,
		CreatedAt:    made.CreatedAt,
		State:        operatorapi.PlanState(state),
		Differences:  differences(made.Differences),
		Consequences: consequences(made.Consequences),
		Harms:        harms(made.Harms),
	}
}

func differences(all []structs.Difference) []operatorapi.Difference {
	converted := make([]operatorapi.Difference, 0, len(all))
	for _, one := range all {
		converted = append(converted, operatorapi.Difference{
			Object: one.Object,
			Change: operatorapi.DifferenceChange(one.Change),
			Field:  optional(one.Field),
			Before: optional(one.Before),
			After:  optional(one.After),
		})
	}
	return converted
}

func consequences(all []plan.Consequence) []operatorapi.Consequence {
	converted := make([]operatorapi.Consequence, 0, len(all))
	for _, one := range all {
		row := operatorapi.Consequence{
			Kind:   operatorapi.ConsequenceKind(one.Kind),
			Object: one.Object,
			Zone:   optional(string(one.Zone)),
			Detail: one.Detail,
		}
		row.Count = optionalNumber(one.Count)
		row.Programs = optionalNumber(one.Programs)
		if one.Bytes != 0 {
			row.Bytes = operatorapi.NewOptInt64(one.Bytes)
		}
		if one.Milliseconds != 0 {
			row.Milliseconds = operatorapi.NewOptInt64(one.Milliseconds)
		}
		converted = append(converted, row)
	}
	return converted
}

func harms(all []plan.Harm) []operatorapi.Harm {
	converted := make([]operatorapi.Harm, 0, len(all))
	for _, one := range all {
		converted = append(converted, operatorapi.Harm{
			Name:     one.Name,
			Kind:     operatorapi.HarmKind(one.Kind),
			Object:   one.Object,
			Detail:   one.Detail,
			Programs: one.Programs,
		})
	}
	return converted
}

func auditRecords(all []structs.AuditRecord) []operatorapi.AuditRecord {
	converted := make([]operatorapi.AuditRecord, 0, len(all))
	for _, one := range all {
		converted = append(converted, operatorapi.AuditRecord{
			Version:       int64(one.Version),
			Base:          int64(one.Base),
			PlanID:        one.PlanID,
			PlannedBy:     one.PlannedBy,
			Operator:      one.Operator,
			AcceptedAt:    one.AcceptedAt,
			AcceptedHarms: one.AcceptedHarms,
			Differences:   differences(one.Differences),
		})
	}
	return converted
}

func fileProblems(all []strictyaml.Problem) []operatorapi.FileProblem {
	converted := make([]operatorapi.FileProblem, 0, len(all))
	for _, one := range all {
		converted = append(converted, operatorapi.FileProblem{
			File:    optional(one.File),
			Line:    optionalNumber(one.Line),
			Field:   optional(one.Field),
			Reason:  one.Reason,
			Allowed: optional(one.Allowed),
		})
	}
	return converted
}

func engineResponse(engine structs.EngineStatus) operatorapi.Engine {
	loaded := make([]string, 0, len(engine.Loaded))
	for _, model := range engine.Loaded {
		loaded = append(loaded, string(model.Model)+" "+model.Version)
	}
	return operatorapi.Engine{
		ID:                  string(engine.ID),
		Zone:                string(engine.Zone),
		Address:             engine.Address,
		Role:                string(engine.Role),
		Loaded:              loaded,
		CacheCapacityTokens: engine.CacheCapacityTokens,
		CacheUsedTokens:     engine.CacheUsedTokens,
		Running:             engine.Running,
		Waiting:             engine.Waiting,
		Leaving:             engine.Leaving,
		ReportedAt:          engine.ReportedAt,
	}
}

func optional(text string) operatorapi.OptString {
	if text == "" {
		return operatorapi.OptString{}
	}
	return operatorapi.NewOptString(text)
}

func optionalNumber(number int) operatorapi.OptInt {
	if number == 0 {
		return operatorapi.OptInt{}
	}
	return operatorapi.NewOptInt(number)
}

func texts[T ~string](names []T) []string {
	converted := make([]string, 0, len(names))
	for _, name := range names {
		converted = append(converted, string(name))
	}
	return converted
}
