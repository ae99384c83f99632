package turn

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// streamStarts holds the software versions at which streams began.
type streamStarts struct {
	// byContent holds the starts by content, then by request.
	byContent map[string]map[string]keptStart
}

type keptStart struct {
	start   *replicav1.StreamStart
	addedAt time.Time
}

func newStreamStarts() *streamStarts {
	return &streamStarts{byContent: make(map[string]map[string]keptStart)}
}

// add adds a start and reports whether it is new. A known start never changes.
func (s *streamStarts) add(now time.Time, start *replicav1.StreamStart) bool {
	requests := s.byContent[start.Content]
	if _, known := requests[start.Request]; known {
		return false
	}
	if requests == nil {
		requests = make(map[string]keptStart)
		s.byContent[start.Content] = requests
	}
	requests[start.Request] = keptStart{start: start, addedAt: now}
	return true
}

// usage returns the use of a start's record: nothing uses a start after it was added.
func (s *streamStarts) usage(stored Stored) usage {
	added := s.byContent[stored.subject.name][stored.subject.request].addedAt
	return usage{lastUse: added, retention: stored.retention}
}

func (s *streamStarts) remove(content, request string) {
	requests := s.byContent[content]
	delete(requests, request)
	if len(requests) == 0 {
		delete(s.byContent, content)
	}
}

// find returns the starts with a content, or, if request is not empty, the one that began with it.
func (s *streamStarts) find(content, request string) (starts []*replicav1.StreamStart) {
	for _, kept := range s.byContent[content] {
		if request == "" || kept.start.Request == request {
			starts = append(starts, kept.start)
		}
	}
	return starts
}
