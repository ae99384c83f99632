package workload

import (
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const swapAgent = "swap-agent"

// Voltkai's tools. Durations are in milliseconds.
var (
	batteryTelemetry = toolCall{name: "battery-telemetry", repeatable: true, duration: span{150, 600}}
	cabinetStatus    = toolCall{name: "cabinet-status", repeatable: true, duration: span{100, 300}}
	cabinetRelease   = toolCall{name: "cabinet-release", duration: span{600, 1_500}}
	refundTool       = toolCall{name: "refund", duration: span{300, 900}}
	packInventory    = toolCall{name: "pack-inventory", repeatable: true, duration: span{300, 1_000}}
	routePlan        = toolCall{name: "route-plan", repeatable: true, duration: span{500, 2_000}}
)

// Sizes of Voltkai's calls in tokens, and waits for the rider in milliseconds.
var (
	riderMessage    = span{30, 120}
	telemetryResult = span{300, 900}
	toolReceipt     = span{40, 120}
	chatAnswer      = span{30, 120}
	riderActs       = span{2_000, 8_000}
	cabinetSurvey   = span{1_500, 4_000}
	rebalanceAnswer = span{150, 500}
)

// Shares of door sessions that branch.
const (
	faultCheckChance = 0.30
	refundChance     = 0.15
)

// rebalancesTogether is how many rebalances the dispatchers start at once: one
// for each zone.
const rebalancesTogether = 4

// Lengths of the shared instructions, in tokens.
const (
	doorInstructions      = 1_500
	rebalanceInstructions = 3_000
)

var (
	voltkaiZones  = zones("taichung-1", "taichung-2", "changhua", "nantou")
	voltkaiCities = zones("taichung-1", "taichung-2", "changhua")
)

func voltkai() Deployment {
	return Deployment{
		Name:        "voltkai",
		Zones:       voltkaiZones,
		Engines:     spread(voltkaiZones, 3, 3, 2, 2),
		Loaded:      []structs.LoadedModel{{Model: swapAgent, Version: "3", Adapters: []string{"door", "dispatch"}}},
		ZoneDelay:   1500 * time.Microsecond,
		ClientDelay: 3 * time.Millisecond,
		kinds: []programKind{
			{weight: 39, together: 1, build: doorSession},
			{weight: 1, together: rebalancesTogether, build: overnightRebalance},
		},
	}
}

// doorSession talks a rider through a stuck cabinet door.
func doorSession(random *rand.Rand) *Program {
	return &Program{
		Name: "door-session", Tenant: "riders", Adapter: "door", CacheZones: voltkaiZones,
		Prefixes: []Prefix{{Name: "door-session", Tokens: doorInstructions}},
		Deadline: 2 * time.Minute, Priority: 10, MaxAnswerTokens: 512,
		random: random, script: writeDoorSession,
	}
}

func writeDoorSession(s *script) {
	s.model(swapAgent, riderMessage, chatAnswer)
	s.tool(cabinetStatus)
	s.model(swapAgent, telemetryResult, chatAnswer)
	if s.chance(faultCheckChance) {
		s.spawn(1, faultCheck)
		s.model(swapAgent, toolReceipt, chatAnswer)
	}
	for range s.draw(span{1, 3}) {
		s.tool(cabinetRelease)
		s.model(swapAgent, toolReceipt, chatAnswer)
		s.pause(riderActs)
		s.model(swapAgent, riderMessage, chatAnswer)
	}
	if s.chance(refundChance) {
		s.spawn(1, refundCheck)
		s.model(swapAgent, toolReceipt, chatAnswer)
	}
}

// faultCheck reads a cabinet's telemetry until it has found the fault.
func faultCheck(random *rand.Rand) *Program {
	return &Program{
		Name: "fault-check", CacheZones: voltkaiZones, Deadline: time.Minute, Priority: 10, MaxAnswerTokens: 384,
		random: random,
		script: func(s *script) {
			s.model(swapAgent, riderMessage, chatAnswer)
			for range s.draw(span{1, 3}) {
				s.tool(batteryTelemetry)
				s.model(swapAgent, telemetryResult, chatAnswer)
			}
		},
	}
}

// refundCheck decides on a refund and pays it.
func refundCheck(random *rand.Rand) *Program {
	return &Program{
		Name: "refund", CacheZones: voltkaiCities, Deadline: time.Minute, Priority: 8, MaxAnswerTokens: 256,
		random: random,
		script: func(s *script) {
			s.model(swapAgent, riderMessage, chatAnswer)
			s.tool(refundTool)
			s.model(swapAgent, toolReceipt, chatAnswer)
		},
	}
}

// overnightRebalance plans the moves of packs between cabinets.
func overnightRebalance(random *rand.Rand) *Program {
	return &Program{
		Name: "overnight-rebalance", Tenant: "dispatchers", Adapter: "dispatch", CacheZones: voltkaiZones,
		Prefixes: []Prefix{{Name: "overnight-rebalance", Tokens: rebalanceInstructions}},
		Deadline: 30 * time.Minute, Priority: 1, MaxAnswerTokens: 1_024, random: random,
		script: func(s *script) {
			for range s.draw(span{8, 20}) {
				s.tool(packInventory)
				s.model(swapAgent, cabinetSurvey, rebalanceAnswer)
			}
			s.tool(routePlan)
			s.model(swapAgent, telemetryResult, rebalanceAnswer)
		},
	}
}
