package route

import "sync"

// Splitter deals the requests of each route to its parts by weight, with the
// smooth weighted round robin: after any number of requests, no part is more
// than one request off its share.
type Splitter struct {
	mutex   sync.Mutex
	current map[string][]int
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter { return &Splitter{current: make(map[string][]int)} }

// Next returns the service for the next request of the route, or "" if the
// route has no part with a weight.
func (s *Splitter) Next(route *Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	credits := s.current[route.Name]
	if len(credits) != len(route.Parts) {
		credits = make([]int, len(route.Parts))
		s.current[route.Name] = credits
	}
	best, total := -1, 0
	for i, part := range route.Parts {
		if part.Weight <= 0 {
			continue
		}
		credits[i] += part.Weight
		total += part.Weight
		if best < 0 || credits[i] > credits[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	credits[best] -= total
	return route.Parts[best].Service
}
