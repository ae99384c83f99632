package replica

import (
	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// namedGroup returns the group of a system that was formed without a name as one of the system
// named, or nil where it has one, or while a member may not keep it.
func namedGroup(seen observation, system uint64) *replicav1.Group {
	if seen.group.System != 0 || system == 0 || seen.group.Removed != nil || !allSettled(seen) {
		return nil
	}
	for _, member := range seen.group.Members {
		if !seen.keepsSystem(member.Node) {
			return nil
		}
	}
	next := proto.CloneOf(seen.group)
	next.Epoch++
	next.System = system
	return next
}

// systemFor returns the name that a group without one is to get. The first partition's group is
// named first, so that the platform's store settles on one name.
func systemFor(partition uint32, known []*replicav1.Group) uint64 {
	system := directory.SystemOf(known)
	if system == 0 && partition == 0 {
		return drawSystem()
	}
	return system
}
