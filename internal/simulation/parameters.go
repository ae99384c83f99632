// Package simulation runs the users' workloads against models of engines and a
// network in simulated time, with the real scheduling policies in between. It
// is deterministic: the same run gives the same result from its seed.
//
// The engine model is of the same kind as the stand-in engine: it batches
// continuously, in steps whose time grows with the batch and its context;
// prefilling competes with decoding in the same steps; the prefix cache is
// bounded and evicts the least recently used leaf first, retained ones last;
// waiting streams start in the order of their priority.
package simulation

import "time"

// Parameters describe the engines and the network. The defaults are those of the
// stand-in engine, set before any policy was measured.
type Parameters struct {
	// StepBase is the time of one decode step with an empty batch: reading the
	// weights once.
	StepBase time.Duration
	// StepPerStream is added to a step for each stream that decodes.
	StepPerStream time.Duration
	// StepPerThousandContext is added for each 1,000 tokens of context that the
	// decoding streams attend to.
	StepPerThousandContext time.Duration
	// PrefillPerToken is added to a step for each prompt token prefilled in it.
	PrefillPerToken time.Duration
	// PrefillChunk is the most prompt tokens prefilled in one step.
	PrefillChunk int64
	// MaxBatch is the most streams that run at once.
	MaxBatch int
	// CacheTokens is the engine's KV memory, for running streams and prefixes.
	CacheTokens int64
	// MovePerToken is the time to copy one token's KV cache between engines.
	MovePerToken time.Duration
	// ReportInterval is the time between load reports of an engine.
	ReportInterval time.Duration
	// ReportLag is how old a report is when daemons receive it.
	ReportLag time.Duration
	// EventLag is how late an eviction is told to daemons.
	EventLag time.Duration
	// EventLoss is the share of evictions that are never told.
	EventLoss float64
	// DaemonsPerZone is the number of daemons of each zone, each with its own
	// view of the engines.
	DaemonsPerZone int
	// RestartTime is how long an engine that crashed stays away.
	RestartTime time.Duration
	// StaleAfter is the age of a report from which an engine is passed over.
	StaleAfter time.Duration
}

// DefaultParameters returns the parameters of all published figures: 24 ms
// between tokens with 32 streams of 4,000 tokens, 20,000 prompt tokens a second,
// 200,000 tokens of KV cache moved a second.
func DefaultParameters() Parameters {
	return Parameters{
		StepBase:               10 * time.Millisecond,
		StepPerStream:          200 * time.Microsecond,
		StepPerThousandContext: 60 * time.Microsecond,
		PrefillPerToken:        50 * time.Microsecond,
		PrefillChunk:           512,
		MaxBatch:               32,
		CacheTokens:            262_144,
		MovePerToken:           5 * time.Microsecond,
		ReportInterval:         500 * time.Millisecond,
		ReportLag:              200 * time.Millisecond,
		EventLag:               300 * time.Millisecond,
		EventLoss:              0.1,
		DaemonsPerZone:         2,
		RestartTime:            30 * time.Second,
		StaleAfter:             3 * time.Second,
	}
}

// Variation is one parameter changed by a factor.
type Variation struct {
	// Parameter is the field's name.
	Parameter string
	Factor    float64
	// Parameters is the whole set with the one change.
	Parameters Parameters
}

// Variations returns the parameters with each one changed by each factor, one
// at a time.
func Variations(base Parameters, factors ...float64) []Variation {
	var list []Variation
	for _, name := range []string{
		"StepBase", "StepPerStream", "StepPerThousandContext", "PrefillPerToken", "PrefillChunk", "MaxBatch",
		"CacheTokens", "MovePerToken", "ReportInterval", "ReportLag", "EventLag", "EventLoss", "DaemonsPerZone",
	} {
		for _, factor := range factors {
			list = append(list, Variation{Parameter: name, Factor: factor, Parameters: base.scaled(name, factor)})
		}
	}
	return list
}

// scaled returns a copy with the named parameter multiplied by factor.
func (p Parameters) scaled(name string, factor float64) Parameters {
	durations := map[string]*time.Duration{
		"StepBase": &p.StepBase, "StepPerStream": &p.StepPerStream,
		"StepPerThousandContext": &p.StepPerThousandContext, "PrefillPerToken": &p.PrefillPerToken,
		"MovePerToken": &p.MovePerToken, "ReportInterval": &p.ReportInterval,
		"ReportLag": &p.ReportLag, "EventLag": &p.EventLag,
	}
	if duration, found := durations[name]; found {
		*duration = time.Duration(float64(*duration) * factor)
	}
	switch name {
	case "PrefillChunk":
		p.PrefillChunk = int64(float64(p.PrefillChunk) * factor)
	case "MaxBatch":
		p.MaxBatch = int(float64(p.MaxBatch) * factor)
	case "CacheTokens":
		p.CacheTokens = int64(float64(p.CacheTokens) * factor)
	case "EventLoss":
		p.EventLoss *= factor
	case "DaemonsPerZone":
		p.DaemonsPerZone = max(1, int(float64(p.DaemonsPerZone)*factor))
	}
	return p
}
