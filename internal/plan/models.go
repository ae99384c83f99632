package plan

import (
	"fmt"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const millisecondsPerSecond = 1000

// models works out what engines load, unload and drain, and where the engines
// that live now don't suffice.
func (c *comparison) models() {
	var loadedBytes int64
	for _, model := range c.after.Models {
		earlier, had := c.old.models[model.Name]
		for _, zone := range c.after.Zones {
			loadedBytes += c.modelInZone(earlier, had, model, zone.Name)
			c.liveEngines(model, zone.Name)
		}
		c.adapters(earlier, had, model)
	}
	for _, model := range c.before.Models {
		if _, kept := c.new.models[model.Name]; !kept {
			c.removedModel(model)
		}
	}
	if loadedBytes > 0 {
		c.cause(Consequence{
			Kind:         LoadWeights,
			Object:       objectName("Deployment", c.after.Deployment.Name),
			Bytes:        loadedBytes,
			Milliseconds: c.loadTime(loadedBytes),
			Detail:       "all loads together, at the weight store's rate" + c.rateText(),
		})
	}
}

// modelInZone compares one zone's engines and returns the bytes to load.
func (c *comparison) modelInZone(earlier structs.Model, had bool, model structs.Model, zone structs.ZoneName) int64 {
	before, after := earlier.ReplicasPerZone[zone], model.ReplicasPerZone[zone]
	kept := min(before, after)
	c.unload(model.Name, zone, before-kept)
	fresh := after - kept
	newVersion := had && earlier.Version != model.Version
	if newVersion || had && roleOf(earlier) != roleOf(model) {
		c.drainEngines(model.Name, zone, kept)
	}
	if newVersion {
		fresh += kept
	}
	return c.load(model, zone, fresh)
}

func (c *comparison) unload(model structs.ModelName, zone structs.ZoneName, engines int) {
	if engines == 0 {
		return
	}
	c.cause(Consequence{
		Kind:   UnloadWeights,
		Object: objectName("Model", model),
		Zone:   zone,
		Count:  engines,
		Detail: fmt.Sprintf("%d engines drain and unload %s", engines, model),
	})
}

func (c *comparison) drainEngines(model structs.ModelName, zone structs.ZoneName, engines int) {
	if engines == 0 {
		return
	}
	c.cause(Consequence{
		Kind:   DrainEngines,
		Object: objectName("Model", model),
		Zone:   zone,
		Count:  engines,
		Detail: fmt.Sprintf("%d engines drain one after another before they change version or role; their cache of %s is lost", engines, model),
	})
}

// load returns the bytes that the engines read from the weight store.
func (c *comparison) load(model structs.Model, zone structs.ZoneName, engines int) int64 {
	if engines == 0 {
		return 0
	}
	size := int64(engines) * model.WeightsBytes
	c.cause(Consequence{
		Kind:         LoadWeights,
		Object:       objectName("Model", model.Name),
		Zone:         zone,
		Count:        engines,
		Bytes:        size,
		Milliseconds: c.loadTime(size),
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

func (c *comparison) adapters(earlier structs.Model, had bool, model structs.Model) {
	if !had {
		return
	}
	object := objectName("Model", model.Name)
	for _, adapter := range model.Adapters {
		if !slices.Contains(earlier.Adapters, adapter) {
			c.cause(Consequence{Kind: LoadWeights, Object: object, Detail: "engines load adapter " + adapter})
		}
	}
	for _, adapter := range earlier.Adapters {
		if slices.Contains(model.Adapters, adapter) {
			continue
		}
		c.cause(Consequence{Kind: UnloadWeights, Object: object, Detail: "engines unload adapter " + adapter})
		c.cause(Consequence{
			Kind:     RejectRequests,
			Object:   object,
			Programs: c.input.Usage.usersOf(c.before, model.Name),
			Detail:   "calls that ask for adapter " + adapter + " would be refused",
		})
	}
}

func (c *comparison) removedModel(model structs.Model) {
	for _, zone := range c.before.Zones {
		c.unload(model.Name, zone.Name, model.ReplicasPerZone[zone.Name])
	}
}

// liveEngines compares the wanted replicas with the engines that report now.
// Without any report it says nothing.
func (c *comparison) liveEngines(model structs.Model, zone structs.ZoneName) {
	if len(c.input.Engines) == 0 {
		return
	}
	live := 0
	for _, engine := range c.input.Engines {
		if engine.Zone == zone && !engine.Leaving {
			live++
		}
	}
	wanted := model.ReplicasPerZone[zone]
	if live >= wanted {
		return
	}
	c.cause(Consequence{
		Kind:   InsufficientCapacity,
		Object: objectName("Model", model.Name),
		Zone:   zone,
		Count:  wanted - live,
		Detail: fmt.Sprintf("%d replicas wanted, engines that report: %d", wanted, live),
	})
}

// loadTime is 0 where the rate isn't declared.
func (c *comparison) loadTime(size int64) int64 {
	rate := c.after.Deployment.WeightStoreBytesPerSecond
	if rate <= 0 {
		return 0
	}
	seconds, rest := size/rate, size%rate
	return seconds*millisecondsPerSecond + int64(float64(rest)/float64(rate)*millisecondsPerSecond)
}

func (c *comparison) rateText() string {
	if c.after.Deployment.WeightStoreBytesPerSecond <= 0 {
		return " (not declared: the time is not known)"
	}
	return ""
}

// usersOf counts the programs under way whose declaration names the model.
func (u Usage) usersOf(declarations structs.Declarations, model structs.ModelName) int {
	users := map[structs.ProgramName]bool{}
	for _, program := range declarations.Programs {
		users[program.Name] = slices.Contains(program.Models, model)
	}
	return u.count(func(c ProgramCount) bool { return users[c.Program] })
}
