package report

import (
	"maps"
	"sync"
	"time"
)

// Meter collects what the callers of a run see. It is safe for concurrent use.
type Meter struct {
	program    *Distribution
	firstToken *Distribution
	interToken *Distribution

	mutex      sync.Mutex
	refused    map[string]int
	requests   map[string]int
	unfinished map[string]int
	started    int
	completed  int
	ended      int
}

// NewMeter returns a meter that has seen nothing.
func NewMeter() *Meter {
	return &Meter{
		program:    NewDistribution(),
		firstToken: NewDistribution(),
		interToken: NewDistribution(),
		refused:    map[string]int{},
		requests:   map[string]int{},
		unfinished: map[string]int{},
	}
}

// FirstToken records the time from a call to its answer's first text.
func (m *Meter) FirstToken(latency time.Duration) { m.firstToken.Record(latency) }

// InterToken records the time between two tokens.
func (m *Meter) InterToken(gap time.Duration) { m.interToken.Record(gap) }

// Refused counts a refusal by its type.
func (m *Meter) Refused(kind string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.refused[kind]++
}

// Request counts a request by how it ended.
func (m *Meter) Request(result string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.requests[result]++
}

// ProgramStarted counts a program.
func (m *Meter) ProgramStarted() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.started++
}

// ProgramEnded counts the end of a program; cause says why it was not
// completed, and latency counts from its planned start.
func (m *Meter) ProgramEnded(completed bool, cause string, latency time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ended++
	if !completed {
		m.unfinished[cause]++
		return
	}
	m.completed++
	m.program.Record(latency)
}

// SubAgentsUnfinished counts causes for which sub-agents were not completed.
func (m *Meter) SubAgentsUnfinished(causes map[string]int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for cause, count := range causes {
		m.unfinished["sub-agent: "+cause] += count
	}
}

// Programs counts the programs so far.
func (m *Meter) Programs() (started, completed, ended int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.started, m.completed, m.ended
}

// Callers is what the callers of a run saw.
type Callers struct {
	ProgramsStarted   int            `json:"programs_started"`
	ProgramsCompleted int            `json:"programs_completed"`
	ProgramLatency    Percentiles    `json:"program_latency_ms"`
	FirstToken        Percentiles    `json:"first_token_ms"`
	InterToken        Percentiles    `json:"inter_token_ms"`
	Refused           map[string]int `json:"refused"`
	Requests          map[string]int `json:"requests"`
	// Unfinished counts the causes for which programs were not completed.
	Unfinished map[string]int `json:"unfinished"`
}

// Callers returns what was collected so far.
func (m *Meter) Callers() Callers {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return Callers{
		ProgramsStarted:   m.started,
		ProgramsCompleted: m.completed,
		ProgramLatency:    m.program.Percentiles(),
		FirstToken:        m.firstToken.Percentiles(),
		InterToken:        m.interToken.Percentiles(),
		Refused:           maps.Clone(m.refused),
		Requests:          maps.Clone(m.requests),
		Unfinished:        maps.Clone(m.unfinished),
	}
}
