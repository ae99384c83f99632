package limit

// admissionState is the input of an admission decision. It includes the request itself.
type admissionState struct {
	limit    float64
	inFlight float64
	// tenantInFlight counts the tenant's own requests in flight.
	tenantInFlight float64
	// weight is the tenant's weight, totalWeight the sum over all active tenants.
	weight      float64
	totalWeight float64
}

const (
	// programStartFraction is the fraction of the limit that program starts may use.
	// The rest is reserved for calls of running programs.
	programStartFraction = 0.6
	// priorityStepFraction is the fraction of the limit that one step of declared
	// priority adds or subtracts; at most maxPrioritySteps steps count.
	priorityStepFraction = 0.05
	maxPrioritySteps     = 3
	// contentionFraction is the fraction of a class's limit above which tenants are
	// admitted by weight.
	contentionFraction = 0.7
)

// classLimit returns the limit of requests in flight for a request of this class and
// priority to be admitted. Calls may use the whole limit.
func (s admissionState) classLimit(request Request) float64 {
	if request.Class == ClassCall {
		return s.limit
	}
	steps := float64(min(max(request.Priority, -maxPrioritySteps), maxPrioritySteps))
	return s.limit * min(programStartFraction+priorityStepFraction*steps, 1)
}

// admits reports whether the request is admitted. Below the contention fraction every
// request is admitted; up to the class limit, requests of tenants that use less than
// their weighted share; above it, none.
func (s admissionState) admits(request Request) bool {
	limit := s.classLimit(request)
	switch {
	case s.inFlight > limit:
		return false
	case s.inFlight <= contentionFraction*limit:
		return true
	}
	return s.tenantInFlight <= max(limit*s.weight/max(s.totalWeight, s.weight), 1)
}
