package replica

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/requestkey"
)

// quarantineRequest is a call of a process that has the table's records up to its present revision.
func quarantineRequest(caller uint64, table *quarantine.Table) *replicav1.QuarantineRequest {
	_, current := table.Since(quarantine.Cursor{})
	return &replicav1.QuarantineRequest{Caller: caller, Known: &replicav1.QuarantineCursor{Source: current.Source, Revision: current.Revision}}
}

func newEnd(table *quarantine.Table, target string) {
	table.RecordEnds(quarantine.Record{Key: requestkey.Of(1, requestkey.Content{Target: target})}, 1)
}

func TestRecordsAreSpreadOnceEachPollingCallerHasConfirmedThem(t *testing.T) {
	const teller, polling, other = 1, 2, 3
	table := quarantine.NewTable(time.Now)
	hub := newQuarantineHub(table, time.Now)
	before := quarantineRequest(polling, table)
	end := hub.beginPoll(before)
	defer end()
	hub.beginPoll(quarantineRequest(other, table))()
	newEnd(table, "a")
	revision := table.Revision()
	spread, _ := hub.isSpread(teller, revision)
	require.False(t, spread, "one polls, and one has just polled")
	hub.observe(quarantineRequest(other, table))
	spread, _ = hub.isSpread(teller, revision)
	require.False(t, spread)
	done := make(chan bool, 1)
	go func() { done <- hub.awaitSpread(t.Context(), teller, revision, time.Minute) }()
	hub.observe(quarantineRequest(polling, table))
	require.True(t, <-done)
	newEnd(table, "b")
	require.False(t, hub.awaitSpread(t.Context(), teller, table.Revision(), 10*time.Millisecond), "within its limit")
}

func TestCallerThatDoesNotPollIsNotAwaited(t *testing.T) {
	now := time.Now()
	table := quarantine.NewTable(time.Now)
	hub := newQuarantineHub(table, func() time.Time { return now })
	hub.beginPoll(quarantineRequest(2, table))()
	newEnd(table, "a")
	now = now.Add(betweenPolls)
	hub.observe(&replicav1.QuarantineRequest{Caller: 2})
	spread, _ := hub.isSpread(1, table.Revision())
	require.True(t, spread, "a telling is no poll")
}

func TestQuarantineCallReturnsWhatItsCallerLacks(t *testing.T) {
	table := quarantine.NewTable(time.Now)
	server := &service{quarantine: newQuarantineHub(table, time.Now)}
	newEnd(table, "known")
	request := quarantineRequest(1, table)
	newEnd(table, "lacking")
	told := quarantine.Record{Key: requestkey.Of(1, requestkey.Content{Target: "told"}), Ends: 2}
	request.Records = quorum.EncodeQuarantineRecords([]quarantine.Record{told})
	response, err := server.Quarantine(t.Context(), connect.NewRequest(request))
	require.NoError(t, err)
	require.True(t, response.Msg.Spread)
	require.Equal(t, 2, table.Lookup(told.Key).Total())
	lacking := quorum.DecodeQuarantineRecords(response.Msg.Update.Records)
	require.Len(t, lacking, 2, "what it has told comes back to it")
}
