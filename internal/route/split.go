package route

import "sync"

// Splitter distributes the requests of each route over its parts by smooth weighted round robin.
// After any number of requests, no part deviates from its share by more than one request.
type Splitter struct {
	mutex   sync.Mutex
	credits map[string][]int
}

// NewSplitter returns a splitter that starts without any credits.
func NewSplitter() *Splitter { return &Splitter{credits: make(map[string][]int)} }

// Next returns the service for the next request of the route, or "" if no part of the route has a
// weight.
func (s *Splitter) Next(route *Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	credits := s.credits[route.Name]
	if len(credits) != len(route.Parts) {
		credits = make([]int, len(route.Parts))
		s.credits[route.Name] = credits
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
