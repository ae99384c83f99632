package executor

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/program"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// resolveOpenRequest applies the active declarations to a request to open a program.
// It returns the request for the leader, with the resolved limits and zones, and the
// ID of the program in its placement domain.
func (e *Executor) resolveOpenRequest(ctx context.Context, tenant structs.TenantID, request caller.OpenRequest) (openBody, structs.ProgramID, error) {
	configuration := e.options.Configuration()
	if configuration == nil {
		return openBody{}, "", &failure.NotReady{Missing: "configuration"}
	}
	declared, err := permittedAgentProgram(configuration, tenant, request.Program)
	if err != nil {
		return openBody{}, "", err
	}
	body, err := applyDeclaredBounds(declared, request)
	if err != nil {
		return openBody{}, "", err
	}
	if request.Parent != "" {
		id, err := e.resolveChild(ctx, configuration, tenant, body)
		return body, id, err
	}
	domain, err := placement.DomainOfZones(configuration.Domains, body.HistoryZones)
	if err != nil {
		return openBody{}, "", err
	}
	return body, structs.NewProgramID(domain, tenant, request.Key), nil
}

func permittedAgentProgram(configuration *structs.Configuration, tenant structs.TenantID, name structs.ProgramName) (structs.AgentProgram, error) {
	for _, declared := range configuration.Declarations.Programs {
		if declared.Name == name && slices.Contains(declared.Tenants, tenant) {
			return declared, nil
		}
	}
	return structs.AgentProgram{}, &failure.NotPermitted{What: "program " + string(name)}
}

// applyDeclaredBounds combines the declared limits with those that the caller
// requests. A caller can only narrow a limit.
func applyDeclaredBounds(declared structs.AgentProgram, request caller.OpenRequest) (openBody, error) {
	body := openBody{
		Request:      request,
		Budget:       declared.Budget,
		DeadlineMS:   declared.DeadlineMilliseconds,
		IdleMS:       declared.IdleMilliseconds,
		Priority:     declared.Priority,
		HistoryZones: intersectZones(declared.HistoryZones, request.HistoryZones),
		CacheZones:   intersectZones(declared.CacheZones, request.CacheZones),
	}
	if request.Budget != nil {
		if !request.Budget.Within(declared.Budget) {
			return openBody{}, &failure.NotPermitted{What: "a budget above the declared one"}
		}
		body.Budget = *request.Budget
	}
	if request.DeadlineMilliseconds > 0 {
		body.DeadlineMS = min(request.DeadlineMilliseconds, positiveOrDefault(declared.DeadlineMilliseconds, request.DeadlineMilliseconds))
	}
	if len(body.HistoryZones) == 0 {
		return openBody{}, &failure.NotPermitted{What: "history outside the declared zones"}
	}
	if len(body.CacheZones) == 0 {
		return openBody{}, &failure.NotPermitted{What: "cache outside the declared zones"}
	}
	return body, nil
}

func positiveOrDefault(value, fallback int64) int64 {
	if value > 0 {
		return value
	}
	return fallback
}

// intersectZones returns the requested zones that are declared. Without requested
// zones it returns all declared ones.
func intersectZones(declared, requested []structs.ZoneName) []structs.ZoneName {
	if len(requested) == 0 {
		return declared
	}
	zones := make([]structs.ZoneName, 0, len(requested))
	for _, zone := range requested {
		if slices.Contains(declared, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// resolveChild places a sub-agent in its parent's shard. Its history is stored there,
// so it must be permitted in the whole domain of the parent.
func (e *Executor) resolveChild(_ context.Context, configuration *structs.Configuration, tenant structs.TenantID, body openBody) (structs.ProgramID, error) {
	parent := body.Request.Parent
	shard, err := parent.Shard()
	if err != nil {
		return "", &failure.UnknownProgram{Program: string(parent)}
	}
	domain, found := placement.DomainOfShard(configuration.Domains, shard)
	if !found {
		return "", &failure.UnknownProgram{Program: string(parent)}
	}
	if err := placement.CheckDomain(placement.Policy{HistoryZones: body.HistoryZones}, domain); err != nil {
		return "", err
	}
	return structs.NewChildID(parent, string(tenant)+"\x00"+body.Request.Key)
}

// programRequest returns the request for the state machine. Durations count from now,
// by the leader's clock.
func (b openBody) programRequest(now time.Time, tenant structs.TenantID, id structs.ProgramID) program.OpenRequest {
	request := program.OpenRequest{
		ID:             id,
		Tenant:         tenant,
		ProgramName:    b.Request.Program,
		IdempotencyKey: b.Request.Key,
		Budget:         b.Budget,
		IdleTimeout:    time.Duration(b.IdleMS) * time.Millisecond,
		HistoryZones:   b.HistoryZones,
		CacheZones:     b.CacheZones,
		Parent:         b.Request.Parent,
		Priority:       b.Priority,
		Hash:           xxhash.Sum64(encodeBody(b.Request)),
	}
	if b.DeadlineMS > 0 {
		request.Deadline = now.Add(time.Duration(b.DeadlineMS) * time.Millisecond)
	}
	return request
}
