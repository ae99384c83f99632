package operator

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	// maxConflictRecords bounds the accepted changes that a conflict shows.
	maxConflictRecords = 20
	// MaxAuditRecords bounds one answer of the audit trail.
	MaxAuditRecords = 1000
)

// The audit trail. The record of the version in force stands in the root
// object itself; the root object is replaced only after that record stands at
// audit/<base>. So each accepted version has its record in one of both places,
// whatever dies in between. A record is written only from a root object that
// was read, never for a change that might not have happened.

// archive copies the record of a root object that was read into the trail. All
// writers write the same content, so one that stands already is as good.
// Errors: those of the platform; a missing answer is safe to repeat.
func (s *Service) archive(ctx context.Context, inForce *structs.Configuration) error {
	if inForce.Audit == nil {
		return nil
	}
	value, err := json.Marshal(recordOf(inForce))
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	_, err = s.platform.Put(ctx, auditKey(inForce.Audit.Base), 0, value)
	if isConflict(err) {
		return nil
	}
	return err
}

// recordOf returns the root object's record with its version filled in.
func recordOf(inForce *structs.Configuration) *structs.AuditRecord {
	record := *inForce.Audit
	record.Version = inForce.Version
	return &record
}

// successor returns the record of the change that was made from base, nil
// where there is none: base is in force or never was. The record in the root
// object is looked at first, as it may not be archived yet.
func (s *Service) successor(ctx context.Context, inForce *structs.Configuration, base uint64) (*structs.AuditRecord, error) {
	if inForce.Audit != nil && inForce.Audit.Base == base {
		return recordOf(inForce), nil
	}
	if base >= inForce.Version {
		return nil, nil
	}
	return s.archived(ctx, base)
}

// archived returns the record at audit/<base>, or nil.
func (s *Service) archived(ctx context.Context, base uint64) (*structs.AuditRecord, error) {
	object, err := s.get(ctx, auditKey(base))
	var missing *failure.ObjectNotFound
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	record := &structs.AuditRecord{}
	if err := json.Unmarshal(object.Value, record); err != nil {
		return nil, &failure.Internal{Cause: err}
	}
	return record, nil
}

// Audit returns the newest records of the trail, newest first: at most limit,
// and never more than MaxAuditRecords. Each record leads to the one before.
// Errors: *Unavailable, *failure.Internal.
func (s *Service) Audit(ctx context.Context, limit int) ([]structs.AuditRecord, error) {
	inForce, err := s.InForce(ctx)
	if err != nil || inForce.Audit == nil {
		return nil, err
	}
	record := recordOf(inForce)
	var trail []structs.AuditRecord
	for record != nil && len(trail) < min(limit, MaxAuditRecords) {
		trail = append(trail, *record)
		if record.Base == 0 {
			break
		}
		if record, err = s.archived(ctx, record.PreviousBase); err != nil {
			return nil, err
		}
	}
	return trail, nil
}

// since returns the changes accepted after base, oldest first.
func (s *Service) since(ctx context.Context, inForce *structs.Configuration, base uint64) ([]structs.AuditRecord, error) {
	var records []structs.AuditRecord
	for len(records) < maxConflictRecords {
		record, err := s.successor(ctx, inForce, base)
		if err != nil || record == nil {
			return records, err
		}
		records = append(records, *record)
		base = record.Version
	}
	return records, nil
}
