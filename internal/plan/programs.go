package plan

import (
	"fmt"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// comparePrograms adds the consequences and harms for running programs and for
// requests.
func (c *comparison) comparePrograms() {
	for _, tenant := range c.before.Tenants {
		c.compareTenant(tenant)
	}
	for _, previous := range c.before.Programs {
		desired, isKept := c.afterIndex.programs[previous.Name]
		if !isKept {
			c.addRemovedProgram(previous)
			continue
		}
		c.compareProgramTenants(previous, desired)
		c.compareProgramTargets(previous, desired)
		c.compareProgramZones(previous, desired)
		c.compareProgramSettings(previous, desired)
	}
	for _, program := range c.after.Programs {
		c.checkServable(program)
	}
	for _, tool := range c.before.Tools {
		c.compareTool(tool)
	}
}

func (c *comparison) compareTenant(tenant structs.Tenant) {
	desired, isKept := c.afterIndex.tenants[tenant.Name]
	reason := "the tenant is removed"
	if isKept {
		if len(tenant.TokenSHA256) == 0 || overlaps(tenant.TokenSHA256, desired.TokenSHA256) {
			return
		}
		reason = "none of its present tokens stays accepted"
	}
	programs := c.input.Usage.countByTenant(tenant.Name)
	object := objectName("Tenant", tenant.Name)
	c.addConsequence(Consequence{
		Kind:     RejectRequests,
		Object:   object,
		Programs: programs,
		Detail:   reason + ": its requests would be refused as unauthenticated",
	})
	c.addHarm(Harm{
		Name:     "cut-off-tenant-" + string(tenant.Name),
		Kind:     ProgramsCutOff,
		Object:   object,
		Programs: programs,
		Detail:   fmt.Sprintf("%s: %s lose their caller", reason, formatProgramCount(programs)),
	})
}

func (c *comparison) addRemovedProgram(program structs.AgentProgram) {
	programs := c.input.Usage.countByProgram(program.Name)
	c.addConsequence(Consequence{
		Kind:     RejectRequests,
		Object:   objectName("AgentProgram", program.Name),
		Programs: programs,
		Detail:   "opening it would be refused as not permitted",
	})
	c.addInterruption(program.Name, programs, "the program is no longer declared")
}

func (c *comparison) addInterruption(name structs.ProgramName, programs int, reason string) {
	c.addHarm(Harm{
		Name:     "cut-off-program-" + string(name),
		Kind:     ProgramsCutOff,
		Object:   objectName("AgentProgram", name),
		Programs: programs,
		Detail:   fmt.Sprintf("%s: %s can't go on", reason, formatProgramCount(programs)),
	})
}

// compareProgramTenants reports tenants that may no longer start the program. Their
// running programs continue, because calls do not require this permission.
func (c *comparison) compareProgramTenants(previous, desired structs.AgentProgram) {
	for _, tenant := range previous.Tenants {
		if slices.Contains(desired.Tenants, tenant) {
			continue
		}
		programs := c.input.Usage.countByProgramAndTenant(previous.Name, tenant)
		c.addConsequence(Consequence{
			Kind:     RejectRequests,
			Object:   objectName("AgentProgram", previous.Name),
			Programs: programs,
			Detail:   fmt.Sprintf("tenant %s may open it no more, also as a sub-agent; %s go on", tenant, formatProgramCount(programs)),
		})
	}
}

func (c *comparison) compareProgramTargets(previous, desired structs.AgentProgram) {
	programs := c.input.Usage.countByProgram(previous.Name)
	for _, model := range previous.Models {
		if !slices.Contains(desired.Models, model) {
			c.addRemovedTarget(previous.Name, "model "+string(model), programs)
		}
	}
	for _, tool := range previous.Tools {
		if !slices.Contains(desired.Tools, tool) {
			c.addRemovedTarget(previous.Name, "tool "+string(tool), programs)
		}
	}
}

func (c *comparison) addRemovedTarget(program structs.ProgramName, target string, programs int) {
	c.addConsequence(Consequence{
		Kind:     RejectRequests,
		Object:   objectName("AgentProgram", program),
		Programs: programs,
		Detail:   fmt.Sprintf("its calls of %s would be refused as not permitted", target),
	})
	c.addInterruption(program, programs, fmt.Sprintf("it may no longer call %s", target))
}

// compareProgramZones reports data that remains in zones in which it is no longer
// permitted: a program keeps the zones that it was started with until it ends.
func (c *comparison) compareProgramZones(previous, desired structs.AgentProgram) {
	programs := c.input.Usage.countByProgram(previous.Name)
	c.addStrandedData(previous.Name, "history", removedZones(previous.HistoryZones, desired.HistoryZones), programs)
	c.addStrandedData(previous.Name, "cache", removedZones(previous.CacheZones, desired.CacheZones), programs)
}

func (c *comparison) addStrandedData(program structs.ProgramName, data string, removedZones []structs.ZoneName, programs int) {
	if len(removedZones) == 0 {
		return
	}
	c.addHarm(Harm{
		Name:     "strand-program-" + string(program),
		Kind:     DataStranded,
		Object:   objectName("AgentProgram", program),
		Programs: programs,
		Detail:   fmt.Sprintf("%s of %s may stay in %s, where it may no longer rest, until they end", data, formatProgramCount(programs), formatZones(removedZones)),
	})
}

// compareProgramSettings reports changed settings. A program keeps the settings that it
// was started with, except for the maximum answer length, which is read from the
// declaration at each call.
func (c *comparison) compareProgramSettings(previous, desired structs.AgentProgram) {
	object := objectName("AgentProgram", previous.Name)
	if previous.Budget != desired.Budget || previous.Priority != desired.Priority ||
		previous.DeadlineMilliseconds != desired.DeadlineMilliseconds || previous.IdleMilliseconds != desired.IdleMilliseconds {
		c.addConsequence(Consequence{Kind: ChangeSettings, Object: object,
			Detail: "budget, deadline, idle time and priority hold for programs opened from now on; those under way keep theirs"})
	}
	programs := c.input.Usage.countByProgram(previous.Name)
	if previous.MaxAnswerTokens != desired.MaxAnswerTokens && programs != 0 {
		c.addConsequence(Consequence{
			Kind:     ChangeSettings,
			Object:   object,
			Programs: programs,
			Detail:   fmt.Sprintf("answers to further calls of %s are bounded by %d tokens", formatProgramCount(programs), desired.MaxAnswerTokens),
		})
	}
}

// checkServable reports a program that no engine or no replica could serve because
// zones drain, although its declaration has zones for it. Running programs are bound to
// the cache zones that they were started with.
func (c *comparison) checkServable(program structs.AgentProgram) {
	object := objectName("AgentProgram", program.Name)
	if len(c.afterIndex.openZones(program.HistoryZones)) == 0 {
		c.addConsequence(Consequence{Kind: RejectRequests, Object: object, Detail: "opening it would be refused: all its history zones drain"})
	}
	for _, model := range program.Models {
		if !c.afterIndex.serves(model, program.CacheZones) {
			c.addConsequence(Consequence{Kind: RejectRequests, Object: object,
				Detail: fmt.Sprintf("calls of model %s by programs opened from now on would be refused: no open zone may hold their cache", model)})
		}
	}
	previous := c.beforeIndex.programs[program.Name]
	for _, model := range previous.Models {
		if c.beforeIndex.serves(model, previous.CacheZones) && !c.afterIndex.serves(model, previous.CacheZones) {
			c.addInterruption(program.Name, c.input.Usage.countByProgram(program.Name),
				fmt.Sprintf("no engine serves model %s in an open zone among those that they were opened with", model))
		}
	}
}

// serves reports whether one of the given zones is open and has replicas of the model.
func (i index) serves(model structs.ModelName, zones []structs.ZoneName) bool {
	for _, zone := range i.openZones(zones) {
		if i.models[model].ReplicasPerZone[zone] > 0 {
			return true
		}
	}
	return false
}

// compareTool reports calls that will use another service, and running programs that
// may not send their data to the tool's new zone.
func (c *comparison) compareTool(tool structs.Tool) {
	desired, isKept := c.afterIndex.tools[tool.Name]
	if !isKept || desired == tool {
		return
	}
	object := objectName("Tool", tool.Name)
	if desired.Address != tool.Address {
		c.addConsequence(Consequence{Kind: ChangeSettings, Object: object, Detail: "calls dispatched from now on go to " + desired.Address})
	}
	if tool.Repeatable != desired.Repeatable {
		c.addConsequence(Consequence{Kind: ChangeSettings, Object: object,
			Detail: fmt.Sprintf("calls accepted from now on count as repeatable: %t", desired.Repeatable)})
	}
	for _, program := range c.before.Programs {
		policy := placement.Policy{HistoryZones: program.HistoryZones, CacheZones: program.CacheZones}
		if slices.Contains(program.Tools, tool.Name) && placement.Check(policy, placement.ToolArguments, desired.Zone) != nil {
			c.addInterruption(program.Name, c.input.Usage.countByProgram(program.Name),
				fmt.Sprintf("tool %s moves to %s, where their data may not go", tool.Name, desired.Zone))
		}
	}
}

func overlaps(a, b []string) bool {
	for _, value := range a {
		if slices.Contains(b, value) {
			return true
		}
	}
	return false
}

func removedZones(zones, kept []structs.ZoneName) []structs.ZoneName {
	var removed []structs.ZoneName
	for _, zone := range zones {
		if !slices.Contains(kept, zone) {
			removed = append(removed, zone)
		}
	}
	return removed
}
