package schedule

import (
	"fmt"
	"maps"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// DefaultPolicy is the name of the policy that daemons use unless another one is
// declared.
const DefaultPolicy = "program-aware"

var constructors = map[string]func() Policy{
	"affinity":      func() Policy { return affinity{} },
	"least-loaded":  func() Policy { return leastLoaded{} },
	"program-aware": func() Policy { return newProgramAware("program-aware", defaultOptions()) },
	"random-two":    func() Policy { return randomTwo{} },
	"round-robin":   func() Policy { return &roundRobin{} },
}

// variants are modifications of the default policy with one option toggled. They show
// what the option contributes and are not offered to operators.
var variants = map[string]func(*options){
	"program-aware/no-admission": func(o *options) { o.admission = !o.admission },
	"program-aware/no-homes":     func(o *options) { o.prefixPlacement = !o.prefixPlacement },
	"program-aware/no-moves":     func(o *options) { o.moves = !o.moves },
	"program-aware/no-order":     func(o *options) { o.queueOrder = !o.queueOrder },
	"program-aware/no-retention": func(o *options) { o.retention = !o.retention },
}

// Names returns the names of all policies, sorted.
func Names() []string {
	return slices.Sorted(maps.Keys(constructors))
}

// Variants returns the names of the default policy's variants, sorted. New accepts them
// too.
func Variants() []string {
	return slices.Sorted(maps.Keys(variants))
}

// New returns the policy with the given name; the empty name selects the default
// policy. The error is an *UnknownPolicy.
func New(name string) (Policy, error) {
	if name == "" {
		name = DefaultPolicy
	}
	if construct, known := constructors[name]; known {
		return construct(), nil
	}
	if toggle, known := variants[name]; known {
		selected := defaultOptions()
		toggle(&selected)
		return newProgramAware(name, selected), nil
	}
	return nil, &UnknownPolicy{Policy: name}
}

// UnknownPolicy is the error for a name that no policy has.
type UnknownPolicy struct {
	// Policy is the requested name.
	Policy string
}

func (e *UnknownPolicy) Error() string {
	return fmt.Sprintf("unknown scheduling policy %q; known are %v", e.Policy, Names())
}

// Type returns "unknown_policy".
func (e *UnknownPolicy) Type() failure.Type { return "unknown_policy" }

// Outcome returns NotRun.
func (e *UnknownPolicy) Outcome() failure.Outcome { return failure.NotRun }

// Retry returns that a retry cannot succeed.
func (e *UnknownPolicy) Retry() failure.Retry { return failure.Retry{} }
