package fleet

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// observe returns the group's situation. It is complete once every engine has
// given a report later than the last order to it, or, where none is known of the
// engine, has had the time of a restart to give one.
func (r *reconciler) observe(ctx context.Context, now time.Time, configuration *structs.Configuration) (*situation, bool) {
	s := &situation{
		now:          now,
		token:        r.token,
		models:       r.wanted(configuration),
		drainTimeout: r.fleet.options.DrainTimeout,
	}
	complete := true
	patient := now.Sub(r.started) < replaceAfter
	leaving := r.fleet.leaving.Load()
	for _, one := range r.followers {
		m := r.member(ctx, one, now)
		m.status.Leaving = m.status.Leaving || leaving.engines[m.status.ID]
		complete = complete && r.current(one, patient)
		s.members = append(s.members, m)
	}
	sortMembers(s.members)
	return s, complete
}

// current reports whether what is known of an engine may be acted on. An engine
// that is lost counts as current: it is not counted on.
func (r *reconciler) current(one *follower, patient bool) bool {
	report := one.report.Load()
	if report == nil {
		return !patient
	}
	return report.ReportedAt.After(r.settledAt(one.endpoint.ID)) || one.lost(report, r.fleet.now())
}

// settledAt is when reports show the last order to an engine.
func (r *reconciler) settledAt(id structs.EngineID) time.Time {
	return r.orderedAt[id].Add(r.fleet.options.ReportLag)
}

// renew asks an engine for its status when its last report is older than the
// last order to it.
func (r *reconciler) renew(ctx context.Context, one *follower, now time.Time) {
	report := one.report.Load()
	settled := r.settledAt(one.endpoint.ID)
	if report == nil || report.ReportedAt.After(settled) || !now.After(settled) {
		return
	}
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, err := r.fleet.options.Engines.Status(requestContext, one.endpoint.Address)
	if err == nil {
		one.accept(status)
	}
}

// member describes one engine. One that is drained is asked for its load.
func (r *reconciler) member(ctx context.Context, one *follower, now time.Time) *member {
	r.renew(ctx, one, now)
	id := one.endpoint.ID
	m := &member{drainingSince: r.draining[id], heldBack: now.Before(r.heldBack[id])}
	report := one.report.Load()
	if report == nil {
		m.status = structs.EngineStatus{ID: id, Address: one.endpoint.Address}
		return m
	}
	m.status = *report
	m.reachable = one.failures.Load() == 0 && !one.lost(report, now)
	if !m.reachable && m.draining() && now.Sub(m.drainingSince) > r.fleet.options.DrainTimeout {
		// A lost engine does not hold the others' draining up for ever.
		delete(r.draining, id)
		m.drainingSince = time.Time{}
	}
	if m.reachable && m.draining() {
		m.quiet = r.quiet(ctx, one, m.drainingSince)
	}
	return m
}

// quiet reports whether an engine has no streams, by a report of a time when
// all daemons knew that it is drained.
func (r *reconciler) quiet(ctx context.Context, one *follower, since time.Time) bool {
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, err := r.fleet.options.Engines.Status(requestContext, one.endpoint.Address)
	if err != nil {
		return false
	}
	known := since.Add(r.fleet.options.SettleTime + r.fleet.options.ReportLag)
	return !status.ReportedAt.Before(known) && status.Running == 0 && status.Waiting == 0
}

// wanted returns the declared models with the group's part of their replicas.
func (r *reconciler) wanted(configuration *structs.Configuration) []wantedModel {
	sizes := make([]int, r.group.count)
	for _, zone := range configuration.Declarations.Zones {
		if zone.Name != r.group.zone {
			continue
		}
		for g, engines := range groupsOf(zone) {
			sizes[g.index] = len(engines)
		}
	}
	var models []wantedModel
	for _, model := range configuration.Declarations.Models {
		replicas := replicasOf(model.ReplicasPerZone[r.group.zone], sizes)
		models = append(models, wantedModel{Model: model, replicas: replicas[r.group.index]})
	}
	return models
}

func (r *reconciler) storeBusy(ctx context.Context) bool {
	if r.fleet.options.Weights == nil {
		return false
	}
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	load, err := r.fleet.options.Weights.Load(requestContext)
	// A store without an answer sends no weights either.
	return err != nil || float64(load.QueuedBytes) > storeBacklog.Seconds()*float64(load.BytesPerSecond)
}
