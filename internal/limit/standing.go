package limit

// standing is what a decision to admit looks at, the request itself included.
type standing struct {
	limit    float64
	inFlight float64
	// tenant counts the tenant's own requests under way.
	tenant float64
	// weight is the tenant's, weights the sum over tenants that ask now.
	weight  float64
	weights float64
}

const (
	// openingRoom is the fraction of the limit up to which programs are opened:
	// what is above is kept for the calls of programs under way.
	openingRoom = 0.6
	// priorityRoom is what one step of declared priority adds to the room or
	// takes away, and mostSteps the number of steps that count.
	priorityRoom = 0.05
	mostSteps    = 3
	// contested is the fraction of its room above which a class is shared out
	// by the tenants' weights.
	contested = 0.7
)

// room returns how many requests may be under way for one of this class and
// priority to be admitted. Calls always have the whole limit.
func (s standing) room(request Request) float64 {
	if request.Class == ClassCall {
		return s.limit
	}
	steps := float64(min(max(request.Priority, -mostSteps), mostSteps))
	return s.limit * min(openingRoom+priorityRoom*steps, 1)
}

// admits decides. With room to spare everybody is admitted; where the room is
// contested, those whose tenant has less than its share; at the end, nobody.
func (s standing) admits(request Request) bool {
	room := s.room(request)
	switch {
	case s.inFlight > room:
		return false
	case s.inFlight <= contested*room:
		return true
	}
	return s.tenant <= max(room*s.weight/max(s.weights, s.weight), 1)
}
