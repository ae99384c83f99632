package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
)

func TestLongOutageIsLoggedPeriodically(t *testing.T) {
	current, startedAt := &outage{}, time.Unix(1000, 0)
	current.logMembers(startedAt, 0, Shortfall{})
	require.Equal(t, startedAt, current.loggedAt)
	current.logMembers(startedAt.Add(outageLogInterval-1), 0, Shortfall{})
	require.Equal(t, startedAt, current.loggedAt, "the members' answers have not changed")
	current.logMembers(startedAt.Add(outageLogInterval), 0, Shortfall{})
	require.Equal(t, startedAt.Add(outageLogInterval), current.loggedAt)
}

// reportingMember returns the answer of a member that waits for a copy.
func reportingMember(problem string) MemberAnswer {
	contactAge := uint64(12)
	return MemberAnswer{Node: "empty", RejectReason: "has not received its seat's records", Answer: &replicav1.AppendResponse{
		Standing: &replicav1.Standing{Epoch: 8, Incarnation: 0x1234, Seen: []*replicav1.SeatIncarnation{{Seat: 2, Incarnation: 0xab}, {Seat: 1, Incarnation: 0xcd}}},
		Report: &replicav1.ReplicaReport{
			RunningMs: 900, Copy: &replicav1.CopyReport{Epoch: 8, Attempts: 4, Needed: 2, Sources: []*replicav1.CopySourceReport{{Node: "whole"}, {Node: "other", Problem: problem}}},
			Peers: []*replicav1.PeerReport{{Node: "whole", ContactAgeMs: &contactAge, Epoch: 8, Incarnation: 0xcd, Recovered: true}, {Node: "other"}},
		},
	}}
}

func TestStateOfAMemberNamesWhatItWaitsForAndWhomItHears(t *testing.T) {
	member := reportingMember("has not received its seat's records")
	require.Equal(t, "has not received its seat's records; epoch 8, incarnation 00001234; "+
		"copy in epoch 8 needs 2 of whole: copied, other: has not received its seat's records; "+
		"seat 1 is 000000cd; seat 2 is 000000ab; never heard other", describeMember(member))
	require.Equal(t, "whole 12 ms ago, epoch 8, incarnation 000000cd, recovered true; other never", describeContacts(member.Answer.Report.Peers))
}

// The states of members that change with each probe filled the log of an outage.
func TestLogLinesAboutAMemberAreBounded(t *testing.T) {
	current, now := &outage{}, time.Unix(1000, 0)
	lines := 0
	for number := range 600 {
		before := current.memberLogs["empty"].at
		current.logMember(now, 0, reportingMember(fmt.Sprint("another problem ", number)))
		if current.memberLogs["empty"].at != before {
			lines++
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.Equal(t, 30, lines, "one line in minMemberLogInterval, in a minute")
	unchanged := reportingMember("the last problem")
	current.logMember(now.Add(minMemberLogInterval), 0, unchanged)
	logged := current.memberLogs["empty"].at
	current.logMember(logged.Add(outageLogInterval-1), 0, unchanged)
	require.Equal(t, logged, current.memberLogs["empty"].at, "the state has not changed")
	current.logMember(logged.Add(outageLogInterval), 0, unchanged)
	require.NotEqual(t, logged, current.memberLogs["empty"].at)
}
