package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// programMemory is how long a program is known as one under way: longer than the
	// pauses between its turns.
	programMemory = 10 * time.Second
	// maxPrograms bounds the programs that are remembered, about; beyond it a program may
	// be taken for one that begins, which matters at its tenant's limit alone.
	maxPrograms = 8192
)

// recentPrograms are those of which requests were lately let in here.
type recentPrograms struct {
	now func() time.Time
	// programs is when each was noted last, by name; count is how many there are.
	programs sync.Map
	count    atomic.Int64
}

func newRecentPrograms(now func() time.Time) *recentPrograms { return &recentPrograms{now: now} }

// seen reports whether a program is under way.
func (p *recentPrograms) seen(program string) bool {
	at, found := p.programs.Load(program)
	return found && p.now().Sub(at.(time.Time)) < programMemory
}

// note remembers a program.
func (p *recentPrograms) note(program string) {
	if program == "" {
		return
	}
	if _, known := p.programs.Load(program); !known && p.count.Load() >= maxPrograms {
		return
	}
	if _, known := p.programs.Swap(program, p.now()); !known {
		p.count.Add(1)
	}
}

// sweep forgets programs that have not asked for anything lately.
func (p *recentPrograms) sweep() {
	now := p.now()
	for program, at := range p.programs.Range {
		if now.Sub(at.(time.Time)) >= programMemory && p.programs.CompareAndDelete(program, at) {
			p.count.Add(-1)
		}
	}
}
