package executor

import (
	"slices"
	"strconv"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const tokensPerPrice = 1_000_000

// tokenCost is the cost of tokens in millionths of the currency unit, rounded
// up; price is for a million tokens.
func tokenCost(tokens, price int64) int64 {
	return (tokens*price + tokensPerPrice - 1) / tokensPerPrice
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

func declaredTool(configuration *structs.Configuration, name structs.ToolName) (structs.Tool, bool) {
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

func declaredAgent(configuration *structs.Configuration, name structs.ProgramName) (structs.AgentProgram, bool) {
	for _, declared := range configuration.Declarations.Programs {
		if declared.Name == name {
			return declared, true
		}
	}
	return structs.AgentProgram{}, false
}

// permittedCall applies the program's declaration to a call: what it may be
// sent to, how long its answer may be, and whether it may be repeated.
func permittedCall(configuration *structs.Configuration, status program.Status, request *caller.CallRequest) error {
	if configuration == nil {
		return &failure.NotReady{Missing: "configuration"}
	}
	declared, found := declaredAgent(configuration, status.ProgramName)
	if !found {
		return &failure.NotPermitted{What: "program " + string(status.ProgramName)}
	}
	switch request.Kind {
	case caller.CallModel:
		return permittedModelCall(declared, request)
	case caller.CallTool:
		return permittedToolCall(configuration, declared, request)
	}
	return &failure.Malformed{Field: "kind", Reason: "model or tool"}
}

func permittedModelCall(declared structs.AgentProgram, request *caller.CallRequest) error {
	if !slices.Contains(declared.Models, structs.ModelName(request.Target)) {
		return &failure.NotPermitted{What: "model " + request.Target}
	}
	if request.MaxAnswerTokens <= 0 || request.MaxAnswerTokens > declared.MaxAnswerTokens {
		request.MaxAnswerTokens = declared.MaxAnswerTokens
	}
	return nil
}

func permittedToolCall(configuration *structs.Configuration, declared structs.AgentProgram, request *caller.CallRequest) error {
	if !slices.Contains(declared.Tools, structs.ToolName(request.Target)) {
		return &failure.NotPermitted{What: "tool " + request.Target}
	}
	declaredTool, found := declaredTool(configuration, structs.ToolName(request.Target))
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
