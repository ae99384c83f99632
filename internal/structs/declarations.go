package structs

// Declarations is everything that operators declare, of one version. Values
// are immutable once in force: readers share them without a lock.
type Declarations struct {
	Deployment Deployment     `json:"deployment"`
	Zones      []Zone         `json:"zones"`
	Tenants    []Tenant       `json:"tenants"`
	Models     []Model        `json:"models"`
	Tools      []Tool         `json:"tools"`
	Programs   []AgentProgram `json:"programs"`
}

// Deployment is the whole system's own settings.
type Deployment struct {
	Name string `json:"name"`
	// ShardsPerDomain is the number of replica groups of each placement domain.
	ShardsPerDomain uint32 `json:"shardsPerDomain"`
	// Replicas is the wanted size of a replica group.
	Replicas int `json:"replicas"`
	// Policy names the scheduling policy; empty means the default.
	Policy string `json:"policy,omitempty"`
	// WeightStoreBytesPerSecond is the rate that the weight store grants to the
	// deployment; 0 means that plans can't tell how long loads take.
	WeightStoreBytesPerSecond int64 `json:"weightStoreBytesPerSecond,omitempty"`
}

// Zone declares a zone and what of the platform stands in it.
type Zone struct {
	Name   ZoneName `json:"name"`
	Region string   `json:"region"`
	// Engines are base URLs of the model engines that stand in the zone.
	Engines []EngineEndpoint `json:"engines,omitempty"`
	// Draining zones take no new work; work moves out where it may.
	Draining bool `json:"draining,omitempty"`
}

// EngineEndpoint is where an engine is reached.
type EngineEndpoint struct {
	ID      EngineID `json:"id"`
	Address string   `json:"address"`
}

// Tenant declares a caller: its credentials and its share.
type Tenant struct {
	Name TenantID `json:"name"`
	// TokenSHA256 lists the hex SHA-256 of each bearer token now accepted.
	TokenSHA256 []string `json:"tokenSHA256"`
	// RequestsPerSecond bounds calls over all daemons; 0 means no bound.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Weight is the tenant's share under overload, relative to others.
	Weight float64 `json:"weight,omitempty"`
}

// Model declares a model and where it is to be loaded.
type Model struct {
	Name    ModelName `json:"name"`
	Version string    `json:"version"`
	// WeightsBytes is the size at the weight store, in bytes.
	WeightsBytes int64    `json:"weightsBytes"`
	Adapters     []string `json:"adapters,omitempty"`
	// ReplicasPerZone is the number of engines that hold the model in each zone.
	ReplicasPerZone map[ZoneName]int `json:"replicasPerZone"`
	Role            EngineRole       `json:"role,omitempty"`
	// PricePerMillionTokens is in millionths of the currency unit.
	PricePerMillionTokens int64 `json:"pricePerMillionTokens"`
	// ContextTokens is the longest prompt and answer together.
	ContextTokens int64 `json:"contextTokens"`
}

// Tool declares a tool service.
type Tool struct {
	Name    ToolName `json:"name"`
	Address string   `json:"address"`
	Zone    ZoneName `json:"zone"`
	// Repeatable tools may be called again after an unknown outcome.
	Repeatable bool `json:"repeatable"`
	// Retries after a failure; must be 0 where the tool is not repeatable.
	Retries int `json:"retries,omitempty"`
	// DeadlineMilliseconds bounds one call.
	DeadlineMilliseconds int64 `json:"deadlineMilliseconds"`
	// StatusByKey says that the tool can tell an earlier call's outcome from
	// its idempotency key.
	StatusByKey bool `json:"statusByKey,omitempty"`
	// PriceMicros is the cost of one call, in millionths of the currency unit.
	PriceMicros int64 `json:"priceMicros,omitempty"`
}

// AgentProgram declares a program: who may run it and within which bounds.
type AgentProgram struct {
	Name    ProgramName `json:"name"`
	Tenants []TenantID  `json:"tenants"`
	Models  []ModelName `json:"models"`
	Tools   []ToolName  `json:"tools,omitempty"`
	// HistoryZones are where history (journal replicas, logs) may rest.
	HistoryZones []ZoneName `json:"historyZones"`
	// CacheZones are where engines may hold the program's cache.
	CacheZones []ZoneName `json:"cacheZones"`
	// Budget is the most that one program may spend.
	Budget Amount `json:"budget"`
	// DeadlineMilliseconds is the wanted latency of the whole program. One that
	// is still open then is ended: its answer is of use no more.
	DeadlineMilliseconds int64 `json:"deadlineMilliseconds"`
	// IdleMilliseconds ends a program that issued no call for so long.
	IdleMilliseconds int64 `json:"idleMilliseconds"`
	// Priority orders programs under overload; higher goes first.
	Priority int `json:"priority,omitempty"`
	// MaxAnswerTokens bounds the answer of one model call.
	MaxAnswerTokens int64 `json:"maxAnswerTokens"`
}

// Configuration is a version of the declarations that operators confirmed.
type Configuration struct {
	// Version is the platform's version of the root object; it only rises.
	Version uint64 `json:"version"`
	// PlanID is the plan whose confirmation made this version.
	PlanID       string       `json:"planID"`
	Declarations Declarations `json:"declarations"`
	// Domains are the placement domains, in the order of their creation. A
	// domain, once made, keeps its shards for ever: program ids carry them.
	Domains []Domain `json:"domains"`
	// Audit tells who made this version; nil in configurations made by tests.
	Audit *AuditRecord `json:"audit,omitempty"`
}
