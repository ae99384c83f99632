package gateway

import (
	"sync"
	"time"
)

const (
	// programMemory is how long a program is known as one under way: longer than the
	// pauses between its turns.
	programMemory = 10 * time.Second
	// maxPrograms bounds the programs that are remembered.
	maxPrograms = 8192
)

// recentPrograms are those of which requests were lately let in here.
type recentPrograms struct {
	now func() time.Time

	mutex    sync.Mutex
	programs map[string]time.Time
}

func newRecentPrograms(now func() time.Time) *recentPrograms {
	return &recentPrograms{now: now, programs: make(map[string]time.Time)}
}

// seen reports whether a program is under way.
func (p *recentPrograms) seen(program string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at, found := p.programs[program]
	return found && p.now().Sub(at) < programMemory
}

// note remembers a program.
func (p *recentPrograms) note(program string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, known := p.programs[program]; program != "" && (known || len(p.programs) < maxPrograms) {
		p.programs[program] = p.now()
	}
}

// sweep forgets programs that have not asked for anything lately.
func (p *recentPrograms) sweep() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	for program, at := range p.programs {
		if now.Sub(at) >= programMemory {
			delete(p.programs, program)
		}
	}
}
