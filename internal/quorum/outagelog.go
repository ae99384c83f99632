package quorum

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

const (
	// outageLogInterval is how often an outage is logged while the members' answers stay the
	// same.
	outageLogInterval = 10 * time.Second
	// minMemberLogInterval is the minimum time between two log lines about one member. Together with
	// the size of a group it bounds the lines of an outage.
	minMemberLogInterval = 2 * time.Second
)

// memberLog is what was last logged of one member during an outage.
type memberLog struct {
	state string
	at    time.Time
}

// logMembers logs the members' answers if they have changed or outageLogInterval has passed, and the
// state of each member that has reported it. An outage whose members answer again without counting
// has another cause than one in which they are silent.
func (o *outage) logMembers(now time.Time, partition uint32, shortfall Shortfall) {
	answers := shortfall.String()
	if answers != o.memberAnswers || now.Sub(o.loggedAt) >= outageLogInterval {
		o.memberAnswers, o.loggedAt = answers, now
		eventMajorityUnavailable.Log("partition", partition, "members", answers, "removed", shortfall.Removed, "away_ms", now.Sub(o.since).Milliseconds())
	}
	for _, member := range shortfall.Members {
		o.logMember(now, partition, member)
	}
}

// logMember logs the state of one member if it has changed or outageLogInterval has passed. A state
// without a report is not logged: the members' answers show all that is known.
func (o *outage) logMember(now time.Time, partition uint32, member MemberAnswer) {
	report := member.Answer.GetReport()
	if report == nil {
		return
	}
	state := describeMember(member)
	last, logged := o.memberLogs[member.Node]
	interval := minMemberLogInterval
	if state == last.state {
		interval = outageLogInterval
	}
	if logged && now.Sub(last.at) < interval {
		return
	}
	if o.memberLogs == nil {
		o.memberLogs = make(map[string]memberLog)
	}
	o.memberLogs[member.Node] = memberLog{state: state, at: now}
	eventMemberReport.Log("node", member.Node, "state", state, "up_ms", report.RunningMs, "contacts", describeContacts(report.Peers),
		"unwritten_bytes", report.UnwrittenBytes, "partition", partition, "away_ms", now.Sub(o.since).Milliseconds())
}

// describeMember describes a member's answer and what its report says, without ages.
func describeMember(member MemberAnswer) string {
	standing := member.Answer.GetStanding()
	parts := []string{member.description(), fmt.Sprintf("epoch %d, incarnation %s", standing.GetEpoch(), shortIncarnation(standing.GetIncarnation()))}
	if standing.GetCopied() {
		parts = append(parts, "has copied")
	}
	if attempt := member.Answer.GetReport().GetCopy(); attempt != nil {
		parts = append(parts, describeCopy(attempt))
	}
	seen := slices.SortedFunc(slices.Values(standing.GetSeen()), func(a, b *replicav1.SeatIncarnation) int { return cmp.Compare(a.Seat, b.Seat) })
	for _, other := range seen {
		parts = append(parts, fmt.Sprintf("seat %d is %s", other.Seat, shortIncarnation(other.Incarnation)))
	}
	if member.Answer.GetReport().GetDiskUnavailable() {
		parts = append(parts, "cannot write to its disk")
	}
	for _, peer := range member.Answer.GetReport().GetPeers() {
		if peer.DiskUnavailable {
			parts = append(parts, peer.Node+" reports that it cannot write to its disk")
		}
		if peer.ContactAgeMs == nil {
			parts = append(parts, "never heard "+peer.Node)
		}
	}
	return strings.Join(parts, "; ")
}

// describeCopy describes an insufficient attempt to copy the records of a seat.
func describeCopy(attempt *replicav1.CopyReport) string {
	sources := make([]string, 0, len(attempt.Sources))
	for _, source := range attempt.Sources {
		problem := cmp.Or(source.Problem, "copied")
		sources = append(sources, source.Node+": "+problem)
	}
	return fmt.Sprintf("copy in epoch %d needs %d of %s", attempt.Epoch, attempt.Needed, strings.Join(sources, ", "))
}

// describeContacts describes when a member has last heard of each other one, and in which state.
func describeContacts(peers []*replicav1.PeerReport) string {
	contacts := make([]string, 0, len(peers))
	for _, peer := range peers {
		if peer.ContactAgeMs == nil {
			contacts = append(contacts, peer.Node+" never")
			continue
		}
		contacts = append(contacts, fmt.Sprintf("%s %d ms ago, epoch %d, incarnation %s, recovered %t",
			peer.Node, peer.GetContactAgeMs(), peer.Epoch, shortIncarnation(peer.Incarnation), peer.Recovered))
	}
	return strings.Join(contacts, "; ")
}

// shortIncarnation returns the low half of an incarnation, which is enough to compare log lines.
func shortIncarnation(incarnation uint64) string { return fmt.Sprintf("%08x", uint32(incarnation)) }
