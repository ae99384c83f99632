package workload

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const nominationAgent = "nomination-agent"

// Hofbauer's tools. Durations are in milliseconds.
var (
	portfolioLookup   = toolCall{name: "portfolio-lookup", repeatable: true, duration: span{200, 800}}
	meterForecast     = toolCall{name: "meter-forecast", repeatable: true, duration: span{500, 2_000}}
	balancePosition   = toolCall{name: "balance-position", repeatable: true, duration: span{200, 600}}
	deliveryPointData = toolCall{name: "delivery-point-data", repeatable: true, duration: span{200, 800}}
	confirmCheck      = toolCall{name: "confirm-check", repeatable: true, duration: span{500, 2_000}}
	fileNomination    = toolCall{name: "file-nomination", duration: span{800, 2_500}}
)

// Sizes of Hofbauer's calls in tokens, and waits in milliseconds.
var (
	deskMessage        = span{50, 200}
	portfolioResult    = span{800, 2_500}
	draftAnswer        = span{150, 450}
	checkAnswer        = span{60, 200}
	deskConfirms       = span{15_000, 60_000}
	operatorConfirms   = span{20_000, 90_000}
	confirmationResult = span{100, 400}
)

// gasDayCycle is the time between cut-offs, shortened from the hours of the
// real one so that a run holds a whole cycle.
const gasDayCycle = 10 * time.Minute

const (
	// deskCount is the number of shipper desks, each with its own contracts.
	deskCount = 8
	// commonTokens and deskTokens are the shared starts of a desk's prompts.
	commonTokens = 2_000
	deskTokens   = 6_000
)

var hofbauerZones = zones("vienna-1", "vienna-2", "baumgarten")

func hofbauer() Deployment {
	return Deployment{
		Name:    "hofbauer",
		Zones:   hofbauerZones,
		Engines: spread(hofbauerZones, 4, 4, 2),
		Loaded: []structs.LoadedModel{
			{Model: nominationAgent, Version: "5", Adapters: []string{"gas-day", "balancing"}},
		},
		ZoneDelay:   500 * time.Microsecond,
		ClientDelay: time.Millisecond,
		Cycle:       gasDayCycle,
		kinds:       []programKind{{weight: 3, together: 1, build: nominate}, {weight: 2, together: 1, build: renominate}},
	}
}

func deskPrefixes(random *rand.Rand) []Prefix {
	desk := "desk-" + strconv.Itoa(random.IntN(deskCount))
	return []Prefix{{Name: "gas-day-rules", Tokens: commonTokens}, {Name: desk, Tokens: deskTokens}}
}

// nominate drafts, checks and files the quantities of one shipper.
func nominate(random *rand.Rand) *Program {
	return &Program{
		Name: "nominate", Tenant: "shipper-desks", Adapter: "gas-day", CacheZones: hofbauerZones,
		Prefixes: deskPrefixes(random),
		Deadline: 10 * time.Minute, Priority: 8, MaxAnswerTokens: 1_024,
		random: random, script: writeNomination,
	}
}

func writeNomination(s *script) {
	s.model(nominationAgent, deskMessage, checkAnswer)
	rounds := s.draw(span{2, 4})
	for range rounds {
		for range s.draw(span{2, 4}) {
			s.tool(portfolioLookup)
			s.model(nominationAgent, portfolioResult, checkAnswer)
		}
		s.tool(meterForecast)
		s.model(nominationAgent, deskMessage, draftAnswer)
		s.pause(deskConfirms)
		s.model(nominationAgent, deskMessage, checkAnswer)
	}
	s.tool(fileNomination)
	s.model(nominationAgent, confirmationResult, checkAnswer)
	s.pause(operatorConfirms)
	s.model(nominationAgent, confirmationResult, checkAnswer)
}

// renominate changes filed quantities; every delivery point is checked by a
// sub-agent of its own.
func renominate(random *rand.Rand) *Program {
	return &Program{
		Name: "renominate", Tenant: "balancing", Adapter: "balancing", CacheZones: hofbauerZones,
		Prefixes: deskPrefixes(random),
		Deadline: 6 * time.Minute, Priority: 10, MaxAnswerTokens: 768,
		random: random, script: writeRenomination,
	}
}

func writeRenomination(s *script) {
	s.model(nominationAgent, deskMessage, checkAnswer)
	s.tool(balancePosition)
	s.model(nominationAgent, confirmationResult, checkAnswer)
	for range s.draw(span{1, 3}) {
		s.tool(portfolioLookup)
		s.model(nominationAgent, portfolioResult, checkAnswer)
	}
	s.model(nominationAgent, deskMessage, draftAnswer)
	s.spawn(s.draw(span{3, 8}), deliveryPointCheck)
	s.model(nominationAgent, portfolioResult, draftAnswer)
	s.pause(deskConfirms)
	s.model(nominationAgent, deskMessage, checkAnswer)
	s.tool(fileNomination)
	s.model(nominationAgent, confirmationResult, checkAnswer)
	s.pause(operatorConfirms)
	s.tool(confirmCheck)
	s.model(nominationAgent, confirmationResult, checkAnswer)
}

// deliveryPointCheck checks the quantities of one delivery point.
func deliveryPointCheck(random *rand.Rand) *Program {
	return &Program{
		Name: "delivery-point-check", CacheZones: hofbauerZones, Deadline: 2 * time.Minute, Priority: 5,
		MaxAnswerTokens: 512, random: random,
		script: func(s *script) {
			s.model(nominationAgent, deskMessage, checkAnswer)
			for range s.draw(span{1, 2}) {
				s.tool(deliveryPointData)
				s.model(nominationAgent, portfolioResult, checkAnswer)
			}
		},
	}
}
