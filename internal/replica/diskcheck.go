package replica

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/pause"
)

// diskCheckInterval is the time without a write after which the disk is checked. A turn is written to
// a majority of its group's members, so that one of them may have nothing to write for long.
const diskCheckInterval = time.Second

// runDiskChecks periodically checks the disk.
func (r *Replica) runDiskChecks(ctx context.Context) {
	for pause.For(ctx, diskCheckInterval) {
		if err := r.state.checkDisk(); err != nil {
			r.writeFailures.log(err)
		}
	}
}

// checkDisk writes a record without content if nothing has been written for diskCheckInterval, so that
// diskUnavailable holds for a disk that nothing else is written to. Records that the disk has rejected
// are written instead if there are any.
func (s *state) checkDisk() error {
	if s.log.UnwrittenBytes() > 0 {
		return s.log.Append()
	}
	if s.log.IdleFor() < diskCheckInterval {
		return nil
	}
	record, err := proto.Marshal(&replicav1.Record{Kind: &replicav1.Record_DiskCheck{DiskCheck: &replicav1.DiskCheck{}}})
	if err != nil {
		return &failure.Internal{Cause: err}
	}
	return s.log.Append(record)
}
