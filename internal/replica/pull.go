package replica

import (
	"context"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// pulled is the outcome of an attempt to copy one source.
type pulled struct {
	// standing is what the source said of itself with its last record; nil if the
	// copy is not whole or the source itself not recovered.
	standing *replicav1.Standing
	// brought is set if any record came.
	brought bool
}

// pullAll copies the records of another member that are not here yet, part by part, and tells
// of the first part.
func (r *Replica) pullAll(ctx context.Context, group *replicav1.Group, other *replicav1.Member, identity *replicav1.Identity, copied *sourceCopy, first chan<- struct{}) (result pulled) {
	r.announceTo(ctx, other, r.announcement(group))
	for {
		part, err := r.pullPart(ctx, group, other, identity, copied)
		if err != nil {
			if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
				copied.timedOut()
			}
			if ctx.Err() == nil {
				eventCopyBroken.Log("partition", group.Partition, "seat", identity.Seat, "source", other.Node, "position", copied.after, "cause", err.Error())
			}
			return result
		}
		select {
		case first <- struct{}{}:
		default:
		}
		result.brought = result.brought || len(part.Records) > 0
		if copied.take(part) {
			continue
		}
		if part.Standing.Recovered {
			result.standing = part.Standing
		}
		return result
	}
}

// pullPart copies one part and writes it to the disk.
func (r *Replica) pullPart(ctx context.Context, group *replicav1.Group, other *replicav1.Member, identity *replicav1.Identity, copied *sourceCopy) (*replicav1.PullResponse, error) {
	call, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := r.quorum.ReplicaClient(other.Address).Pull(call, connect.NewRequest(&replicav1.PullRequest{
		Epoch: group.Epoch, Seat: identity.Seat, Incarnation: identity.Incarnation, Claim: identity.Claim,
		After: copied.after, MaxBytes: uint32(copied.partBytes), Partition: group.Partition,
	}))
	if err != nil {
		return nil, err
	}
	r.directory.ApplyPeerGroup(response.Msg.Standing.Group, other.Node)
	return response.Msg, r.state.write(response.Msg.Records...)
}
