package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/operatorapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// operations implements the generated API.
type operations struct{ service *Service }

// NewError implements operatorapi.Handler.
func (o *operations) NewError(_ context.Context, err error) *operatorapi.ProblemStatusCode {
	return problemOf(failureOf(err, 0))
}

// CreatePlan implements operatorapi.Handler.
func (o *operations) CreatePlan(ctx context.Context, request *operatorapi.CreatePlan) (*operatorapi.Plan, error) {
	var wanted structs.Declarations
	decoder := json.NewDecoder(bytes.NewReader(request.Declarations))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wanted); err != nil {
		return nil, &failure.Malformed{Field: "declarations", Reason: err.Error()}
	}
	created, err := o.service.Create(ctx, operatorOf(ctx), wanted)
	if err != nil {
		return nil, err
	}
	return planResponse(created, PlanOpen), nil
}

// CreateDrainPlan implements operatorapi.Handler.
func (o *operations) CreateDrainPlan(ctx context.Context, request *operatorapi.DrainZone, params operatorapi.CreateDrainPlanParams) (*operatorapi.Plan, error) {
	created, err := o.service.CreateDrain(ctx, operatorOf(ctx), structs.ZoneName(params.Zone), request.Draining)
	if err != nil {
		return nil, err
	}
	return planResponse(created, PlanOpen), nil
}

// GetPlan implements operatorapi.Handler.
func (o *operations) GetPlan(ctx context.Context, params operatorapi.GetPlanParams) (*operatorapi.Plan, error) {
	kept, state, err := o.service.Plan(ctx, params.PlanID)
	if err != nil {
		return nil, err
	}
	return planResponse(kept, state), nil
}

// ApplyPlan implements operatorapi.Handler.
func (o *operations) ApplyPlan(ctx context.Context, request *operatorapi.Confirmation, params operatorapi.ApplyPlanParams) (*operatorapi.Applied, error) {
	applied, err := o.service.Apply(ctx, Confirmation{
		Operator: operatorOf(ctx), PlanID: params.PlanID, AcceptedHarms: request.AcceptedHarms,
	})
	if err != nil {
		return nil, err
	}
	return &operatorapi.Applied{PlanID: applied.PlanID, Version: int64(applied.Version), Repeated: applied.Repeated}, nil
}

// GetInForce implements operatorapi.Handler.
func (o *operations) GetInForce(ctx context.Context, params operatorapi.GetInForceParams) (*operatorapi.InForce, error) {
	status, err := o.service.Status(ctx, uint64(params.Version.Or(0)))
	if err != nil {
		return nil, err
	}
	response := &operatorapi.InForce{Version: int64(status.Version), Everywhere: status.Everywhere, Nodes: []operatorapi.NodeInForce{}}
	for _, node := range status.Nodes {
		row := operatorapi.NodeInForce{Node: string(node.Node), Zone: string(node.Zone), InForce: node.InForce}
		if node.Answered {
			row.Version = operatorapi.NewOptInt64(int64(node.Version))
		}
		response.Nodes = append(response.Nodes, row)
	}
	return response, nil
}

// GetConfiguration implements operatorapi.Handler.
func (o *operations) GetConfiguration(ctx context.Context) (*operatorapi.Configuration, error) {
	inForce, err := o.service.InForce(ctx)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(inForce.Declarations)
	if err != nil {
		return nil, &failure.Internal{Cause: err}
	}
	response := &operatorapi.Configuration{
		Version:      int64(inForce.Version),
		PlanID:       inForce.PlanID,
		Declarations: text,
		Domains:      []operatorapi.Domain{},
	}
	for _, domain := range inForce.Domains {
		response.Domains = append(response.Domains, operatorapi.Domain{
			Name:       domain.Name,
			Zones:      texts(domain.Zones),
			FirstShard: int64(domain.FirstShard),
			ShardCount: int64(domain.ShardCount),
		})
	}
	return response, nil
}

// GetAudit implements operatorapi.Handler.
func (o *operations) GetAudit(ctx context.Context, params operatorapi.GetAuditParams) (*operatorapi.Audit, error) {
	records, err := o.service.Audit(ctx, params.Limit.Or(0))
	if err != nil {
		return nil, err
	}
	return &operatorapi.Audit{Records: auditRecords(records)}, nil
}

// GetNodes implements operatorapi.Handler.
func (o *operations) GetNodes(context.Context) (*operatorapi.Nodes, error) {
	response := &operatorapi.Nodes{Nodes: []operatorapi.Node{}}
	for _, node := range o.service.backend.Nodes() {
		response.Nodes = append(response.Nodes, operatorapi.Node{
			ID:            string(node.ID),
			Incarnation:   fmt.Sprint(node.Incarnation),
			Region:        node.Region,
			Zone:          string(node.Zone),
			State:         operatorapi.NodeState(node.State),
			PeerAddress:   node.PeerAddress,
			CallerAddress: node.CallerAddress,
			HasDisk:       node.HasDisk,
		})
	}
	return response, nil
}

// DrainNode implements operatorapi.Handler.
func (o *operations) DrainNode(ctx context.Context, params operatorapi.DrainNodeParams) error {
	return o.service.DrainNode(ctx, operatorOf(ctx), structs.NodeID(params.Node))
}

// GetEngines implements operatorapi.Handler.
func (o *operations) GetEngines(context.Context) (*operatorapi.Engines, error) {
	engines, all := o.service.backend.Engines()
	response := &operatorapi.Engines{All: all, Engines: []operatorapi.Engine{}}
	for _, engine := range engines {
		response.Engines = append(response.Engines, engineResponse(engine))
	}
	return response, nil
}

// GetShards implements operatorapi.Handler.
func (o *operations) GetShards(ctx context.Context) (*operatorapi.Shards, error) {
	response := &operatorapi.Shards{Shards: []operatorapi.Shard{}}
	for _, shard := range o.service.backend.Shards(ctx) {
		row := operatorapi.Shard{
			Shard:   int64(shard.Shard),
			Domain:  shard.Domain,
			Term:    int64(shard.Term),
			Members: texts(shard.Members),
		}
		if shard.Leader != "" {
			row.Leader = operatorapi.NewOptString(string(shard.Leader))
		}
		response.Shards = append(response.Shards, row)
	}
	return response, nil
}

// GetPrograms implements operatorapi.Handler.
func (o *operations) GetPrograms(ctx context.Context) (*operatorapi.Programs, error) {
	use := o.service.backend.Use(ctx)
	response := &operatorapi.Programs{Complete: use.Complete, Counts: []operatorapi.ProgramCount{}}
	for _, count := range use.Counts {
		response.Counts = append(response.Counts, operatorapi.ProgramCount{
			Program:  string(count.Program),
			Tenant:   string(count.Tenant),
			Domain:   count.Domain,
			UnderWay: count.Running,
		})
	}
	return response, nil
}
