package plan

import (
	"fmt"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// programs works out what becomes of programs under way and of requests.
func (c *comparison) programs() {
	for _, tenant := range c.before.Tenants {
		c.tenant(tenant)
	}
	for _, earlier := range c.before.Programs {
		wanted, kept := c.new.programs[earlier.Name]
		if !kept {
			c.removedProgram(earlier)
			continue
		}
		c.programTenants(earlier, wanted)
		c.programTargets(earlier, wanted)
		c.programPlaces(earlier, wanted)
		c.programTerms(earlier, wanted)
	}
	for _, program := range c.after.Programs {
		c.unserved(program)
	}
	for _, tool := range c.before.Tools {
		c.tool(tool)
	}
}

func (c *comparison) tenant(tenant structs.Tenant) {
	wanted, kept := c.new.tenants[tenant.Name]
	lost := "the tenant is removed"
	if kept {
		if len(tenant.TokenSHA256) == 0 || overlaps(tenant.TokenSHA256, wanted.TokenSHA256) {
			return
		}
		lost = "none of its present tokens stays accepted"
	}
	programs := c.input.Usage.ofTenant(tenant.Name)
	object := objectName("Tenant", tenant.Name)
	c.cause(Consequence{
		Kind:     RejectRequests,
		Object:   object,
		Programs: programs,
		Detail:   lost + ": its requests would be refused as unauthenticated",
	})
	c.harm(Harm{
		Name:     "cut-off-tenant-" + string(tenant.Name),
		Kind:     ProgramsCutOff,
		Object:   object,
		Programs: programs,
		Detail:   fmt.Sprintf("%s: %s lose their caller", lost, countText(programs)),
	})
}

func (c *comparison) removedProgram(program structs.AgentProgram) {
	programs := c.input.Usage.ofProgram(program.Name)
	c.cause(Consequence{
		Kind:     RejectRequests,
		Object:   objectName("AgentProgram", program.Name),
		Programs: programs,
		Detail:   "opening it would be refused as not permitted",
	})
	c.cutOff(program.Name, programs, "the program is no longer declared")
}

func (c *comparison) cutOff(name structs.ProgramName, programs int, reason string) {
	c.harm(Harm{
		Name:     "cut-off-program-" + string(name),
		Kind:     ProgramsCutOff,
		Object:   objectName("AgentProgram", name),
		Programs: programs,
		Detail:   fmt.Sprintf("%s: %s can't go on", reason, countText(programs)),
	})
}

// programTenants reports tenants that can open the program no more. Programs
// that they have under way go on: a call needs no such grant.
func (c *comparison) programTenants(earlier, wanted structs.AgentProgram) {
	for _, tenant := range earlier.Tenants {
		if slices.Contains(wanted.Tenants, tenant) {
			continue
		}
		programs := c.input.Usage.ofPair(earlier.Name, tenant)
		c.cause(Consequence{
			Kind:     RejectRequests,
			Object:   objectName("AgentProgram", earlier.Name),
			Programs: programs,
			Detail:   fmt.Sprintf("tenant %s may open it no more, also as a sub-agent; %s go on", tenant, countText(programs)),
		})
	}
}

func (c *comparison) programTargets(earlier, wanted structs.AgentProgram) {
	programs := c.input.Usage.ofProgram(earlier.Name)
	for _, model := range earlier.Models {
		if !slices.Contains(wanted.Models, model) {
			c.lostTarget(earlier.Name, "model "+string(model), programs)
		}
	}
	for _, tool := range earlier.Tools {
		if !slices.Contains(wanted.Tools, tool) {
			c.lostTarget(earlier.Name, "tool "+string(tool), programs)
		}
	}
}

func (c *comparison) lostTarget(program structs.ProgramName, target string, programs int) {
	c.cause(Consequence{
		Kind:     RejectRequests,
		Object:   objectName("AgentProgram", program),
		Programs: programs,
		Detail:   fmt.Sprintf("its calls of %s would be refused as not permitted", target),
	})
	c.cutOff(program, programs, fmt.Sprintf("it may no longer call %s", target))
}

// programPlaces names data that stays where it may no longer rest: a program
// keeps the zones that it was opened with until it ends.
func (c *comparison) programPlaces(earlier, wanted structs.AgentProgram) {
	programs := c.input.Usage.ofProgram(earlier.Name)
	c.strand(earlier.Name, "history", without(earlier.HistoryZones, wanted.HistoryZones), programs)
	c.strand(earlier.Name, "cache", without(earlier.CacheZones, wanted.CacheZones), programs)
}

func (c *comparison) strand(program structs.ProgramName, data string, lost []structs.ZoneName, programs int) {
	if len(lost) == 0 {
		return
	}
	c.harm(Harm{
		Name:     "strand-program-" + string(program),
		Kind:     DataStranded,
		Object:   objectName("AgentProgram", program),
		Programs: programs,
		Detail:   fmt.Sprintf("%s of %s may stay in %s, where it may no longer rest, until they end", data, countText(programs), zoneText(lost)),
	})
}

// programTerms reports other terms. A program keeps those that it was opened
// with; the length of an answer alone is taken from the declaration at each call.
func (c *comparison) programTerms(earlier, wanted structs.AgentProgram) {
	object := objectName("AgentProgram", earlier.Name)
	if earlier.Budget != wanted.Budget || earlier.Priority != wanted.Priority ||
		earlier.DeadlineMilliseconds != wanted.DeadlineMilliseconds || earlier.IdleMilliseconds != wanted.IdleMilliseconds {
		c.cause(Consequence{Kind: ChangeSettings, Object: object,
			Detail: "budget, deadline, idle time and priority hold for programs opened from now on; those under way keep theirs"})
	}
	programs := c.input.Usage.ofProgram(earlier.Name)
	if earlier.MaxAnswerTokens != wanted.MaxAnswerTokens && programs != 0 {
		c.cause(Consequence{
			Kind:     ChangeSettings,
			Object:   object,
			Programs: programs,
			Detail:   fmt.Sprintf("answers to further calls of %s are bounded by %d tokens", countText(programs), wanted.MaxAnswerTokens),
		})
	}
}

// unserved reports a program that no engine or no replica could serve while
// zones drain, although the declarations as such name places for it. Programs
// under way are bound to the cache zones that they were opened with.
func (c *comparison) unserved(program structs.AgentProgram) {
	object := objectName("AgentProgram", program.Name)
	if len(c.new.openZones(program.HistoryZones)) == 0 {
		c.cause(Consequence{Kind: RejectRequests, Object: object, Detail: "opening it would be refused: all its history zones drain"})
	}
	for _, model := range program.Models {
		if !c.new.serves(model, program.CacheZones) {
			c.cause(Consequence{Kind: RejectRequests, Object: object,
				Detail: fmt.Sprintf("calls of model %s by programs opened from now on would be refused: no open zone may hold their cache", model)})
		}
	}
	earlier := c.old.programs[program.Name]
	for _, model := range earlier.Models {
		if c.old.serves(model, earlier.CacheZones) && !c.new.serves(model, earlier.CacheZones) {
			c.cutOff(program.Name, c.input.Usage.ofProgram(program.Name),
				fmt.Sprintf("no engine serves model %s in an open zone among those that they were opened with", model))
		}
	}
}

// serves reports whether an open zone among zones holds the model.
func (i index) serves(model structs.ModelName, zones []structs.ZoneName) bool {
	for _, zone := range i.openZones(zones) {
		if i.models[model].ReplicasPerZone[zone] > 0 {
			return true
		}
	}
	return false
}

// tool reports calls that meet another service, and programs under way that
// may not send their data to its new zone.
func (c *comparison) tool(tool structs.Tool) {
	wanted, kept := c.new.tools[tool.Name]
	if !kept || wanted == tool {
		return
	}
	object := objectName("Tool", tool.Name)
	if wanted.Address != tool.Address {
		c.cause(Consequence{Kind: ChangeSettings, Object: object, Detail: "calls dispatched from now on go to " + wanted.Address})
	}
	if tool.Repeatable != wanted.Repeatable {
		c.cause(Consequence{Kind: ChangeSettings, Object: object,
			Detail: fmt.Sprintf("calls accepted from now on count as repeatable: %t", wanted.Repeatable)})
	}
	for _, program := range c.before.Programs {
		policy := placement.Policy{HistoryZones: program.HistoryZones, CacheZones: program.CacheZones}
		if slices.Contains(program.Tools, tool.Name) && placement.Check(policy, placement.ToolArguments, wanted.Zone) != nil {
			c.cutOff(program.Name, c.input.Usage.ofProgram(program.Name),
				fmt.Sprintf("tool %s moves to %s, where their data may not go", tool.Name, wanted.Zone))
		}
	}
}

func overlaps(one, other []string) bool {
	for _, value := range one {
		if slices.Contains(other, value) {
			return true
		}
	}
	return false
}

func without(zones, kept []structs.ZoneName) []structs.ZoneName {
	var lost []structs.ZoneName
	for _, zone := range zones {
		if !slices.Contains(kept, zone) {
			lost = append(lost, zone)
		}
	}
	return lost
}
