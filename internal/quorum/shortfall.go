package quorum

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/directory"
	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

const (
	// maxCauseBytes limits the text of an error within the description of a member's answer.
	maxCauseBytes = 80
	// silent describes a member without an answer.
	silent = "is silent"
)

// MemberAnswer describes one member's latest answer and why it does not count.
type MemberAnswer struct {
	Node string
	// RejectReason is why the answer does not count by itself, or "".
	RejectReason string
	// Answer is the latest answer, or nil if there was none.
	Answer *replicav1.AppendResponse
	// Earlier describes an answer in an earlier round if there was none in the latest, else "".
	Earlier string
}

// counts reports whether the answer counts by itself.
func (a MemberAnswer) counts() bool { return a.RejectReason == "" }

// description returns what the answer amounts to.
func (a MemberAnswer) description() string {
	switch {
	case a.counts():
		return "counts"
	case a.Earlier != "":
		return a.RejectReason + ", " + a.Earlier
	}
	return a.RejectReason
}

// Shortfall describes why the answers of a group's members are not enough. It distinguishes
// members that are silent, which need a working machine, from answers that do not count, which
// need the missing records.
type Shortfall struct {
	Epoch   uint64
	Members []MemberAnswer
	// Removed is the member whose removal from the group is not complete yet, or "".
	Removed string
}

// String describes each member's answer. Those that do not count come first, because logs may be
// cut.
func (s Shortfall) String() string {
	members := slices.Clone(s.Members)
	slices.SortStableFunc(members, func(a, b MemberAnswer) int {
		switch {
		case a.counts() == b.counts():
			return 0
		case b.counts():
			return -1
		}
		return 1
	})
	answers := make([]string, 0, len(members))
	for _, member := range members {
		answers = append(answers, member.Node+" "+member.description())
	}
	return fmt.Sprintf("epoch %d: %s", s.Epoch, strings.Join(answers, ", "))
}

// withEarlierAnswers adds the answers of an earlier round of members without one: a round that ends
// early, because the group has changed, says nothing of members that were not heard in it.
func (s Shortfall) withEarlierAnswers(earlier Shortfall) Shortfall {
	for i := range s.Members {
		member := &s.Members[i]
		if member.Answer != nil {
			continue
		}
		for _, before := range earlier.Members {
			if before.Node != member.Node || before.Answer == nil {
				continue
			}
			member.Answer, member.Earlier = before.Answer, before.Earlier
			if member.Earlier == "" {
				member.Earlier = fmt.Sprintf("in epoch %d %s", earlier.Epoch, before.description())
			}
		}
	}
	return s
}

// memberResult is the latest result of the calls to one member in a round.
type memberResult struct {
	// answer is the latest answer, or nil.
	answer *replicav1.AppendResponse
	// isRemembered is set if answer was given to an earlier request.
	isRemembered bool
	// failure is the error of the latest call if it was not answered, or nil.
	failure error
}

// shortfall describes the answers of a group's members, by seat.
func shortfall(group *replicav1.Group, results map[uint32]memberResult) Shortfall {
	standings := make(map[uint32]*replicav1.Standing, len(results))
	for seat, result := range results {
		if result.answer != nil {
			standings[seat] = result.answer.Standing
		}
	}
	described := Shortfall{Epoch: group.Epoch, Removed: group.Removed.GetNode()}
	for _, member := range group.Members {
		result := results[member.Seat]
		reason := RejectReason(group, member, standings)
		switch {
		case result.answer == nil:
			reason = DescribeCallFailure(result.failure)
		case reason == "" && result.answer.GetReport().GetDiskUnavailable():
			reason = "cannot write to its disk"
		}
		described.Members = append(described.Members, MemberAnswer{Node: member.Node, RejectReason: reason, Answer: result.answer})
	}
	return described
}

// DescribeCallFailure describes a replica that has not answered by the error of the last call to it,
// which is nil if no call has ended. Errors of a replica that is silent read alike, so that they are
// not logged as changes.
func DescribeCallFailure(err error) string {
	var foreign *directory.ForeignSystem
	switch {
	case errors.As(err, &foreign):
		return "is a process of another system"
	case isRejection(err):
		return "is overloaded"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refuses connections"
	case connect.IsWireError(err):
		return "fails the call: " + truncate(err.Error())
	}
	return silent
}

func truncate(text string) string { return text[:min(len(text), maxCauseBytes)] }

// RejectReason returns why a member's standing does not count by itself, or "". standings are those
// of the members that have answered, by seat.
func RejectReason(group *replicav1.Group, member *replicav1.Member, standings map[uint32]*replicav1.Standing) string {
	standing := standings[member.Seat]
	switch {
	case standing == nil:
		return silent
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
