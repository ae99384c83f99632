package plan

import (
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// ConsequenceKind says what a plan would cause.
type ConsequenceKind string

// The kinds of consequences.
const (
	// LoadWeights: engines fetch weights from the weight store.
	LoadWeights ConsequenceKind = "load"
	// UnloadWeights: engines give weights up.
	UnloadWeights ConsequenceKind = "unload"
	// DrainEngines: engines or a zone finish what they have and take nothing new.
	DrainEngines ConsequenceKind = "drain"
	// MoveReplicas: journal replicas change machines.
	MoveReplicas ConsequenceKind = "move"
	// RejectRequests: requests that are taken now would be refused.
	RejectRequests ConsequenceKind = "refuse"
	// InsufficientCapacity: what is wanted has no room now.
	InsufficientCapacity ConsequenceKind = "lack_capacity"
	// ChangeSettings: programs under way go on under other terms.
	ChangeSettings ConsequenceKind = "touch"
)

// Consequence is one thing that a plan would cause.
type Consequence struct {
	Kind ConsequenceKind `json:"kind"`
	// Object is "Kind/name" of what is concerned.
	Object string `json:"object"`
	// Zone is where; empty for all or no zone.
	Zone   structs.ZoneName `json:"zone,omitempty"`
	Detail string           `json:"detail"`
	// Count is the number of engines or replicas concerned, else 0.
	Count int `json:"count,omitempty"`
	// Bytes are read from the weight store.
	Bytes int64 `json:"bytes,omitempty"`
	// Milliseconds is how long the loads take at the weight store's rate when
	// nothing else uses it; 0 where the rate isn't declared.
	Milliseconds int64 `json:"milliseconds,omitempty"`
	// Programs counts programs under way that are touched; Unknown (-1) where
	// no full count could be had.
	Programs int `json:"programs,omitempty"`
}

// HarmKind says what a harm does.
type HarmKind string

// The kinds of harms.
const (
	// DataStranded: history stays where it may not rest, or where nothing can
	// serve or copy it.
	DataStranded HarmKind = "data_stranded"
	// ProgramsCutOff: programs under way can't go on.
	ProgramsCutOff HarmKind = "programs_cut_off"
)

// Harm is a consequence that a confirmation must accept by name.
type Harm struct {
	// Name is what the confirmation repeats.
	Name   string   `json:"name"`
	Kind   HarmKind `json:"kind"`
	Object string   `json:"object"`
	Detail string   `json:"detail"`
	// Programs counts programs under way that are harmed, or is Unknown.
	Programs int `json:"programs"`
}

func (c *comparison) cause(consequence Consequence) {
	c.consequences = append(c.consequences, consequence)
}

// harm adds a harm unless nobody is under way. A name that stands already gets
// the further detail.
func (c *comparison) harm(harm Harm) {
	if harm.Programs == 0 {
		return
	}
	for i := range c.harms {
		if c.harms[i].Name == harm.Name {
			c.harms[i].Detail += "; " + harm.Detail
			c.harms[i].Programs = moreOf(c.harms[i].Programs, harm.Programs)
			return
		}
	}
	c.harms = append(c.harms, harm)
}

// moreOf returns the larger count; Unknown counts as the least that is known.
func moreOf(one, other int) int { return max(one, other) }

func objectName(kind, name any) string { return fmt.Sprintf("%v/%v", kind, name) }

// countText words a number of programs under way.
func countText(programs int) string {
	switch programs {
	case UnknownCount:
		return "an unknown number of programs under way"
	case 1:
		return "1 program under way"
	default:
		return fmt.Sprintf("%d programs under way", programs)
	}
}
