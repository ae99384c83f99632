package limit

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	limitv1 "github.com/barleyshelf/barleyshelf/internal/gen/limitv1"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// wireScale is the number of wire units in one request per second.
const wireScale = 1000

// ToProto returns the wire form of the message.
func (m Message) ToProto() *limitv1.Message {
	wire := &limitv1.Message{Node: string(m.From.Node), Incarnation: uint64(m.From.Incarnation)}
	for _, report := range m.Reports {
		wire.Reports = append(wire.Reports, &limitv1.Report{
			Tenant: string(report.Tenant),
			Number: report.Number,
			Taken:  report.LastGrant,
			Demand: wireRate(report.Demand, math.Round),
			// Rounds up: an owner must never underestimate a held share.
			Held: wireRate(report.HeldRate, math.Ceil),
		})
	}
	for _, grant := range m.Grants {
		wire.Grants = append(wire.Grants, &limitv1.Grant{
			Tenant:      string(grant.Tenant),
			Incarnation: uint64(grant.Incarnation),
			Report:      grant.ReportNumber,
			Number:      grant.Number,
			// Rounds down: a holder must never use more than was granted.
			Rate: wireRate(grant.Rate, math.Floor),
		})
	}
	return wire
}

// MessageFromProto returns the message of its wire form.
func MessageFromProto(wire *limitv1.Message) Message {
	message := Message{
		From: Holder{Node: structs.NodeID(wire.GetNode()), Incarnation: structs.Incarnation(wire.GetIncarnation())},
	}
	for _, report := range wire.GetReports() {
		message.Reports = append(message.Reports, Report{
			Tenant:    structs.TenantID(report.GetTenant()),
			Number:    report.GetNumber(),
			LastGrant: report.GetTaken(),
			Demand:    Rate(report.GetDemand()) / wireScale,
			HeldRate:  Rate(report.GetHeld()) / wireScale,
		})
	}
	for _, grant := range wire.GetGrants() {
		message.Grants = append(message.Grants, Grant{
			Tenant:       structs.TenantID(grant.GetTenant()),
			Incarnation:  structs.Incarnation(grant.GetIncarnation()),
			ReportNumber: grant.GetReport(),
			Number:       grant.GetNumber(),
			Rate:         Rate(grant.GetRate()) / wireScale,
		})
	}
	return message
}

// MarshalBinary encodes the message for transmission to another daemon.
func (m Message) MarshalBinary() ([]byte, error) {
	return proto.Marshal(m.ToProto())
}

// UnmarshalBinary decodes a message. The error is a *failure.Malformed.
func (m *Message) UnmarshalBinary(data []byte) error {
	wire := &limitv1.Message{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return &failure.Malformed{Field: "limit message", Reason: err.Error()}
	}
	*m = MessageFromProto(wire)
	return nil
}

func wireRate(rate Rate, round func(float64) float64) uint64 {
	return uint64(max(round(float64(rate)*wireScale), 0))
}
