package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// recentProgramTTL is how long a program counts as running after its last request. It is
	// longer than the pauses between turns.
	recentProgramTTL = 10 * time.Second
	// maxRecentPrograms is the approximate limit of programs stored. Beyond it a running program
	// may be taken for a new one, which matters only when its tenant is at its quota.
	maxRecentPrograms = 8192
)

// recentPrograms holds the programs that had a request admitted recently.
type recentPrograms struct {
	now func() time.Time
	// programs holds the time of the last request by program, and count the number of programs.
	programs sync.Map
	count    atomic.Int64
}

func newRecentPrograms(now func() time.Time) *recentPrograms { return &recentPrograms{now: now} }

// contains reports whether a program is running.
func (p *recentPrograms) contains(program string) bool {
	lastSeen, found := p.programs.Load(program)
	return found && p.now().Sub(lastSeen.(time.Time)) < recentProgramTTL
}

// add records a request of a program.
func (p *recentPrograms) add(program string) {
	if program == "" {
		return
	}
	if _, known := p.programs.Load(program); !known && p.count.Load() >= maxRecentPrograms {
		return
	}
	if _, known := p.programs.Swap(program, p.now()); !known {
		p.count.Add(1)
	}
}

// removeExpired removes programs without recent requests.
func (p *recentPrograms) removeExpired() {
	now := p.now()
	for program, lastSeen := range p.programs.Range {
		if now.Sub(lastSeen.(time.Time)) >= recentProgramTTL && p.programs.CompareAndDelete(program, lastSeen) {
			p.count.Add(-1)
		}
	}
}
