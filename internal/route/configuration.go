// Package route holds the configured routes and services and finds the route of a request. It does
// no I/O and does not read a clock.
package route

import "time"

// Kind determines which retries of a request are allowed.
type Kind string

// The kinds of requests.
const (
	// Safe requests are idempotent and may be retried.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered with a stream of events.
	Streaming Kind = "streaming"
)

// Configuration is the complete configuration as declared by operators.
type Configuration struct {
	// Version increases with every change. It is never 0.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Tenants are the tenants whose keys are accepted. If there are none, requests need no key.
	Tenants []Tenant `json:",omitempty"`
	Limits  Limits
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name string
	// Host is compared without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time for processing a request.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response counts fully. For streams it is the
	// latency of the first event.
	TargetLatency time.Duration
	// TargetGap is the maximum time between two events of a stream that is on time.
	TargetGap time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Parts are the services that share the requests by weight.
	Parts []Part
	// MaxAttempts is the maximum number of workers that may process one request.
	MaxAttempts int
	// Stateful routes store the turns of a conversation.
	Stateful bool
	// Retention is how long turns are stored.
	Retention time.Duration
	// Sticky requests share parts of their prompts and profit from using the same worker.
	Sticky bool
	// Resumable streams may continue at another worker after any event.
	Resumable bool
	// Public routes need no key.
	Public bool `json:",omitempty"`
	// Regions are the only regions in which requests of the route may be served and their data
	// stored. If empty, all regions are permitted.
	Regions []string `json:",omitempty"`
}

// Part is the share of a service in a route.
type Part struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable workers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a worker accepts from all callers together;
	// 0 is unknown.
	MaxConnections int
	// Engine is set for services whose workers run models.
	Engine *Engine
	// Cold is set for services whose workers accept only a few requests per second for some time
	// after a start.
	Cold *Cold `json:",omitempty"`
}

// Cold describes workers that have just started.
type Cold struct {
	// For is how long a worker is cold after its start.
	For time.Duration
	// PerSecond is the number of requests per second, from all gateways together, that a cold
	// worker accepts.
	PerSecond float64
}

// Engine describes the workers of a model service.
type Engine struct {
	// Slots is the number of requests that a worker processes concurrently.
	Slots int
	// Stride is the number of tokens in one event.
	Stride int64
	// CacheTokens is the size of a worker's cache in tokens.
	CacheTokens int64
}

// Limits limit what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
