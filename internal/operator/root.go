package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/platform"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Keys of the platform's object API.
const (
	// RootKey holds the configuration in force, as JSON of structs.Configuration.
	RootKey = "config/root"
	// PlanPrefix precedes a plan's identifier.
	PlanPrefix = "plans/"
	// AuditPrefix precedes the version that a record's change was made from.
	AuditPrefix = "audit/"
)

// auditKey names the record of the change that was made from base. Versions
// have a fixed width, so that keys sort as versions do.
func auditKey(base uint64) string { return fmt.Sprintf("%s%020d", AuditPrefix, base) }

// ParseRoot reads the root object. The version is that of the object: the
// writer can't know it beforehand. The error is a *failure.Internal.
func ParseRoot(object platform.Object) (*structs.Configuration, error) {
	configuration := &structs.Configuration{}
	if err := json.Unmarshal(object.Value, configuration); err != nil {
		return nil, &failure.Internal{Cause: err}
	}
	configuration.Version = object.Version
	return configuration, nil
}

// InForce reads the configuration in force from the platform. Before the first
// one it has version 0. Errors: *Unavailable, *failure.Internal.
func (s *Service) InForce(ctx context.Context) (*structs.Configuration, error) {
	object, err := s.get(ctx, RootKey)
	var missing *failure.ObjectNotFound
	if errors.As(err, &missing) {
		return &structs.Configuration{}, nil
	}
	if err != nil {
		return nil, err
	}
	return ParseRoot(object)
}

// get reads an object. Reading has no effect, so a missing answer is said as
// *Unavailable: not run.
func (s *Service) get(ctx context.Context, key string) (platform.Object, error) {
	object, err := s.platform.Get(ctx, key)
	if err != nil && failure.IsType(err, platformUnavailable) {
		return platform.Object{}, &Unavailable{Operation: "get " + key}
	}
	return object, err
}
