package emulator

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// EngineTiming says how long the stand-in engine takes. The time of a step is
// StepBase, plus StepPerStream for each stream that decodes, plus
// StepPerThousandTokens for each thousand tokens of their contexts, plus the
// time of the prompt tokens prefilled in it, which thus slows decoding down.
type EngineTiming struct {
	StepBase              time.Duration
	StepPerStream         time.Duration
	StepPerThousandTokens time.Duration
	// PrefillTokensPerSecond is the speed of prefilling alone.
	PrefillTokensPerSecond float64
	// PrefillChunkTokens bounds the prompt tokens of one step.
	PrefillChunkTokens int64
	// KVTokensPerSecond is the speed of importing cache from another engine.
	KVTokensPerSecond float64
	// Scale multiplies all of these times; below 1 everything is faster.
	Scale float64
}

// DefaultEngineTiming resembles an accelerator with a mid-sized model: 24 ms
// between tokens with 32 streams of 4,000 tokens, and 20,000 prompt tokens a second.
func DefaultEngineTiming() EngineTiming {
	return EngineTiming{
		StepBase:               10 * time.Millisecond,
		StepPerStream:          200 * time.Microsecond,
		StepPerThousandTokens:  60 * time.Microsecond,
		PrefillTokensPerSecond: 20_000,
		PrefillChunkTokens:     512,
		KVTokensPerSecond:      200_000,
		Scale:                  1,
	}
}

// EngineConfig configures a stand-in model engine.
type EngineConfig struct {
	ID   structs.EngineID
	Zone structs.ZoneName
	Role structs.EngineRole
	// Loaded are the models that the engine holds after each start.
	Loaded []structs.LoadedModel
	// MaxModels bounds the models loaded and loading together.
	MaxModels int
	// CacheTokens is the memory for cache, running streams and holds, in tokens.
	CacheTokens int64
	// HoldTokens is the memory that a hold itself takes until it is released.
	HoldTokens int64
	// MaxBatch bounds the streams that run at once, MaxQueue those that wait.
	MaxBatch int
	MaxQueue int
	Timing   EngineTiming
	// ReportLag is how old a load report is, EventLag how late a cache event.
	ReportLag time.Duration
	EventLag  time.Duration
	// DisconnectGrace is how long a stream goes on without a reader.
	DisconnectGrace time.Duration
	// FinishedRetention is how long a finished stream can be resumed.
	FinishedRetention time.Duration
	// WeightsAddress is the weight store's base URL; empty loads at once.
	WeightsAddress string
	// History, shared by engines, tells which prefixes were computed before on
	// any of them; nil makes one of the engine's own.
	History *PrefixHistory
	// HTTP is used towards the weight store and other engines; nil is the default.
	HTTP *http.Client
	// Seed of the chances of faults.
	Seed uint64
}

const (
	defaultMaxModels         = 2
	defaultCacheTokens       = 262_144
	defaultHoldTokens        = 64
	defaultMaxBatch          = 32
	defaultMaxQueue          = 512
	defaultReportLag         = 200 * time.Millisecond
	defaultEventLag          = 300 * time.Millisecond
	defaultDisconnectGrace   = 15 * time.Second
	defaultFinishedRetention = 60 * time.Second
)

func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.Role, structs.RoleMixed)
	setDefault(&c.MaxModels, defaultMaxModels)
	setDefault(&c.CacheTokens, defaultCacheTokens)
	setDefault(&c.HoldTokens, defaultHoldTokens)
	setDefault(&c.MaxBatch, defaultMaxBatch)
	setDefault(&c.MaxQueue, defaultMaxQueue)
	setDefault(&c.Timing, DefaultEngineTiming())
	setDefault(&c.ReportLag, defaultReportLag)
	setDefault(&c.EventLag, defaultEventLag)
	setDefault(&c.DisconnectGrace, defaultDisconnectGrace)
	setDefault(&c.FinishedRetention, defaultFinishedRetention)
	setDefault(&c.Timing.Scale, 1)
	if c.History == nil {
		c.History = NewPrefixHistory()
	}
	if c.HTTP == nil {
		c.HTTP = http.DefaultClient
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// EngineFaults are the faults of an engine. They may be changed at any time.
type EngineFaults struct {
	// Refuse answers new streams with 503.
	Refuse atomic.Bool
	// Stall stops the batch: streams stay open and give no tokens.
	Stall atomic.Bool
	// Unresponsive makes every request hang.
	Unresponsive atomic.Bool
	// Leaving makes the engine report that it leaves and refuse new streams.
	Leaving atomic.Bool
	// Slow multiplies the time of a step; 0 stands for 1.
	Slow Ratio
	// BreakStream is the chance, at each line written, that the connection is
	// cut; the stream itself goes on.
	BreakStream Ratio
	// LoseAnswer is the share of streams accepted whose connection is then cut
	// before any answer.
	LoseAnswer Ratio
	// EventLoss is the share of cache events that are never published.
	EventLoss Ratio
	// ReportLag and EventLag start as configured.
	ReportLag Duration
	EventLag  Duration
}
