// Package quarantine keeps a request from further workers once several workers have ended under it.
//
// A request can end the process of every worker that runs it. Its caller, and the program that the
// caller belongs to, repeat it through other gateways. The package counts the ends by the content of the
// request, so that all its repeats share one count, and decides whether the request may be sent again.
//
// The package does no I/O. Records are merged by their maximum, so the order in which they arrive does
// not matter, and a record that arrives twice changes nothing.
package quarantine

// MaxWorkerEnds is the number of workers that may end under one request.
const MaxWorkerEnds = 3

// maxEndsIsolated is the number of workers that may end under one request at a gateway that does not
// learn of the ends at other gateways.
const maxEndsIsolated = 1

// Situation is what a gateway knows about a request right before it would send the request to a worker.
type Situation struct {
	// Ends is how many workers are known to have ended under the request, at all gateways.
	Ends int
	// Pending is how many workers at which an attempt of the request was lost here are still being examined.
	Pending int
	// Uncertain is how many workers at which an attempt of the request was lost here show by no evidence
	// whether they have ended.
	Uncertain int
	// Isolated is set if the gateway does not learn of ends at other gateways.
	Isolated bool
}

// Decision says whether a request may be sent to a worker.
type Decision string

// The decisions.
const (
	// Send permits the request to be sent.
	Send Decision = "send"
	// Await defers the decision until the pending attempts have been examined.
	Await Decision = "await"
	// Refuse forbids to send the request.
	Refuse Decision = "refuse"
)

// Decide returns whether a request may be sent to a worker once more. An attempt of which nothing is
// known counts as an end, but only at the gateway that lost it: elsewhere the request gets its worker.
func Decide(situation Situation) Decision {
	limit := MaxWorkerEnds
	if situation.Isolated {
		limit = maxEndsIsolated
	}
	certain := situation.Ends + situation.Uncertain
	switch {
	case certain >= limit:
		return Refuse
	case certain+situation.Pending >= limit:
		return Await
	}
	return Send
}
