package schedule

import (
	"fmt"
	"maps"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// DefaultPolicy names the policy that daemons use unless declared otherwise.
const DefaultPolicy = "least-loaded"

var constructors = map[string]func() Policy{
	"affinity":     func() Policy { return affinity{} },
	"least-loaded": func() Policy { return leastLoaded{} },
	"random-two":   func() Policy { return randomTwo{} },
	"round-robin":  func() Policy { return &roundRobin{} },
}

// Names returns the names of all policies, sorted.
func Names() []string {
	return slices.Sorted(maps.Keys(constructors))
}

// New returns a policy by name; the empty name gives the default policy.
// The error is an *UnknownPolicy.
func New(name string) (Policy, error) {
	if name == "" {
		name = DefaultPolicy
	}
	construct, known := constructors[name]
	if !known {
		return nil, &UnknownPolicy{Policy: name}
	}
	return construct(), nil
}

// UnknownPolicy reports a policy name that no policy has.
type UnknownPolicy struct {
	// Policy is the name asked for.
	Policy string
}

func (e *UnknownPolicy) Error() string {
	return fmt.Sprintf("unknown scheduling policy %q; known are %v", e.Policy, Names())
}

// Type returns "unknown_policy".
func (e *UnknownPolicy) Type() failure.Type { return "unknown_policy" }

// Outcome returns NotRun.
func (e *UnknownPolicy) Outcome() failure.Outcome { return failure.NotRun }

// Retry returns that a repeat cannot succeed.
func (e *UnknownPolicy) Retry() failure.Retry { return failure.Retry{} }
