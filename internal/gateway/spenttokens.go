package gateway

import (
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/turn"
)

const (
	// spentTokensTTL is how long the spent tokens of a program are cached. A refusal by the cache is
	// no use of the program's records. The last use is therefore not much earlier than the last
	// refusal: replicas keep the records for that much longer than a program may come again.
	spentTokensTTL = turn.ExpiryMargin - time.Second
	// maxSpentPrograms bounds the number of cached programs.
	maxSpentPrograms = 8192
)

// spentTokens caches the tokens that programs have finally used, as reported by replicas. The
// number never decreases, so a turn that does not fit beside it is refused without a call to
// replicas: a program in a loop asks again and again.
type spentTokens struct {
	now func() time.Time

	mutex    sync.Mutex
	programs map[string]spentProgram
}

type spentProgram struct {
	tokens     int64
	recordedAt time.Time
}

func newSpentTokens(now func() time.Time) *spentTokens {
	return &spentTokens{now: now, programs: make(map[string]spentProgram)}
}

// get returns the tokens that a program is known to have used; 0 if nothing is known.
func (s *spentTokens) get(program string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry, found := s.programs[program]
	if !found || s.now().Sub(entry.recordedAt) > spentTokensTTL {
		return 0
	}
	return entry.tokens
}

// record records the tokens that a program has used.
func (s *spentTokens) record(program string, tokens int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if tokens == 0 || len(s.programs) >= maxSpentPrograms && s.programs[program].tokens == 0 {
		return
	}
	entry := s.programs[program]
	s.programs[program] = spentProgram{tokens: max(entry.tokens, tokens), recordedAt: s.now()}
}

// removeExpired removes programs without a recent report.
func (s *spentTokens) removeExpired() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	for name, entry := range s.programs {
		if now.Sub(entry.recordedAt) > spentTokensTTL {
			delete(s.programs, name)
		}
	}
}
