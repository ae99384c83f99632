package replica

import (
	"context"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

// pullResult is the result of an attempt to copy one source.
type pullResult struct {
	// source is the node that was copied from.
	source string
	// problem is why the source was not copied completely or does not hold all records of its seat,
	// or "".
	problem string
	// standing is the source's standing when its last record was copied. It is nil if the copy is
	// incomplete or the source itself is not recovered.
	standing *replicav1.Standing
	// agreement is what the source, as an acceptor, had promised and accepted by then.
	agreement *replicav1.Agreement
	// gotRecords is set if any record was received.
	gotRecords bool
}

// pullRecords copies the records of another member that are missing here, chunk by chunk, and
// signals the first chunk.
func (r *Replica) pullRecords(ctx context.Context, group *replicav1.Group, source *replicav1.Member, identity *replicav1.Identity, progress *sourceCopy, firstChunk chan<- struct{}) (result pullResult) {
	result.source = source.Node
	r.announceTo(ctx, source, r.announcement(group))
	for {
		chunk, err := r.pullChunk(ctx, group, source, identity, progress)
		if err != nil {
			if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
				progress.shrinkChunk()
			}
			if ctx.Err() == nil {
				eventCopyInterrupted.Log("partition", group.Partition, "seat", identity.Seat, "source", source.Node, "position", progress.position, "cause", err.Error())
			}
			result.problem = quorum.DescribeCallFailure(err)
			return result
		}
		select {
		case firstChunk <- struct{}{}:
		default:
		}
		result.gotRecords = result.gotRecords || len(chunk.Records) > 0
		if progress.advance(chunk) {
			continue
		}
		if !chunk.Standing.Recovered {
			result.problem = "has not received its seat's records"
			return result
		}
		result.standing, result.agreement = chunk.Standing, chunk.Agreement
		return result
	}
}

// pullChunk copies one chunk and writes it to the disk.
func (r *Replica) pullChunk(ctx context.Context, group *replicav1.Group, source *replicav1.Member, identity *replicav1.Identity, progress *sourceCopy) (*replicav1.PullResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := r.quorum.ReplicaClient(source.Address).Pull(callCtx, connect.NewRequest(&replicav1.PullRequest{
		Epoch: group.Epoch, Seat: identity.Seat, Incarnation: identity.Incarnation, Claim: identity.Claim,
		After: progress.position, MaxBytes: uint32(progress.chunkBytes), Partition: group.Partition,
	}))
	if err != nil {
		return nil, err
	}
	r.directory.ApplyPeerGroup(response.Msg.Standing.Group, source.Node)
	return response.Msg, r.state.write(response.Msg.Records...)
}
