package declaration

import (
	"fmt"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	tokensPerMillion = 1_000_000
	// leastPromptTokens is the shortest prompt that a model call can have.
	leastPromptTokens = 1
)

func (c *checker) program(program structs.AgentProgram) {
	at := c.object(KindAgentProgram, string(program.Name))
	c.programTenants(at, program)
	c.programZones(at, "spec.historyZones", program.HistoryZones)
	if len(program.HistoryZones) == 0 {
		at.report("spec.historyZones", "no zone may hold the history", c.zoneNames())
	}
	c.programZones(at, "spec.cacheZones", program.CacheZones)
	if len(program.CacheZones) == 0 && len(program.Models) > 0 {
		at.report("spec.cacheZones", "no zone may hold the cache", c.zoneNames())
	}
	if len(program.Models)+len(program.Tools) == 0 {
		at.report("spec.models", "the program can call nothing", "at least one model or tool")
	}
	c.programModels(at, program)
	c.programTools(at, program)
	c.programBounds(at, program)
}

func (c *checker) programTenants(at object, program structs.AgentProgram) {
	if len(program.Tenants) == 0 {
		at.report("spec.tenants", "nobody may run the program", "at least one declared tenant")
	}
	noRepeats(at, "spec.tenants", program.Tenants)
	for i, tenant := range program.Tenants {
		if !c.tenants[tenant] {
			at.report(fmt.Sprintf("spec.tenants[%d]", i), fmt.Sprintf("unknown tenant %q", tenant), "a declared tenant")
		}
	}
}

func (c *checker) programZones(at object, field string, zones []structs.ZoneName) {
	noRepeats(at, field, zones)
	for i, zone := range zones {
		if _, known := c.zones[zone]; !known {
			at.report(fmt.Sprintf("%s[%d]", field, i), fmt.Sprintf("unknown zone %q", zone), c.zoneNames())
		}
	}
}

func (c *checker) programModels(at object, program structs.AgentProgram) {
	noRepeats(at, "spec.models", program.Models)
	for i, name := range program.Models {
		field := fmt.Sprintf("spec.models[%d]", i)
		model, known := c.models[name]
		if !known {
			at.report(field, fmt.Sprintf("unknown model %q", name), "a declared model")
			continue
		}
		if !servedIn(model, program.CacheZones) {
			at.report(field, fmt.Sprintf("no engine in the program's cache zones holds %q", name),
				"cacheZones with a zone of the model's replicasPerZone: "+loadedZones(model))
		}
		if model.Role == structs.RolePrefill {
			at.report(field, fmt.Sprintf("engines of %q have role prefill and answer no call", name), "a model with role mixed or decode")
		}
		if program.MaxAnswerTokens+leastPromptTokens > model.ContextTokens {
			at.report("spec.maxAnswerTokens", fmt.Sprintf("does not fit the context of model %q", name),
				fmt.Sprintf("1 to %d", model.ContextTokens-leastPromptTokens))
		}
		c.modelBudget(at, program, model)
	}
}

// modelBudget checks that the budget covers one call of the model at its upper bound.
func (c *checker) modelBudget(at object, program structs.AgentProgram, model structs.Model) {
	tokens := program.MaxAnswerTokens + leastPromptTokens
	if program.Budget.Tokens < tokens {
		at.report("spec.budget.tokens", fmt.Sprintf("below one call of model %q", model.Name), fmt.Sprintf("%d or more", tokens))
	}
	cost := (tokens*model.PricePerMillionTokens + tokensPerMillion - 1) / tokensPerMillion
	if program.Budget.CostMicros < cost {
		at.report("spec.budget.costMicros", fmt.Sprintf("below one call of model %q", model.Name), fmt.Sprintf("%d or more", cost))
	}
}

func (c *checker) programTools(at object, program structs.AgentProgram) {
	noRepeats(at, "spec.tools", program.Tools)
	for i, name := range program.Tools {
		tool, known := c.tools[name]
		if !known {
			at.report(fmt.Sprintf("spec.tools[%d]", i), fmt.Sprintf("unknown tool %q", name), "a declared tool")
			continue
		}
		policy := placement.Policy{HistoryZones: program.HistoryZones, CacheZones: program.CacheZones}
		if placement.Check(policy, placement.ToolArguments, tool.Zone) != nil {
			at.report(fmt.Sprintf("spec.tools[%d]", i), fmt.Sprintf("tool %q stands in %s, where the program's data may not go", name, tool.Zone),
				"a tool in one of historyZones or cacheZones")
		}
		if program.Budget.CostMicros < tool.PriceMicros {
			at.report("spec.budget.costMicros", fmt.Sprintf("below one call of tool %q", name), fmt.Sprintf("%d or more", tool.PriceMicros))
		}
		if program.Budget.Milliseconds < tool.DeadlineMilliseconds {
			at.report("spec.budget.milliseconds", fmt.Sprintf("below the deadline of tool %q", name),
				fmt.Sprintf("%d or more", tool.DeadlineMilliseconds))
		}
	}
}

func (c *checker) programBounds(at object, program structs.AgentProgram) {
	at.atLeast("spec.budget.turns", float64(program.Budget.Turns), 1)
	at.atLeast("spec.budget.milliseconds", float64(program.Budget.Milliseconds), 1)
	at.atLeast("spec.budget.tokens", float64(program.Budget.Tokens), 0)
	at.atLeast("spec.budget.costMicros", float64(program.Budget.CostMicros), 0)
	at.atLeast("spec.deadlineMilliseconds", float64(program.DeadlineMilliseconds), 1)
	at.atLeast("spec.idleMilliseconds", float64(program.IdleMilliseconds), 1)
	if len(program.Models) > 0 {
		at.atLeast("spec.maxAnswerTokens", float64(program.MaxAnswerTokens), 1)
	}
}

func servedIn(model structs.Model, zones []structs.ZoneName) bool {
	for _, zone := range zones {
		if model.ReplicasPerZone[zone] > 0 {
			return true
		}
	}
	return false
}

func loadedZones(model structs.Model) string {
	var zones []string
	for _, zone := range sortedZones(model.ReplicasPerZone) {
		if model.ReplicasPerZone[zone] > 0 {
			zones = append(zones, string(zone))
		}
	}
	return strings.Join(zones, ", ")
}

func (o object) policy(name string) {
	if _, err := schedule.New(name); err != nil {
		o.report("spec.policy", fmt.Sprintf("unknown policy %q", name), strings.Join(schedule.Names(), ", ")+", or empty for the default")
	}
}
