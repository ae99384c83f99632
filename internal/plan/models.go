package plan

import (
	"fmt"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const millisecondsPerSecond = 1000

// compareModels adds the consequences for engines that load, unload or drain, and for
// models with more desired replicas than reporting engines.
func (c *comparison) compareModels() {
	var loadedBytes int64
	for _, model := range c.after.Models {
		previous, existed := c.beforeIndex.models[model.Name]
		for _, zone := range c.after.Zones {
			loadedBytes += c.compareModelInZone(previous, existed, model, zone.Name)
			c.checkEngineCapacity(model, zone.Name)
		}
		c.compareAdapters(previous, existed, model)
	}
	for _, model := range c.before.Models {
		if _, isKept := c.afterIndex.models[model.Name]; !isKept {
			c.addRemovedModel(model)
		}
	}
	if loadedBytes > 0 {
		c.addConsequence(Consequence{
			Kind:         LoadWeights,
			Object:       objectName("Deployment", c.after.Deployment.Name),
			Bytes:        loadedBytes,
			Milliseconds: c.loadMilliseconds(loadedBytes),
			Detail:       "all loads together, at the weight store's rate" + c.rateText(),
		})
	}
}

// compareModelInZone compares the engines of a model in one zone and returns the bytes
// to load.
func (c *comparison) compareModelInZone(previous structs.Model, existed bool, model structs.Model, zone structs.ZoneName) int64 {
	before, after := previous.ReplicasPerZone[zone], model.ReplicasPerZone[zone]
	keptEngines := min(before, after)
	c.addUnload(model.Name, zone, before-keptEngines)
	enginesToLoad := after - keptEngines
	isNewVersion := existed && previous.Version != model.Version
	if isNewVersion || existed && roleOf(previous) != roleOf(model) {
		c.addDrain(model.Name, zone, keptEngines)
	}
	if isNewVersion {
		enginesToLoad += keptEngines
	}
	return c.addLoad(model, zone, enginesToLoad)
}

func (c *comparison) addUnload(model structs.ModelName, zone structs.ZoneName, engines int) {
	if engines == 0 {
		return
	}
	c.addConsequence(Consequence{
		Kind:   UnloadWeights,
		Object: objectName("Model", model),
		Zone:   zone,
		Count:  engines,
		Detail: fmt.Sprintf("%d engines drain and unload %s", engines, model),
	})
}

func (c *comparison) addDrain(model structs.ModelName, zone structs.ZoneName, engines int) {
	if engines == 0 {
		return
	}
	c.addConsequence(Consequence{
		Kind:   DrainEngines,
		Object: objectName("Model", model),
		Zone:   zone,
		Count:  engines,
		Detail: fmt.Sprintf("%d engines drain one after another before they change version or role; their cache of %s is lost", engines, model),
	})
}

// addLoad adds the consequence for engines that load a model and returns the bytes that
// they read from the weight store.
func (c *comparison) addLoad(model structs.Model, zone structs.ZoneName, engines int) int64 {
	if engines == 0 {
		return 0
	}
	size := int64(engines) * model.WeightsBytes
	c.addConsequence(Consequence{
		Kind:         LoadWeights,
		Object:       objectName("Model", model.Name),
		Zone:         zone,
		Count:        engines,
		Bytes:        size,
		Milliseconds: c.loadMilliseconds(size),
		Detail:       fmt.Sprintf("%d engines load %s %s", engines, model.Name, model.Version),
	})
	return size
}

func roleOf(model structs.Model) structs.EngineRole {
	if model.Role == "" {
		return structs.RoleMixed
	}
	return model.Role
}

func (c *comparison) compareAdapters(previous structs.Model, existed bool, model structs.Model) {
	if !existed {
		return
	}
	object := objectName("Model", model.Name)
	for _, adapter := range model.Adapters {
		if !slices.Contains(previous.Adapters, adapter) {
			c.addConsequence(Consequence{Kind: LoadWeights, Object: object, Detail: "engines load adapter " + adapter})
		}
	}
	for _, adapter := range previous.Adapters {
		if slices.Contains(model.Adapters, adapter) {
			continue
		}
		c.addConsequence(Consequence{Kind: UnloadWeights, Object: object, Detail: "engines unload adapter " + adapter})
		c.addConsequence(Consequence{
			Kind:     RejectRequests,
			Object:   object,
			Programs: c.input.Usage.countByModel(c.before, model.Name),
			Detail:   "calls that ask for adapter " + adapter + " would be refused",
		})
	}
}

func (c *comparison) addRemovedModel(model structs.Model) {
	for _, zone := range c.before.Zones {
		c.addUnload(model.Name, zone.Name, model.ReplicasPerZone[zone.Name])
	}
}

// checkEngineCapacity compares the desired replicas with the engines that report now.
// It is skipped if there are no reports.
func (c *comparison) checkEngineCapacity(model structs.Model, zone structs.ZoneName) {
	if len(c.input.Engines) == 0 {
		return
	}
	reporting := 0
	for _, engine := range c.input.Engines {
		if engine.Zone == zone && !engine.Leaving {
			reporting++
		}
	}
	desired := model.ReplicasPerZone[zone]
	if reporting >= desired {
		return
	}
	c.addConsequence(Consequence{
		Kind:   InsufficientCapacity,
		Object: objectName("Model", model.Name),
		Zone:   zone,
		Count:  desired - reporting,
		Detail: fmt.Sprintf("%d replicas wanted, engines that report: %d", desired, reporting),
	})
}

// loadMilliseconds returns the load time, or 0 if the rate is not declared.
func (c *comparison) loadMilliseconds(size int64) int64 {
	rate := c.after.Deployment.WeightStoreBytesPerSecond
	if rate <= 0 {
		return 0
	}
	seconds, remainder := size/rate, size%rate
	return seconds*millisecondsPerSecond + int64(float64(remainder)/float64(rate)*millisecondsPerSecond)
}

func (c *comparison) rateText() string {
	if c.after.Deployment.WeightStoreBytesPerSecond <= 0 {
		return " (not declared: the time is not known)"
	}
	return ""
}

// countByModel counts the running programs whose declaration names the model.
func (u Usage) countByModel(declarations structs.Declarations, model structs.ModelName) int {
	usesModel := map[structs.ProgramName]bool{}
	for _, program := range declarations.Programs {
		usesModel[program.Name] = slices.Contains(program.Models, model)
	}
	return u.count(func(c ProgramCount) bool { return usesModel[c.Program] })
}
