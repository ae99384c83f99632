package replica

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/recordlog"
)

// quarantineRetryInterval is the time between two attempts to write records that the disk rejects.
const quarantineRetryInterval = time.Second

// runQuarantinePersistence writes each changed quarantine record to the disk until ctx ends. After a
// restart of all processes these copies are the only ones.
func (r *Replica) runQuarantinePersistence(ctx context.Context) {
	for {
		changed := r.state.quarantine.Changed()
		records, current := r.state.quarantine.Since(r.state.quarantineOnDisk)
		if err := r.state.writeQuarantine(records); err != nil {
			r.writeFailures.log(err)
			if !pause.For(ctx, quarantineRetryInterval) {
				return
			}
			continue
		}
		r.state.quarantineOnDisk = current
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// writeQuarantine returns once quarantine records are on the disk. They must be in the table already.
func (s *state) writeQuarantine(records []quarantine.Record) error {
	if owed := s.log.UnwrittenBytes(); owed > maxPendingBytes {
		return &recordlog.WriteBacklog{Bytes: owed}
	}
	var encoded [][]byte
	for _, record := range s.encodeStoredQuarantine(records) {
		data, err := proto.Marshal(record)
		if err != nil {
			return &failure.Internal{Cause: err}
		}
		encoded = append(encoded, data)
	}
	if len(encoded) == 0 {
		return nil
	}
	return s.log.Append(encoded...)
}

// quarantineRecords returns all quarantine records as they are written to the disk.
func (s *state) quarantineRecords() []*replicav1.Record {
	records, _ := s.quarantine.Since(quarantine.Cursor{})
	return s.encodeStoredQuarantine(records)
}

// encodeStoredQuarantine returns quarantine records as they are written to the disk.
func (s *state) encodeStoredQuarantine(records []quarantine.Record) []*replicav1.Record {
	now := s.now()
	stored := make([]*replicav1.Record, 0, len(records))
	for i, record := range quorum.EncodeQuarantineRecords(records) {
		entry := &replicav1.StoredQuarantine{Record: record, ChangedUnixMs: now.Add(-records[i].Age).UnixMilli()}
		stored = append(stored, &replicav1.Record{Kind: &replicav1.Record_Quarantine{Quarantine: entry}})
	}
	return stored
}

// decodeStoredQuarantine returns the record of an entry on the disk; none if it cannot be read. A record
// from the future is as old as now: the machine's clock was set back.
func decodeStoredQuarantine(entry *replicav1.StoredQuarantine, now time.Time) []quarantine.Record {
	if entry.GetRecord() == nil {
		return nil
	}
	records := quorum.DecodeQuarantineRecords([]*replicav1.QuarantineRecord{entry.Record})
	for i := range records {
		records[i].Age = max(0, now.Sub(time.UnixMilli(entry.ChangedUnixMs)))
	}
	return records
}
