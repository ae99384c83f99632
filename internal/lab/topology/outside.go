package topology

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// OutsideOptions set up the stand-ins.
type OutsideOptions struct {
	// Declarations name the zones, engines, models and tools.
	Declarations structs.Declarations
	// EngineScale multiplies the engines' times.
	EngineScale float64
	// ToolWork is the time that a tool call takes.
	ToolWork time.Duration
	// RateScale multiplies the tenants' declared rates.
	RateScale float64
	// MachineLag is how late the machine list shows a change.
	MachineLag time.Duration
	Seed       uint64
}

// Outside is everything that the system talks to, as stand-ins.
type Outside struct {
	Platform *emulator.Platform
	Weights  *emulator.Weights
	Engines  []*emulator.Engine
	Tools    map[structs.ToolName]*emulator.Tool
	// Declarations are those given, with the stand-ins' addresses and the
	// lab's own credentials in place.
	Declarations structs.Declarations
	machines     []emulator.Machine
}

const (
	weightStoreBytesPerSecond = 200_000_000_000
	platformReaders           = 64
)

// StartOutside starts all stand-ins. The error is an *emulator.ListenFailed.
func StartOutside(options OutsideOptions, network *Network) (*Outside, error) {
	outside := &Outside{
		Platform:     emulator.NewPlatform(emulator.PlatformConfig{MaxReaders: platformReaders, MachineLag: options.MachineLag, Seed: options.Seed}),
		Weights:      emulator.NewWeights(emulator.WeightsConfig{BytesPerSecond: weightStoreBytesPerSecond}),
		Tools:        map[structs.ToolName]*emulator.Tool{},
		Declarations: options.Declarations,
	}
	if err := outside.Platform.Start(); err != nil {
		return nil, err
	}
	if err := outside.Weights.Start(); err != nil {
		return outside, err
	}
	if err := outside.startEngines(options, network); err != nil {
		return outside, err
	}
	if err := outside.startTools(options, network); err != nil {
		return outside, err
	}
	outside.Declarations.Tenants = withCredentials(options.Declarations.Tenants, options.RateScale)
	outside.Platform.SetMachines(outside.machines)
	return outside, nil
}

func (o *Outside) startEngines(options OutsideOptions, network *Network) error {
	history := emulator.NewPrefixHistory()
	timing := emulator.DefaultEngineTiming()
	timing.Scale = options.EngineScale
	zones := append([]structs.Zone(nil), options.Declarations.Zones...)
	for i := range zones {
		zones[i].Engines = append([]structs.EngineEndpoint(nil), zones[i].Engines...)
		for position := range zones[i].Engines {
			endpoint := &zones[i].Engines[position]
			engine := emulator.NewEngine(emulator.EngineConfig{
				ID:             endpoint.ID,
				Zone:           zones[i].Name,
				Loaded:         loadedAt(options.Declarations.Models, zones[i].Name, position),
				Timing:         timing,
				WeightsAddress: o.Weights.Address(),
				History:        history,
				Seed:           options.Seed + uint64(len(o.Engines)),
			})
			if err := engine.Start(); err != nil {
				return err
			}
			endpoint.Address = engine.Address()
			network.Register(hostPort(engine.Address()), Place{Zone: zones[i].Name})
			o.Engines = append(o.Engines, engine)
			o.machines = append(o.machines, emulator.Machine{Engine: endpoint.ID, Address: endpoint.Address, Zone: zones[i].Name})
		}
	}
	o.Declarations.Zones = zones
	return nil
}

// loadedAt returns the models that the engine at a position of the zone holds
// at its start: those declared for more engines of the zone than precede it.
func loadedAt(models []structs.Model, zone structs.ZoneName, position int) []structs.LoadedModel {
	var loaded []structs.LoadedModel
	for _, model := range models {
		if position < model.ReplicasPerZone[zone] {
			loaded = append(loaded, structs.LoadedModel{Model: model.Name, Version: model.Version, Adapters: model.Adapters})
		}
	}
	return loaded
}

func (o *Outside) startTools(options OutsideOptions, network *Network) error {
	tools := append([]structs.Tool(nil), options.Declarations.Tools...)
	for i := range tools {
		tool := emulator.NewTool(emulator.ToolConfig{
			Work:          options.ToolWork,
			RemembersKeys: tools[i].StatusByKey,
			Seed:          options.Seed + uint64(i),
		})
		if err := tool.Start(); err != nil {
			return err
		}
		tools[i].Address = tool.Address()
		network.Register(hostPort(tool.Address()), Place{Zone: tools[i].Zone})
		o.Tools[tools[i].Name] = tool
	}
	o.Declarations.Tools = tools
	return nil
}

// Close stops all stand-ins.
func (o *Outside) Close() {
	for _, engine := range o.Engines {
		engine.Close()
	}
	for _, tool := range o.Tools {
		tool.Close()
	}
	o.Weights.Close()
	o.Platform.Close()
}

// Engine returns the engine of that name.
func (o *Outside) Engine(id structs.EngineID) (*emulator.Engine, bool) {
	for _, engine := range o.Engines {
		if engine.ID() == id {
			return engine, true
		}
	}
	return nil, false
}

// Token returns the bearer token of a tenant or an operator in the lab.
func Token(name string) string { return "lab-token-" + name }

// TokenHash returns the hex SHA-256 of Token, as declarations hold it.
func TokenHash(name string) string {
	sum := sha256.Sum256([]byte(Token(name)))
	return hex.EncodeToString(sum[:])
}

func withCredentials(tenants []structs.Tenant, rateScale float64) []structs.Tenant {
	credentialed := append([]structs.Tenant(nil), tenants...)
	for i := range credentialed {
		credentialed[i].RequestsPerSecond *= rateScale
		credentialed[i].TokenSHA256 = []string{TokenHash(string(credentialed[i].Name))}
	}
	return credentialed
}

func hostPort(baseURL string) string { return strings.TrimPrefix(baseURL, "http://") }
