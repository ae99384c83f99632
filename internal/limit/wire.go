package limit

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	limitv1 "github.com/barleyshelf/barleyshelf/internal/gen/limitv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// wireScale is the number of a rate's units on the wire in one request a second.
const wireScale = 1000

// MarshalBinary encodes the message for another daemon.
func (m Message) MarshalBinary() ([]byte, error) {
	wire := &limitv1.Message{Node: string(m.From.Node), Incarnation: uint64(m.From.Incarnation)}
	for _, report := range m.Reports {
		wire.Reports = append(wire.Reports, &limitv1.Report{
			Tenant: string(report.Tenant),
			Number: report.Number,
			Taken:  report.Taken,
			Demand: wireRate(report.Demand, math.Round),
			// A home must never think less held than is.
			Held: wireRate(report.Held, math.Ceil),
		})
	}
	for _, grant := range m.Grants {
		wire.Grants = append(wire.Grants, &limitv1.Grant{
			Tenant:      string(grant.Tenant),
			Incarnation: uint64(grant.To),
			Report:      grant.Report,
			Number:      grant.Number,
			// A holder must never use more than was granted.
			Rate: wireRate(grant.Rate, math.Floor),
		})
	}
	return proto.Marshal(wire)
}

// UnmarshalBinary decodes a message. The error is a *failure.Malformed.
func (m *Message) UnmarshalBinary(data []byte) error {
	wire := &limitv1.Message{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return &failure.Malformed{Field: "limit message", Reason: err.Error()}
	}
	*m = Message{From: Holder{Node: structs.NodeID(wire.Node), Incarnation: structs.Incarnation(wire.Incarnation)}}
	for _, report := range wire.Reports {
		m.Reports = append(m.Reports, Report{
			Tenant: structs.TenantID(report.Tenant),
			Number: report.Number,
			Taken:  report.Taken,
			Demand: Rate(report.Demand) / wireScale,
			Held:   Rate(report.Held) / wireScale,
		})
	}
	for _, grant := range wire.Grants {
		m.Grants = append(m.Grants, Grant{
			Tenant: structs.TenantID(grant.Tenant),
			To:     structs.Incarnation(grant.Incarnation),
			Report: grant.Report,
			Number: grant.Number,
			Rate:   Rate(grant.Rate) / wireScale,
		})
	}
	return nil
}

func wireRate(rate Rate, round func(float64) float64) uint64 {
	return uint64(max(round(float64(rate)*wireScale), 0))
}
