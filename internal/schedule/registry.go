package schedule

import (
	"fmt"
	"maps"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// DefaultPolicy names the policy that daemons use unless declared otherwise.
const DefaultPolicy = "program-aware"

var constructors = map[string]func() Policy{
	"affinity":      func() Policy { return affinity{} },
	"least-loaded":  func() Policy { return leastLoaded{} },
	"program-aware": func() Policy { return newProgramAware("program-aware", defaultOptions()) },
	"random-two":    func() Policy { return randomTwo{} },
	"round-robin":   func() Policy { return &roundRobin{} },
}

// variants are the default policy with one part switched over. They exist to
// measure what the part is worth and are not offered to operators.
var variants = map[string]func(*options){
	"program-aware/no-admission": func(o *options) { o.admission = !o.admission },
	"program-aware/no-homes":     func(o *options) { o.homes = !o.homes },
	"program-aware/no-moves":     func(o *options) { o.moves = !o.moves },
	"program-aware/no-order":     func(o *options) { o.order = !o.order },
	"program-aware/no-retention": func(o *options) { o.retention = !o.retention },
}

// Names returns the names of all policies, sorted.
func Names() []string {
	return slices.Sorted(maps.Keys(constructors))
}

// Variants returns the names of the default policy's variants, sorted. New
// accepts them too.
func Variants() []string {
	return slices.Sorted(maps.Keys(variants))
}

// New returns a policy by name; the empty name gives the default policy.
// The error is an *UnknownPolicy.
func New(name string) (Policy, error) {
	if name == "" {
		name = DefaultPolicy
	}
	if construct, known := constructors[name]; known {
		return construct(), nil
	}
	if change, known := variants[name]; known {
		chosen := defaultOptions()
		change(&chosen)
		return newProgramAware(name, chosen), nil
	}
	return nil, &UnknownPolicy{Policy: name}
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
