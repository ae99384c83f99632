package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/quarantine"
	"github.com/barleyshelf/barleyshelf/internal/requestkey"
)

func TestRequestIsRefusedAfterThreeEndsAndNotAfterTwo(t *testing.T) {
	require.Equal(t, quarantine.Send, quarantine.Decide(quarantine.Situation{}))
	require.Equal(t, quarantine.Send, quarantine.Decide(quarantine.Situation{Ends: 2}))
	require.Equal(t, quarantine.Refuse, quarantine.Decide(quarantine.Situation{Ends: 3}))
	require.Equal(t, quarantine.Refuse, quarantine.Decide(quarantine.Situation{Ends: 2, Uncertain: 1}))
	require.Equal(t, quarantine.Await, quarantine.Decide(quarantine.Situation{Ends: 2, Pending: 1}))
	require.Equal(t, quarantine.Send, quarantine.Decide(quarantine.Situation{Ends: 1, Pending: 1}))
	require.Equal(t, quarantine.Send, quarantine.Decide(quarantine.Situation{Isolated: true}))
	require.Equal(t, quarantine.Refuse, quarantine.Decide(quarantine.Situation{Isolated: true, Ends: 1}))
}

func TestOnlyShownEndsCountAsEnds(t *testing.T) {
	judge := func(loss quarantine.ConnectionLoss, probe quarantine.Probe, replaced bool) quarantine.Verdict {
		return quarantine.Judge(quarantine.Evidence{Loss: loss, Probe: probe, Replaced: replaced})
	}
	require.Equal(t, quarantine.Ended, judge(quarantine.LostClosed, quarantine.ProbeRefused, false))
	require.Equal(t, quarantine.Ended, judge(quarantine.LostClosed, quarantine.ProbeAccepted, true), "a new process listens at the address")
	require.Equal(t, quarantine.Ended, judge(quarantine.LostSilent, quarantine.ProbeRefused, false))
	require.Equal(t, quarantine.Alive, judge(quarantine.LostClosed, quarantine.ProbeAccepted, false))
	require.Equal(t, quarantine.Alive, judge(quarantine.LostMalformed, quarantine.NotProbed, false))
	require.Equal(t, quarantine.Unknown, judge(quarantine.LostClosed, quarantine.ProbeUnanswered, false))
	require.Equal(t, quarantine.Unknown, judge(quarantine.LostSilent, quarantine.ProbeUnanswered, false))
	require.Equal(t, quarantine.Unknown, judge(quarantine.LostCanceled, quarantine.ProbeRefused, false))
}

// TestEndsOfConcurrentRequestsWithOneContentAreNotAddedUp has callers of the same content meet the loss of
// many workers at once.
func TestEndsOfConcurrentRequestsWithOneContentAreNotAddedUp(t *testing.T) {
	table := quarantine.NewTable(time.Now)
	key := requestkey.Of(1, requestkey.Content{Target: "/status"})
	before := table.Lookup(key)
	for range 10 {
		table.RecordEnds(before, 1)
	}
	require.Equal(t, 1, table.Lookup(key).Total())
	_, cleared := table.Clear(key)
	require.True(t, cleared)
	require.Zero(t, table.Lookup(key).Total())
	table.RecordEnds(before, 1)
	require.Zero(t, table.Lookup(key).Total(), "an end from before the count started again")
}

func TestTableIsBoundedAndKeepsQuarantinedRequests(t *testing.T) {
	const requests = 20000
	table := quarantine.NewTable(time.Now)
	lethal := requestkey.Of(1, requestkey.Content{Target: "lethal"})
	table.RecordEnds(table.Lookup(lethal), quarantine.MaxWorkerEnds)
	for i := range requests {
		table.RecordEnds(quarantine.Record{Key: requestkey.Of(uint64(i), requestkey.Content{})}, 1)
	}
	require.LessOrEqual(t, table.Len(), 16384)
	require.Equal(t, quarantine.MaxWorkerEnds, table.Lookup(lethal).Total())
}

func TestRecordsExpire(t *testing.T) {
	now := time.Now()
	table := quarantine.NewTable(func() time.Time { return now })
	key := requestkey.Of(1, requestkey.Content{})
	table.RecordEnds(table.Lookup(key), 1)
	records, _ := table.Since(quarantine.Cursor{})
	now = now.Add(5 * time.Minute)
	copied := quarantine.NewTable(func() time.Time { return now })
	aged, _ := table.Since(quarantine.Cursor{})
	copied.Merge(aged...)
	now = now.Add(6 * time.Minute)
	table.Expire()
	copied.Expire()
	require.Zero(t, table.Len())
	require.Zero(t, copied.Len(), "a copy is as old as the original")
	require.Len(t, records, 1)
}

// TestNoRequestEndsAFourthWorkerWhileUpdatesSpread plays one lethal request at gateways that spread their
// records before they answer, some of which are isolated for a while, and stop.
func TestNoRequestEndsAFourthWorkerWhileUpdatesSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 4
		key := requestkey.Of(1, requestkey.Content{})
		shared := quarantine.NewTable(time.Now)
		tables := make([]*quarantine.Table, gateways)
		for i := range tables {
			tables[i] = quarantine.NewTable(time.Now)
		}
		isolatedEnds := 0
		isolated := rapid.IntRange(-1, gateways-1).Draw(t, "isolated gateway")
		ended := 0
		for range rapid.IntRange(1, 12).Draw(t, "client attempts") {
			at := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				tables[at] = quarantine.NewTable(time.Now)
			case 1:
				isolated = -1
			}
			if at != isolated {
				all, _ := shared.Since(quarantine.Cursor{})
				tables[at].Merge(all...)
			}
			before := tables[at].Lookup(key)
			own := 0
			for quarantine.Decide(quarantine.Situation{Ends: tables[at].Lookup(key).Total(), Isolated: at == isolated}) == quarantine.Send {
				ended++
				own++
				if at == isolated {
					isolatedEnds++
					tables[at].RecordUnorderedEnd(before)
					continue
				}
				tables[at].RecordEnds(before, own)
			}
			if at != isolated {
				all, _ := tables[at].Since(quarantine.Cursor{})
				shared.Merge(all...)
			}
		}
		if ended > quarantine.MaxWorkerEnds+isolatedEnds {
			t.Fatalf("%d workers ended, %d of them by an isolated gateway", ended, isolatedEnds)
		}
	})
}

func BenchmarkLookupInFullTable(b *testing.B) {
	table := quarantine.NewTable(time.Now)
	for i := range 16384 {
		table.RecordEnds(quarantine.Record{Key: requestkey.Of(uint64(i), requestkey.Content{})}, 1)
	}
	key := requestkey.Of(7, requestkey.Content{})
	for b.Loop() {
		table.Lookup(key)
	}
}
