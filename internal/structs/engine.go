package structs

import "time"

// EngineRole says which part of inference an engine does.
type EngineRole string

// The roles an engine can be ordered into.
const (
	RoleMixed   EngineRole = "mixed"
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
)

// LoadedModel is a model that an engine holds ready.
type LoadedModel struct {
	Model    ModelName `json:"model"`
	Version  string    `json:"version"`
	Adapters []string  `json:"adapters,omitempty"`
}

// EngineStatus is an engine as its last load report showed it. It is late by
// the report's lag and never proof of what the engine holds now.
type EngineStatus struct {
	ID          EngineID    `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	Zone        ZoneName    `json:"zone"`
	// Address is the base URL of the engine's HTTP API.
	Address string        `json:"address"`
	Role    EngineRole    `json:"role"`
	Loaded  []LoadedModel `json:"loaded"`
	// Loading lists what an accepted order is still fetching.
	Loading []LoadedModel `json:"loading,omitempty"`
	// Fence is the highest fence token of any order the engine has seen.
	Fence uint64 `json:"fence,omitempty"`
	// Capacity of the prefix cache and its present use, in tokens.
	CacheCapacityTokens int64 `json:"cacheCapacityTokens"`
	CacheUsedTokens     int64 `json:"cacheUsedTokens"`
	// Running and Waiting count streams in the batch and in the queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens are prompt tokens not yet prefilled, over all streams.
	QueuedTokens int64 `json:"queuedTokens"`
	// MaxBatch is the largest number of streams that run at once.
	MaxBatch int `json:"maxBatch"`
	// Leaving engines take no new work.
	Leaving bool `json:"leaving"`
	// ReportedAt is the time of the report by the clock of its receiver.
	ReportedAt time.Time `json:"reportedAt"`
}
