package limit

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

func TestMessageRoundTrip(t *testing.T) {
	rate := rapid.Map(rapid.Uint32(), func(milli uint32) Rate { return Rate(milli) / wireScale })
	name := rapid.StringMatching("[a-z0-9-]{1,12}")
	rapid.Check(t, func(t *rapid.T) {
		sent := Message{From: Holder{Node: structs.NodeID(name.Draw(t, "node")), Incarnation: 3}}
		for range rapid.IntRange(0, 3).Draw(t, "reports") {
			sent.Reports = append(sent.Reports, Report{
				Tenant: structs.TenantID(name.Draw(t, "tenant")), Number: rapid.Uint32().Draw(t, "number"),
				LastGrant: rapid.Uint32().Draw(t, "taken"), Demand: rate.Draw(t, "demand"), HeldRate: rate.Draw(t, "held"),
			})
		}
		for range rapid.IntRange(0, 3).Draw(t, "grants") {
			sent.Grants = append(sent.Grants, Grant{
				Tenant: structs.TenantID(name.Draw(t, "tenant")), Incarnation: 2, ReportNumber: rapid.Uint32().Draw(t, "report"),
				Number: rapid.Uint32().Draw(t, "number"), Rate: rate.Draw(t, "rate"),
			})
		}
		data, err := sent.MarshalBinary()
		require.NoError(t, err)
		got := Message{}
		require.NoError(t, got.UnmarshalBinary(data))
		require.Equal(t, sent.From, got.From)
		require.Len(t, got.Reports, len(sent.Reports))
		for i, report := range sent.Reports {
			// Rounding never makes a held share smaller than it is.
			require.GreaterOrEqual(t, float64(got.Reports[i].HeldRate), float64(report.HeldRate)-1e-9)
			require.InDelta(t, float64(report.HeldRate), float64(got.Reports[i].HeldRate), 0.001)
			require.InDelta(t, float64(report.Demand), float64(got.Reports[i].Demand), 0.001)
			require.Equal(t, report.Number, got.Reports[i].Number)
		}
		for i, grant := range sent.Grants {
			require.LessOrEqual(t, float64(got.Grants[i].Rate), float64(grant.Rate))
			require.InDelta(t, float64(grant.Rate), float64(got.Grants[i].Rate), 0.0011)
			require.Equal(t, grant.Number, got.Grants[i].Number)
		}
	})
}

func FuzzMessage(f *testing.F) {
	good, _ := Message{From: Holder{Node: "a"}, Reports: []Report{{Tenant: tenantA, Demand: 5}}}.MarshalBinary()
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		message := Message{}
		if message.UnmarshalBinary(data) != nil {
			return
		}
		fleet := newFleet(2, 10)
		for _, daemon := range fleet.daemons {
			daemon.Receive(fleet.now, message)
			require.LessOrEqual(t, float64(daemon.Rate(fleet.now, tenantA)), 10.0)
		}
	})
}
