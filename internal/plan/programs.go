package plan

import (
	"fmt"
	"slices"

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
	programs := c.input.Use.ofTenant(tenant.Name)
	object := objectName("Tenant", tenant.Name)
	c.cause(Consequence{Kind: Refuse, Object: object, Programs: programs, Detail: lost + ": its requests would be refused as unauthenticated"})
	c.harm(Harm{Name: "cut-off-tenant-" + string(tenant.Name), Kind: ProgramsCutOff, Object: object, Programs: programs,
		Detail: fmt.Sprintf("%s: %s lose their caller", lost, countText(programs))})
}

func (c *comparison) removedProgram(program structs.AgentProgram) {
	programs := c.input.Use.ofProgram(program.Name)
	c.cause(Consequence{Kind: Refuse, Object: objectName("AgentProgram", program.Name), Programs: programs,
		Detail: "opening it would be refused as not permitted"})
	c.cutOff(program.Name, programs, "the program is no longer declared")
}

func (c *comparison) cutOff(name structs.ProgramName, programs int, reason string) {
	c.harm(Harm{Name: "cut-off-program-" + string(name), Kind: ProgramsCutOff, Object: objectName("AgentProgram", name), Programs: programs,
		Detail: fmt.Sprintf("%s: %s can't go on", reason, countText(programs))})
}

func (c *comparison) programTenants(earlier, wanted structs.AgentProgram) {
	for _, tenant := range earlier.Tenants {
		if slices.Contains(wanted.Tenants, tenant) {
			continue
		}
		programs := c.input.Use.ofPair(earlier.Name, tenant)
		c.cause(Consequence{Kind: Refuse, Object: objectName("AgentProgram", earlier.Name), Programs: programs,
			Detail: fmt.Sprintf("requests of tenant %s would be refused as not permitted", tenant)})
		c.cutOff(earlier.Name, programs, fmt.Sprintf("tenant %s may no longer run it", tenant))
	}
}

func (c *comparison) programTargets(earlier, wanted structs.AgentProgram) {
	programs := c.input.Use.ofProgram(earlier.Name)
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
	c.cause(Consequence{Kind: Refuse, Object: objectName("AgentProgram", program), Programs: programs,
		Detail: fmt.Sprintf("its calls of %s would be refused as not permitted", target)})
	c.cutOff(program, programs, fmt.Sprintf("it may no longer call %s", target))
}

// programPlaces names history that stays where it may no longer rest: a program
// keeps the domain in which it was opened until it ends.
func (c *comparison) programPlaces(earlier, wanted structs.AgentProgram) {
	programs := c.input.Use.ofProgram(earlier.Name)
	object := objectName("AgentProgram", earlier.Name)
	if lost := without(earlier.HistoryZones, wanted.HistoryZones); len(lost) > 0 {
		c.harm(Harm{Name: "strand-program-" + string(earlier.Name), Kind: DataStranded, Object: object, Programs: programs,
			Detail: fmt.Sprintf("history of %s stays in %s, where it may no longer rest, until they end", countText(programs), zoneText(lost))})
	}
	if lost := without(earlier.CacheZones, wanted.CacheZones); len(lost) > 0 && programs != 0 {
		c.cause(Consequence{Kind: Touch, Object: object, Programs: programs,
			Detail: fmt.Sprintf("cache of %s in %s is not used again and is released when they end", countText(programs), zoneText(lost))})
	}
}

// programTerms reports other terms for programs under way.
func (c *comparison) programTerms(earlier, wanted structs.AgentProgram) {
	programs := c.input.Use.ofProgram(earlier.Name)
	object := objectName("AgentProgram", earlier.Name)
	if earlier.Budget != wanted.Budget {
		c.cause(Consequence{Kind: Touch, Object: object,
			Detail: "the budget holds for programs opened from now on; those under way keep theirs"})
	}
	terms := earlier.Priority != wanted.Priority || earlier.MaxAnswerTokens != wanted.MaxAnswerTokens ||
		earlier.DeadlineMilliseconds != wanted.DeadlineMilliseconds || earlier.IdleMilliseconds != wanted.IdleMilliseconds
	if terms && programs != 0 {
		c.cause(Consequence{Kind: Touch, Object: object, Programs: programs,
			Detail: countText(programs) + " go on under the new deadline, idle time, priority or answer length"})
	}
}

// unserved reports a program that no engine or no replica could serve while
// zones drain, although the declarations as such name places for it.
func (c *comparison) unserved(program structs.AgentProgram) {
	object := objectName("AgentProgram", program.Name)
	programs := c.input.Use.ofProgram(program.Name)
	_, existed := c.old.programs[program.Name]
	if len(c.new.openZones(program.HistoryZones)) == 0 {
		c.cause(Consequence{Kind: Refuse, Object: object, Programs: programs,
			Detail: "opening it would be refused: all its history zones drain"})
	}
	for _, model := range program.Models {
		if c.new.serves(model, program.CacheZones) {
			continue
		}
		c.cause(Consequence{Kind: Refuse, Object: object, Programs: programs,
			Detail: fmt.Sprintf("its calls of model %s would be refused: no open zone may hold their cache", model)})
		if existed && c.old.serves(model, c.old.programs[program.Name].CacheZones) {
			c.cutOff(program.Name, programs, fmt.Sprintf("no engine in an open zone serves model %s for it", model))
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

// tool reports calls under way that meet another service.
func (c *comparison) tool(tool structs.Tool) {
	wanted, kept := c.new.tools[tool.Name]
	if !kept || wanted == tool {
		return
	}
	programs := c.input.Use.count(func(count ProgramCount) bool {
		return slices.Contains(c.old.programs[count.Program].Tools, tool.Name)
	})
	object := objectName("Tool", tool.Name)
	if wanted.Address != tool.Address {
		c.cause(Consequence{Kind: Touch, Object: object, Programs: programs,
			Detail: "calls dispatched from now on go to " + wanted.Address + "; those under way end at the former address"})
	}
	if tool.Repeatable != wanted.Repeatable {
		c.cause(Consequence{Kind: Touch, Object: object, Programs: programs,
			Detail: fmt.Sprintf("calls accepted from now on count as repeatable: %t", wanted.Repeatable)})
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
