package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// groupWithAgreement returns a group of an earlier release in which the members choose the next
// groups themselves, once each of them is able to. While a member of an agreed group runs an earlier
// release, which does not take part, the platform's store decides again. It returns nil if nothing
// has to change.
func groupWithAgreement(status groupStatus) *replicav1.Group {
	if status.agrees == nil || status.group.Removed != nil || !allInSync(status) {
		return nil
	}
	able := true
	for _, member := range status.group.Members {
		able = able && status.agrees(member.Node)
	}
	if able == status.group.Agreed {
		return nil
	}
	next := proto.CloneOf(status.group)
	next.Epoch++
	next.Agreed = able
	return next
}
