package gateway

import (
	"sync"
	"time"
)

const (
	// spentMemory is how long it is remembered what a program has used.
	spentMemory = 20 * time.Second
	// maxSpent bounds the programs that are remembered.
	maxSpent = 8192
)

// spentTokens remembers what programs have used for good, as replicas told. That
// never becomes less, so a turn that does not fit beside it is refused without a
// call: a program that loops asks again and again.
type spentTokens struct {
	now func() time.Time

	mutex    sync.Mutex
	programs map[string]spentProgram
}

type spentProgram struct {
	tokens int64
	at     time.Time
}

func newSpentTokens(now func() time.Time) *spentTokens {
	return &spentTokens{now: now, programs: make(map[string]spentProgram)}
}

// of returns the tokens that a program is known to have used; 0 where nothing is
// known.
func (s *spentTokens) of(program string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.programs[program]
	if !found || s.now().Sub(known.at) > spentMemory {
		return 0
	}
	return known.tokens
}

// note takes what a program has used.
func (s *spentTokens) note(program string, tokens int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if tokens == 0 || len(s.programs) >= maxSpent && s.programs[program].tokens == 0 {
		return
	}
	known := s.programs[program]
	s.programs[program] = spentProgram{tokens: max(known.tokens, tokens), at: s.now()}
}

// sweep forgets programs that nothing was heard of for long.
func (s *spentTokens) sweep() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	for name, known := range s.programs {
		if now.Sub(known.at) > spentMemory {
			delete(s.programs, name)
		}
	}
}
