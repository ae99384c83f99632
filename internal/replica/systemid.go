package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// groupWithSystemID returns a group of a system formed without an ID with the given system ID. It
// returns nil if the group has an ID already, or if a member may not be able to store it.
func groupWithSystemID(status groupStatus, system uint64) *replicav1.Group {
	if status.group.System != 0 || system == 0 || status.group.Removed != nil || !allInSync(status) {
		return nil
	}
	for _, member := range status.group.Members {
		if !status.storesSystemID(member.Node) {
			return nil
		}
	}
	next := proto.CloneOf(status.group)
	next.Epoch++
	next.System = system
	return next
}

// systemIDFor returns the ID for a group without one. The group of the first partition gets its ID
// first, so that the platform's store decides on a single ID.
func systemIDFor(partition uint32, groups []*replicav1.Group) uint64 {
	system := directory.SystemOf(groups)
	if system == 0 && partition == 0 {
		return newSystemID()
	}
	return system
}
