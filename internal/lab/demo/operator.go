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
	"github.com/barleyshelf/barleyshelf/internal/lab/promise"
	"github.com/barleyshelf/barleyshelf/internal/lab/topology"
	"github.com/barleyshelf/barleyshelf/internal/placement"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// probeTenant is a tenant of the lab's own. Every change of the configuration
// gives it one more credential, so that a caller can tell from outside which
// version a daemon acts on.
const probeTenant structs.TenantID = "configuration-probe"

// rootKey is the platform's object that holds the configuration.
const rootKey = "config/root"

// operator changes the configuration and remembers what was accepted.
type operator struct {
	bench    *bench
	platform *platform.Client

	mutex   sync.Mutex
	changes int
	// accepted are credentials by the version that brought them in.
	accepted []acceptedChange
}

// acceptedChange is a change that the operator was told is accepted.
type acceptedChange struct {
	version    uint64
	credential string
	at         time.Time
}

func newOperator(b *bench) *operator {
	return &operator{bench: b, platform: platform.NewClient(b.outside.Platform.Address(), b.http)}
}

// first puts the deployment's declarations in place.
func (o *operator) first(ctx context.Context) error {
	declarations := o.bench.outside.Declarations
	configuration := structs.Configuration{
		PlanID:       "first",
		Declarations: declarations,
		Domains:      placement.Domains(declarations, nil),
	}
	return o.change(ctx, 0, configuration)
}

// change adds a credential and writes the configuration over the expected
// version. Errors: *failure.VersionConflict, *failure.PlatformUnavailable.
func (o *operator) change(ctx context.Context, expected uint64, configuration structs.Configuration) error {
	credential := o.nextCredential()
	configuration.PlanID = credential
	configuration.Declarations.Tenants = withProbeCredential(configuration.Declarations.Tenants, credential)
	encoded, err := json.Marshal(configuration)
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	version, err := o.platform.Put(ctx, rootKey, expected, encoded)
	if failure.IsType(err, "platform_unavailable") {
		version, err = o.settle(ctx, credential, err)
	}
	if err != nil {
		return err
	}
	o.accept(version, credential)
	return nil
}

// settle finds out whether a write without an answer took effect.
func (o *operator) settle(ctx context.Context, credential string, lost error) (uint64, error) {
	const attempts = 40
	for range attempts {
		version, current, err := o.current(ctx)
		if err == nil {
			if holdsCredential(current.Declarations, credential) {
				return version, nil
			}
			return 0, lost
		}
		if !wait(ctx, probePeriod) {
			return 0, ctx.Err()
		}
	}
	return 0, lost
}

// update makes one accepted change, whatever others change meanwhile.
func (o *operator) update(ctx context.Context) error {
	for {
		version, configuration, err := o.current(ctx)
		if err == nil {
			err = o.change(ctx, version, configuration)
		}
		if err == nil || !failure.IsType(err, "version_conflict") {
			return err
		}
	}
}

func (o *operator) current(ctx context.Context) (uint64, structs.Configuration, error) {
	var configuration structs.Configuration
	stored, err := o.platform.Get(ctx, rootKey)
	if err != nil {
		return 0, configuration, err
	}
	if err := json.Unmarshal(stored.Value, &configuration); err != nil {
		return 0, configuration, &failure.Internal{Cause: err}
	}
	return stored.Version, configuration, nil
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
	for wait(ctx, changePeriod) {
		err := o.update(ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			o.bench.progress("configuration change not accepted: %v", err)
		}
	}
}

// hostPort strips the scheme of a base URL.
func hostPort(baseURL string) string { return strings.TrimPrefix(baseURL, "http://") }
