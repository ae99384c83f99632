package quorum

import (
	"fmt"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

// MemberAnswer describes one member's answer and why it does not count.
type MemberAnswer struct {
	Node string
	// RejectReason is why the answer does not count by itself, or "".
	RejectReason string
}

// Shortfall describes why the answers of a group's members are not enough. It distinguishes
// members that are silent, which need a working machine, from answers that do not count, which
// need the missing records.
type Shortfall struct {
	Epoch   uint64
	Members []MemberAnswer
}

// String describes each member's answer.
func (s Shortfall) String() string {
	answers := make([]string, 0, len(s.Members))
	for _, member := range s.Members {
		answer := member.RejectReason
		if answer == "" {
			answer = "counts"
		}
		answers = append(answers, member.Node+" "+answer)
	}
	return fmt.Sprintf("epoch %d: %s", s.Epoch, strings.Join(answers, ", "))
}

// shortfall describes the answers of a group's members, by seat. A member without a standing is
// silent.
func shortfall(group *replicav1.Group, standings map[uint32]*replicav1.Standing) Shortfall {
	result := Shortfall{Epoch: group.Epoch}
	for _, member := range group.Members {
		result.Members = append(result.Members, MemberAnswer{Node: member.Node, RejectReason: rejectReason(group, member, standings)})
	}
	return result
}

// rejectReason returns why a member's answer does not count, or "".
func rejectReason(group *replicav1.Group, member *replicav1.Member, standings map[uint32]*replicav1.Standing) string {
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
