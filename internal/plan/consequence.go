package plan

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// ConsequenceKind is the kind of a Consequence.
type ConsequenceKind string

// Kinds of consequences.
const (
	// LoadWeights: engines load weights from the weight store.
	LoadWeights ConsequenceKind = "load"
	// UnloadWeights: engines unload weights.
	UnloadWeights ConsequenceKind = "unload"
	// DrainEngines: engines or a zone finish their work and accept no new work.
	DrainEngines ConsequenceKind = "drain"
	// MoveReplicas: journal replicas move to other machines.
	MoveReplicas ConsequenceKind = "move"
	// RejectRequests: requests that are accepted now would be rejected.
	RejectRequests ConsequenceKind = "refuse"
	// InsufficientCapacity: there is currently not enough capacity for the desired
	// state.
	InsufficientCapacity ConsequenceKind = "lack_capacity"
	// ChangeSettings: running programs or their calls continue with different settings.
	ChangeSettings ConsequenceKind = "touch"
)

// Consequence is an effect that a plan would have.
type Consequence struct {
	Kind ConsequenceKind `json:"kind"`
	// Object is the affected object as "Kind/name".
	Object string `json:"object"`
	// Zone is the affected zone; empty for all or no zone.
	Zone   structs.ZoneName `json:"zone,omitempty"`
	Detail string           `json:"detail"`
	// Count is the number of affected engines or replicas, otherwise 0.
	Count int `json:"count,omitempty"`
	// Bytes is the amount of data read from the weight store.
	Bytes int64 `json:"bytes,omitempty"`
	// Milliseconds is how long the loads take at the weight store's rate without other
	// load; 0 if the rate is not declared.
	Milliseconds int64 `json:"milliseconds,omitempty"`
	// Programs is the number of affected running programs; UnknownCount (-1) if the
	// count is incomplete.
	Programs int `json:"programs,omitempty"`
}

// HarmKind is the kind of a Harm.
type HarmKind string

// Kinds of harms.
const (
	// DataStranded: data remains in a zone in which it is no longer permitted, or in
	// which nothing can serve or copy it.
	DataStranded HarmKind = "data_stranded"
	// ProgramsCutOff: running programs cannot continue.
	ProgramsCutOff HarmKind = "programs_cut_off"
)

// Harm is a consequence that the operator must accept by name when confirming the plan.
type Harm struct {
	// Name is the name that the confirmation must repeat.
	Name   string   `json:"name"`
	Kind   HarmKind `json:"kind"`
	Object string   `json:"object"`
	Detail string   `json:"detail"`
	// Programs is the number of harmed running programs, or UnknownCount.
	Programs int `json:"programs"`
}

func (c *comparison) addConsequence(consequence Consequence) {
	c.consequences = append(c.consequences, consequence)
}

// addHarm adds a harm unless no running program is affected. If there is already a harm
// with the same name, the detail is appended to it.
func (c *comparison) addHarm(harm Harm) {
	if harm.Programs == 0 {
		return
	}
	for i := range c.harms {
		if c.harms[i].Name == harm.Name {
			c.harms[i].Detail += "; " + harm.Detail
			c.harms[i].Programs = maxCount(c.harms[i].Programs, harm.Programs)
			return
		}
	}
	c.harms = append(c.harms, harm)
}

// maxCount returns the larger count; UnknownCount is smaller than every known count.
func maxCount(a, b int) int { return max(a, b) }

func objectName(kind, name any) string { return fmt.Sprintf("%v/%v", kind, name) }

// formatProgramCount describes a number of running programs in words.
func formatProgramCount(programs int) string {
	switch programs {
	case UnknownCount:
		return "an unknown number of programs under way"
	case 1:
		return "1 program under way"
	default:
		return fmt.Sprintf("%d programs under way", programs)
	}
}
