package quorum

import (
	"fmt"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// MemberAnswer is what one member of a group said, and why that does not count.
type MemberAnswer struct {
	Node string
	// RejectReason is why the answer does not count by itself; "" where it does.
	RejectReason string
}

// Shortfall is why the answers of a group's members are not enough: silence is told apart
// from answers that do not count, since one asks for machines and the other for records.
type Shortfall struct {
	Epoch   uint64
	Members []MemberAnswer
}

// String returns each member's answer.
func (s Shortfall) String() string {
	answers := make([]string, 0, len(s.Members))
	for _, member := range s.Members {
		said := member.RejectReason
		if said == "" {
			said = "counts"
		}
		answers = append(answers, member.Node+" "+said)
	}
	return fmt.Sprintf("epoch %d: %s", s.Epoch, strings.Join(answers, ", "))
}

// shortfall explains the answers of a group's members, by seat; one without a standing is
// silence.
func shortfall(group *replicav1.Group, standings map[uint32]*replicav1.Standing) Shortfall {
	found := Shortfall{Epoch: group.Epoch}
	for _, member := range group.Members {
		found.Members = append(found.Members, MemberAnswer{Node: member.Node, RejectReason: doubt(group, member, standings)})
	}
	return found
}

// doubt returns why a member's answer does not count, or "".
func doubt(group *replicav1.Group, member *replicav1.Member, standings map[uint32]*replicav1.Standing) string {
	standing := standings[member.Seat]
	switch {
	case standing == nil:
		return "is silent"
	case !standing.Member:
		return "does not hold its seat"
	case standing.Epoch != group.Epoch:
		return fmt.Sprintf("is in epoch %d", standing.Epoch)
	case !standing.Recovered:
		return "has not received its seat's records"
	}
	for _, seen := range standing.Seen {
		if other := standings[seen.Seat]; other != nil && other.Incarnation != seen.Incarnation {
			return fmt.Sprintf("knows another incarnation of seat %d than the one that answers", seen.Seat)
		}
	}
	return ""
}
