package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/plan"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// maxAttempts bounds how often one request goes to a platform that gives no
	// answer.
	maxAttempts = 5
	// firstPause and pauseLimit bound the doubling wait between attempts.
	firstPause = 50 * time.Millisecond
	pauseLimit = 800 * time.Millisecond
)

// Applied is a plan that is the platform's accepted configuration.
type Applied struct {
	PlanID string `json:"planID"`
	// Version is the configuration's version.
	Version uint64 `json:"version"`
	// Repeated says that the plan was applied before this request.
	Repeated bool `json:"repeated"`
}

// Confirmation is an operator's word for a plan.
type Confirmation struct {
	Operator string
	PlanID   string
	// AcceptedHarms repeats the names of the plan's harms.
	AcceptedHarms []string
}

// application is one Apply under way.
type application struct {
	service      *Service
	confirmation Confirmation
	plan         *plan.Plan
	// sent is set once the platform may have got the change.
	sent bool
	// checked is set once the harms were compared with the confirmation.
	checked bool
}

// Apply puts a plan in force: once, however often it is asked for, and only
// from the version that the plan was made from. Harms are worked out again with
// the programs under way now. Errors: *UnknownPlan, *PlanConflict,
// *HarmNotAccepted, *Unavailable (nothing was changed), *ApplyUnknown (apply
// again), *failure.Internal.
func (s *Service) Apply(ctx context.Context, confirmation Confirmation) (Applied, error) {
	kept, err := s.load(ctx, confirmation.PlanID)
	if failure.IsType(err, (&UnknownPlan{}).Type()) {
		return s.appliedBefore(ctx, confirmation.PlanID)
	}
	if err != nil {
		return Applied{}, err
	}
	run := &application{service: s, confirmation: confirmation, plan: kept}
	for attempt := range maxAttempts {
		applied, err := run.try(ctx)
		if err == nil {
			return applied, nil
		}
		if !failure.IsType(err, platformUnavailable) && !isConflict(err) {
			return Applied{}, err
		}
		// A conflict is settled by reading the root object again.
		if s.pause(ctx, attempt) != nil {
			break
		}
	}
	if run.sent {
		eventApplyUnknown.Log("plan", kept.ID, "operator", confirmation.Operator)
		return Applied{}, &ApplyUnknown{PlanID: kept.ID}
	}
	return Applied{}, &Unavailable{Operation: "apply " + kept.ID}
}

// appliedBefore answers for a plan that is no longer kept, by the audit trail.
func (s *Service) appliedBefore(ctx context.Context, id string) (Applied, error) {
	base, wellFormed := plan.BaseVersionOf(id)
	if !wellFormed {
		return Applied{}, &UnknownPlan{PlanID: id}
	}
	inForce, err := s.InForce(ctx)
	if err != nil {
		return Applied{}, err
	}
	record, err := s.successor(ctx, inForce, base)
	if err != nil {
		return Applied{}, err
	}
	if record == nil || record.PlanID != id {
		return Applied{}, &UnknownPlan{PlanID: id}
	}
	return Applied{PlanID: id, Version: record.Version, Repeated: true}, nil
}

// try reads where things stand and sends the change if it is still to be made.
func (a *application) try(ctx context.Context) (Applied, error) {
	inForce, err := a.service.InForce(ctx)
	if err != nil {
		return Applied{}, err
	}
	if inForce.Version != a.plan.BaseVersion {
		return a.settle(ctx, inForce)
	}
	if a.plan.IsEmpty() {
		return Applied{PlanID: a.plan.ID, Version: inForce.Version, Repeated: true}, nil
	}
	if err := a.check(ctx, inForce); err != nil {
		return Applied{}, err
	}
	if err := a.service.archive(ctx, inForce); err != nil {
		return Applied{}, err
	}
	return a.swap(ctx, inForce)
}

// settle decides a plan whose base is not in force: it was applied, by this
// request or before, or another change was accepted in its place.
func (a *application) settle(ctx context.Context, inForce *structs.Configuration) (Applied, error) {
	if inForce.Version < a.plan.BaseVersion {
		return Applied{}, &Unavailable{Operation: "get " + RootKey}
	}
	record, err := a.service.successor(ctx, inForce, a.plan.BaseVersion)
	if err != nil {
		return Applied{}, err
	}
	if record != nil && record.PlanID == a.plan.ID {
		return Applied{PlanID: a.plan.ID, Version: record.Version, Repeated: !a.sent}, nil
	}
	theirs, err := a.service.since(ctx, inForce, a.plan.BaseVersion)
	if err != nil {
		return Applied{}, err
	}
	eventConflict.Log("plan", a.plan.ID, "operator", a.confirmation.Operator, "base", a.plan.BaseVersion, "inForce", inForce.Version)
	return Applied{}, &PlanConflict{
		PlanID:  a.plan.ID,
		Base:    a.plan.BaseVersion,
		InForce: inForce.Version,
		Mine:    a.plan.Differences,
		Theirs:  theirs,
	}
}

// check compares the harms of now with those accepted, once.
func (a *application) check(ctx context.Context, inForce *structs.Configuration) error {
	if a.checked {
		return nil
	}
	current := a.service.make(ctx, a.plan.Operator, inForce, a.plan.Declarations)
	if missing := current.UnacceptedHarms(a.confirmation.AcceptedHarms); len(missing) > 0 {
		return &HarmNotAccepted{PlanID: a.plan.ID, Harms: missing}
	}
	a.checked = true
	return nil
}

// swap replaces the root object, which the platform does only from the base.
func (a *application) swap(ctx context.Context, inForce *structs.Configuration) (Applied, error) {
	next := a.configuration(inForce)
	value, err := json.Marshal(next)
	if err != nil {
		return Applied{}, &failure.Internal{Cause: err}
	}
	a.sent = true
	version, err := a.service.platform.Put(ctx, RootKey, a.plan.BaseVersion, value)
	if err != nil {
		return Applied{}, err
	}
	next.Version = version
	eventApplied.Log("plan", a.plan.ID, "operator", a.confirmation.Operator, "base", a.plan.BaseVersion, "version", version)
	// The record is safe in the root object; whoever changes it next archives
	// the record if this attempt fails.
	if err := a.service.archive(ctx, next); err != nil {
		eventArchiveLate.Log("version", version, "cause", err.Error())
	}
	return Applied{PlanID: a.plan.ID, Version: version}, nil
}

func (a *application) configuration(inForce *structs.Configuration) *structs.Configuration {
	record := &structs.AuditRecord{
		PlanID:        a.plan.ID,
		PlannedBy:     a.plan.Operator,
		Operator:      a.confirmation.Operator,
		Base:          a.plan.BaseVersion,
		AcceptedAt:    a.service.now().UTC(),
		AcceptedHarms: a.confirmation.AcceptedHarms,
		Differences:   a.plan.Differences,
	}
	if inForce.Audit != nil {
		record.PreviousBase = inForce.Audit.Base
	}
	return &structs.Configuration{
		PlanID:       a.plan.ID,
		Declarations: a.plan.Declarations,
		Domains:      a.plan.Domains,
		Audit:        record,
	}
}

// pause waits before the next attempt; it fails when ctx ends, and after the
// last attempt without waiting.
func (s *Service) pause(ctx context.Context, attempt int) error {
	if attempt == maxAttempts-1 {
		return nil
	}
	return s.sleep(ctx, min(firstPause<<attempt, pauseLimit))
}
