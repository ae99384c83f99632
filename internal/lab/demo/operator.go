package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/operatorapi"
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// probeTenant is a tenant of the lab's own. Every change of the configuration
// gives it one more credential, so that a caller can tell from outside which
// version a daemon acts on.
const probeTenant structs.TenantID = "configuration-probe"

// rootKey is the platform's object that holds the configuration.
const rootKey = "config/root"

// operator changes the configuration by plans that it confirms, at any daemon,
// and remembers what was accepted.
type operator struct {
	bench   *bench
	clients []*operatorapi.Client

	mutex   sync.Mutex
	changes int
	asked   int
	// accepted are credentials by the version that brought them in.
	accepted []acceptedChange
}

// acceptedChange is a change that the operator was told is accepted.
type acceptedChange struct {
	version    uint64
	credential string
	at         time.Time
}

// operatorToken is the credential of the lab's operator.
type operatorToken struct{}

// OperatorToken implements operatorapi.SecuritySource.
func (operatorToken) OperatorToken(context.Context, operatorapi.OperationName) (operatorapi.OperatorToken, error) {
	return operatorapi.OperatorToken{Token: topology.Token(OperatorName)}, nil
}

func newOperator(b *bench) (*operator, error) {
	created := &operator{bench: b}
	for _, member := range b.cluster.Members {
		address := "http://" + member.Spec.OperatorAddress
		made, err := operatorapi.NewClient(address, operatorToken{}, operatorapi.WithClient(b.http))
		if err != nil {
			return nil, &failure.Internal{Cause: err}
		}
		created.clients = append(created.clients, made)
	}
	return created, nil
}

// Bounds of the operator's requests.
const (
	operatorAttempts = 60
	operatorTimeout  = 5 * time.Second
)

// ask sends a request to one daemon after another until one answers. Every
// request of the operators' API may be repeated. The error is a daemon's
// refusal, as a *failure.Relayed, or a *failure.PlatformUnavailable.
func (o *operator) ask(ctx context.Context, send func(context.Context, *operatorapi.Client) error) error {
	var last error
	for range operatorAttempts {
		limited, cancel := context.WithTimeout(ctx, operatorTimeout)
		last = relayed(send(limited, o.nextClient()))
		cancel()
		known, refused := failure.As(last)
		if last == nil || (refused && !known.Retry().Allowed) {
			return last
		}
		if !pause.For(ctx, probePeriod) {
			break
		}
	}
	if _, refused := failure.As(last); refused {
		return last
	}
	return &failure.PlatformUnavailable{Operation: "change the configuration"}
}

func (o *operator) nextClient() *operatorapi.Client {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.asked++
	return o.clients[o.asked%len(o.clients)]
}

// relayed returns a daemon's problem details as a failure.
func relayed(err error) error {
	problem := &operatorapi.ProblemStatusCode{}
	if !errors.As(err, &problem) {
		return err
	}
	told := problem.Response
	return &failure.Relayed{
		Kind:   failure.Type(told.Type[strings.LastIndex(told.Type, "/")+1:]),
		Detail: told.Detail.Or(told.Title),
		Effect: failure.Outcome(told.Outcome),
		Again: failure.Retry{
			Allowed: told.Retry,
			After:   time.Duration(told.RetryAfterMilliseconds.Or(0)) * time.Millisecond,
		},
	}
}

// first puts the deployment's declarations in force.
func (o *operator) first(ctx context.Context) error {
	return o.change(ctx, 0, o.bench.outside.Declarations)
}

// change makes a plan that adds a credential to the declarations of a version,
// and confirms it. A plan made from another version would take that version's
// change back, so it is not confirmed. The error says what was in the way.
func (o *operator) change(ctx context.Context, version uint64, declarations structs.Declarations) error {
	credential := o.nextCredential()
	planned, err := o.plan(ctx, declarations, credential)
	if err != nil {
		return err
	}
	if base := uint64(planned.BaseVersion); base != version {
		return &failure.VersionConflict{Expected: version, Found: base}
	}
	return o.confirm(ctx, planned.ID, credential)
}

