package topology

import (
	"github.com/barleyshelf/barleyshelf/internal/emulator"
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/report"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Oracle returns what the stand-ins must see and answer.
func Oracle() promise.Oracle {
	return promise.Oracle{
		Digest: emulator.PromptDigest,
		Answer: func(model, adapter string, segments [][]byte, maxTokens int64) []byte {
			return emulator.ExpectedAnswer(structs.ModelName(model), adapter, segments, maxTokens)
		},
		ToolAnswer: func(tool string, arguments []byte) []byte {
			return emulator.ExpectedResult(structs.ToolName(tool), arguments)
		},
	}
}

// Collect adds the ledgers of all stand-ins to the evidence.
func (o *Outside) Collect(evidence *promise.Evidence) {
	for _, engine := range o.Engines {
		ledger := engine.Ledger()
		for _, record := range ledger.Streams {
			evidence.Streams = append(evidence.Streams, streamOf(ledger.Engine, record))
		}
		for _, holder := range ledger.Holds {
			evidence.Holds = append(evidence.Holds, promise.Hold{Engine: ledger.Engine, Holder: holder})
		}
	}
	for _, tool := range o.Tools {
		for _, execution := range tool.Ledger() {
			evidence.ToolRuns = append(evidence.ToolRuns, promise.ToolRun{
				Tool:      string(execution.Tool),
				Key:       execution.Key,
				Arguments: execution.Arguments,
				Started:   execution.At,
				Finished:  execution.At,
			})
		}
	}
	evidence.ModelPrices = map[string]int64{}
	for _, model := range o.Declarations.Models {
		evidence.ModelPrices[string(model.Name)] = model.PricePerMillionTokens
	}
	evidence.ToolPrices = map[string]int64{}
	for _, tool := range o.Declarations.Tools {
		evidence.ToolPrices[string(tool.Name)] = tool.PriceMicros
	}
}

func streamOf(engine structs.EngineID, record emulator.StreamRecord) promise.Stream {
	stream := promise.Stream{
		Engine:       engine,
		Incarnation:  record.Incarnation,
		ID:           record.ID,
		Holder:       record.Holder,
		Model:        string(record.Model),
		Adapter:      record.Adapter,
		Digest:       record.PromptDigest,
		Started:      record.Accepted,
		PromptTokens: record.PromptTokens,
		AnswerTokens: record.AnswerTokens,
		ReusedTokens: record.ReusedTokens,
	}
	if record.Outcome == emulator.StreamFinished {
		stream.Finished = record.Ended
	}
	return stream
}

// Cache sums up how the engines' caches were used.
func (o *Outside) Cache() report.Cache {
	var cache report.Cache
	for _, engine := range o.Engines {
		for _, record := range engine.Ledger().Streams {
			cache.PromptTokens += record.PromptTokens
			cache.ReusedTokens += record.ReusedTokens
			cache.WastedTokens += record.WastedTokens
		}
	}
	if cache.PromptTokens > 0 {
		cache.WastedRatio = float64(cache.WastedTokens) / float64(cache.PromptTokens)
	}
	return cache
}
