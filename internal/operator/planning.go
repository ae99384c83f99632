package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/barleyshelf/barleyshelf/internal/declaration"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/plan"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// PlanState says what may still become of a plan.
type PlanState string

// The states of a plan.
const (
	// PlanOpen may be applied: its base is in force.
	PlanOpen PlanState = "open"
	// PlanApplied was put in force, now or before.
	PlanApplied PlanState = "applied"
	// PlanSuperseded can't be applied any more.
	PlanSuperseded PlanState = "superseded"
)

// Create makes a plan from the configuration in force and keeps it. Asking
// again for the same change of the same base gives the same plan. Errors:
// *strictyaml.Invalid, *Unavailable, *failure.Internal.
func (s *Service) Create(ctx context.Context, operator string, wanted structs.Declarations) (*plan.Plan, error) {
	if err := declaration.Check(wanted); err != nil {
		return nil, err
	}
	inForce, err := s.InForce(ctx)
	if err != nil {
		return nil, err
	}
	return s.keep(ctx, s.make(ctx, operator, inForce, wanted))
}

// CreateDrain makes a plan that sets or clears the draining of a zone and
// changes nothing else. Errors: *UnknownObject and those of Create.
func (s *Service) CreateDrain(ctx context.Context, operator string, zone structs.ZoneName, draining bool) (*plan.Plan, error) {
	inForce, err := s.InForce(ctx)
	if err != nil {
		return nil, err
	}
	wanted := inForce.Declarations
	wanted.Zones = slices.Clone(wanted.Zones)
	at := slices.IndexFunc(wanted.Zones, func(declared structs.Zone) bool { return declared.Name == zone })
	if at < 0 {
		return nil, &UnknownObject{Object: fmt.Sprintf("%s/%s", declaration.KindZone, zone)}
	}
	wanted.Zones[at].Draining = draining
	return s.keep(ctx, s.make(ctx, operator, inForce, wanted))
}

// make works out the plan with what the daemon knows now.
func (s *Service) make(ctx context.Context, operator string, inForce *structs.Configuration, wanted structs.Declarations) *plan.Plan {
	engines, all := s.backend.Engines()
	if !all {
		// Engines that another daemon follows would be taken for missing.
		engines = nil
	}
	members := map[structs.ShardID][]structs.NodeID{}
	for _, shard := range s.backend.Shards(ctx) {
		members[shard.Shard] = shard.Members
	}
	return plan.New(plan.Input{
		Active:   inForce,
		Desired:  wanted,
		Operator: operator,
		Usage:    s.backend.Use(ctx),
		Nodes:    s.backend.Nodes(),
		Members:  members,
		Engines:  engines,
		Now:      s.now().UTC(),
	})
}

// keep stores the plan. One that is kept already has the same content, so a
// repeated attempt or a lost answer does no harm.
func (s *Service) keep(ctx context.Context, made *plan.Plan) (*plan.Plan, error) {
	value, err := json.Marshal(made)
	if err != nil {
		return nil, &failure.Internal{Cause: err}
	}
	for attempt := range maxAttempts {
		_, err = s.platform.Put(ctx, PlanPrefix+made.ID, 0, value)
		if err == nil || isConflict(err) {
			eventPlanMade.Log("plan", made.ID, "operator", made.Operator, "base", made.BaseVersion,
				"differences", len(made.Differences), "harms", len(made.Harms))
			return made, nil
		}
		if s.pause(ctx, attempt) != nil {
			break
		}
	}
	return nil, &Unavailable{Operation: "keep plan " + made.ID}
}

// Plan returns a kept plan and what may still become of it. Errors:
// *UnknownPlan, *Unavailable, *failure.Internal.
func (s *Service) Plan(ctx context.Context, id string) (*plan.Plan, PlanState, error) {
	kept, err := s.load(ctx, id)
	if err != nil {
		return nil, "", err
	}
	inForce, err := s.InForce(ctx)
	if err != nil {
		return nil, "", err
	}
	if inForce.Version == kept.BaseVersion {
		return kept, PlanOpen, nil
	}
	record, err := s.successor(ctx, inForce, kept.BaseVersion)
	if err != nil {
		return nil, "", err
	}
	if record != nil && record.PlanID == id {
		return kept, PlanApplied, nil
	}
	return kept, PlanSuperseded, nil
}

func (s *Service) load(ctx context.Context, id string) (*plan.Plan, error) {
	if _, wellFormed := plan.BaseVersionOf(id); !wellFormed {
		return nil, &UnknownPlan{PlanID: id}
	}
	object, err := s.get(ctx, PlanPrefix+id)
	var missing *failure.ObjectNotFound
	if errors.As(err, &missing) {
		return nil, &UnknownPlan{PlanID: id}
	}
	if err != nil {
		return nil, err
	}
	kept := &plan.Plan{}
	if err := json.Unmarshal(object.Value, kept); err != nil {
		return nil, &failure.Internal{Cause: err}
	}
	return kept, nil
}

func isConflict(err error) bool { return failure.IsType(err, "version_conflict") }