func (o *operator) plan(ctx context.Context, declarations structs.Declarations, credential string) (*operatorapi.Plan, error) {
	declarations.Tenants = withProbeCredential(declarations.Tenants, credential)
	encoded, err := json.Marshal(declarations)
	if err != nil {
		return nil, &failure.Internal{Cause: err}
	}
	var made *operatorapi.Plan
	err = o.ask(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		var err error
		made, err = client.CreatePlan(ctx, &operatorapi.CreatePlan{Declarations: encoded})
		return err
	})
	return made, err
}

func (o *operator) confirm(ctx context.Context, planned, credential string) error {
	var applied *operatorapi.Applied
	err := o.ask(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		var err error
		applied, err = client.ApplyPlan(ctx, &operatorapi.Confirmation{}, operatorapi.ApplyPlanParams{PlanID: planned})
		return err
	})
	if err != nil {
		return err
	}
	o.accept(uint64(applied.Version), credential)
	return nil
}

// update makes one accepted change, whatever others change meanwhile.
func (o *operator) update(ctx context.Context) error {
	for {
		version, declarations, err := o.current(ctx)
		if err == nil {
			err = o.change(ctx, version, declarations)
		}
		if err == nil || !conflict(err) {
			return err
		}
	}
}

// conflict reports whether another change was accepted first.
func conflict(err error) bool {
	return failure.IsType(err, "plan_conflict") || failure.IsType(err, "version_conflict")
}

// current returns the newest accepted declarations and their version.
func (o *operator) current(ctx context.Context) (uint64, structs.Declarations, error) {
	var version uint64
	var declarations structs.Declarations
	err := o.ask(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		configuration, err := client.GetConfiguration(ctx)
		if err != nil {
			return err
		}
		version, declarations = uint64(configuration.Version), structs.Declarations{}
		return json.Unmarshal(configuration.Declarations, &declarations)
	})
	return version, declarations, err
}

// leaders returns the leader of each shard that has one.
func (o *operator) leaders(ctx context.Context) (map[structs.ShardID]structs.NodeID, error) {
	leaders := map[structs.ShardID]structs.NodeID{}
	err := o.ask(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		shards, err := client.GetShards(ctx)
		if err != nil {
			return err
		}
		for _, shard := range shards.Shards {
			if leader := shard.Leader.Or(""); leader != "" {
				leaders[structs.ShardID(shard.Shard)] = structs.NodeID(leader)
			}
		}
		return nil
	})
	return leaders, err
}

func (o *operator) nextCredential() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.changes++
	return fmt.Sprintf("probe-%d", o.changes)
}

func (o *operator) accept(version uint64, credential string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.accepted = append(o.accepted, acceptedChange{version: version, credential: credential, at: time.Now()})
	slices.SortFunc(o.accepted, func(a, b acceptedChange) int { return int(a.version) - int(b.version) })
}

func (o *operator) acceptedChanges() []acceptedChange {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.accepted)
}

// collect adds the accepted changes to the evidence. A change is lost when the
// platform's last configuration does not hold it.
func (o *operator) collect(evidence *promise.Evidence) {
	var last structs.Configuration
	if value, _, found := o.bench.outside.Platform.Object(rootKey); found {
		// A root that cannot be read holds no change, and each counts as lost.
		_ = json.Unmarshal(value, &last)
	}
	for _, change := range o.acceptedChanges() {
		evidence.Accepted = append(evidence.Accepted, promise.Accepted{
			Version: change.version,
			At:      change.at,
			Lost:    !holdsCredential(last.Declarations, change.credential),
		})
	}
}

func withProbeCredential(tenants []structs.Tenant, credential string) []structs.Tenant {
	changed := slices.Clone(tenants)
	for i := range changed {
		if changed[i].Name == probeTenant {
			changed[i].TokenSHA256 = append(slices.Clone(changed[i].TokenSHA256), topology.TokenHash(credential))
		}
	}
	return changed
}

func holdsCredential(declarations structs.Declarations, credential string) bool {
	for _, tenant := range declarations.Tenants {
		if tenant.Name == probeTenant {
			return slices.Contains(tenant.TokenSHA256, topology.TokenHash(credential))
		}
	}
	return false
}

// runChanges makes a change now and then until ctx ends.
func (o *operator) runChanges(ctx context.Context) {
	for pause.For(ctx, changePeriod) {
		err := o.update(ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			o.bench.progress("configuration change not accepted: %v", err)
		}
	}
}

// hostPort strips the scheme of a base URL.
func hostPort(baseURL string) string { return strings.TrimPrefix(baseURL, "http://") }
