package executor

import (
	"slices"
	"strconv"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const tokensPerPriceUnit = 1_000_000

// tokenCost returns the cost of tokens in millionths of the currency unit, rounded up.
// price is per million tokens.
func tokenCost(tokens, price int64) int64 {
	return (tokens*price + tokensPerPriceUnit - 1) / tokensPerPriceUnit
}

func formatNumber(number uint64) string { return strconv.FormatUint(number, 10) }

func modelPrice(configuration *structs.Configuration, name structs.ModelName) int64 {
	if configuration == nil {
		return 0
	}
	for _, declared := range configuration.Declarations.Models {
		if declared.Name == name {
			return declared.PricePerMillionTokens
		}
	}
	return 0
}

func findTool(configuration *structs.Configuration, name structs.ToolName) (structs.Tool, bool) {
	if configuration == nil {
		return structs.Tool{}, false
	}
	for _, declared := range configuration.Declarations.Tools {
		if declared.Name == name {
			return declared, true
		}
	}
	return structs.Tool{}, false
}

func findAgentProgram(configuration *structs.Configuration, name structs.ProgramName) (structs.AgentProgram, bool) {
	for _, declared := range configuration.Declarations.Programs {
		if declared.Name == name {
			return declared, true
		}
	}
	return structs.AgentProgram{}, false
}

// applyDeclaration checks a call against the program's declaration, which determines
// the permitted targets, and limits the length of the answer and whether the call can
// be repeated.
func applyDeclaration(configuration *structs.Configuration, status program.Status, request *caller.CallRequest) error {
	if configuration == nil {
		return &failure.NotReady{Missing: "configuration"}
	}
	declared, found := findAgentProgram(configuration, status.ProgramName)
	if !found {
		return &failure.NotPermitted{What: "program " + string(status.ProgramName)}
	}
	switch request.Kind {
	case caller.CallModel:
		return applyModelDeclaration(declared, request)
	case caller.CallTool:
		return applyToolDeclaration(configuration, declared, request)
	}
	return &failure.Malformed{Field: "kind", Reason: "model or tool"}
}

func applyModelDeclaration(declared structs.AgentProgram, request *caller.CallRequest) error {
	if !slices.Contains(declared.Models, structs.ModelName(request.Target)) {
		return &failure.NotPermitted{What: "model " + request.Target}
	}
	if request.MaxAnswerTokens <= 0 || request.MaxAnswerTokens > declared.MaxAnswerTokens {
		request.MaxAnswerTokens = declared.MaxAnswerTokens
	}
	return nil
}

func applyToolDeclaration(configuration *structs.Configuration, declared structs.AgentProgram, request *caller.CallRequest) error {
	if !slices.Contains(declared.Tools, structs.ToolName(request.Target)) {
		return &failure.NotPermitted{What: "tool " + request.Target}
	}
	declaredTool, found := findTool(configuration, structs.ToolName(request.Target))
	if !found {
		return &failure.NotPermitted{What: "tool " + request.Target}
	}
	request.Repeatable = request.Repeatable && declaredTool.Repeatable
	return nil
}

func (e *Executor) engineZone(id structs.EngineID) structs.ZoneName {
	for _, engine := range e.options.Engines.Snapshot().Engines {
		if engine.ID == id {
			return engine.Zone
		}
	}
	return ""
}

func (e *Executor) engineAddress(id structs.EngineID) string {
	for _, engine := range e.options.Engines.Snapshot().Engines {
		if engine.ID == id {
			return engine.Address
		}
	}
	return ""
}
