package replica

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

func (p *proof) beginWrite() {
	p.serial++
	record := &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: fmt.Sprintf("t%d", p.serial)}}}
	if p.random.IntN(2) == 0 {
		program := fmt.Sprintf("p%d", p.random.IntN(4))
		record.Kind = &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{
			Id: fmt.Sprintf("r%d", p.serial), Program: program, Most: proofMost,
		}}
	}
	p.begin(record)
}

func (p *proof) begin(record *replicav1.Record) {
	p.writes = append(p.writes, &proofWrite{record: record, group: p.group, delivered: map[string]bool{}, began: p.steps})
}

// budgetStep does one thing that concerns budgets.
func (p *proof) budgetStep() {
	switch chance := p.timing.IntN(100); {
	case chance < 12:
		p.serial++
		p.begin(&replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{
			Id: fmt.Sprintf("r%d", p.serial), Program: fmt.Sprintf("b%d", p.serial/proofRivals), Most: proofMost,
		}}})
	case chance < 37:
		p.settle()
	default:
		p.deliver()
	}
}

// settle ends a granted turn that used some of its tokens, not sooner than
// proofSettle after its grant.
func (p *proof) settle() {
	if len(p.unsettled) == 0 {
		return
	}
	i := p.timing.IntN(len(p.unsettled))
	grant := p.unsettled[i]
	if p.steps-grant.at < proofSettle && p.broken != earlySettlement {
		return
	}
	p.unsettled = append(p.unsettled[:i], p.unsettled[i+1:]...)
	used := int64(proofMost - p.timing.IntN(proofMost/3))
	p.granted[grant.reservation.Program] -= grant.reservation.Most - used
	if p.lending != nil {
		p.lending.used[grant.reservation.Program] += used
	}
	p.begin(&replicav1.Record{Kind: &replicav1.Record_Settlement{Settlement: &replicav1.Settlement{
		Id: grant.reservation.Id, Program: grant.reservation.Program, Used: used,
	}}})
}

// deliver brings one write to one member.
func (p *proof) deliver() {
	if len(p.writes) == 0 {
		return
	}
	write := p.anyWrite()
	p.deliverTo(write, p.anyMember(write.group))
}

func (p *proof) deliverTo(write *proofWrite, node *proofNode) {
	if node.gone {
		return
	}
	if write.written && !write.done {
		p.sum(write, node)
		return
	}
	if write.delivered[node.name] {
		return
	}
	write.delivered[node.name] = true
	request := &replicav1.AppendRequest{Epoch: write.group.Epoch, Partition: write.group.Partition, Records: write.records()}
	if reservation := write.record.GetReservation(); reservation != nil {
		request.Programs = []string{reservation.Program}
	}
	if p.broken == dropReservation && write.record.GetReservation() != nil && p.random.IntN(2) == 0 {
		request.Records = nil
	}
	response, err := node.service.Append(context.Background(), connect.NewRequest(request))
	p.must(err)
	standing := p.standing(node, response.Msg.Standing)
	if write.done {
		return
	}
	write.standings = append(write.standings, standing)
	write.entries = append(write.entries, response.Msg.Entries)
	chosen := quorum.ChooseConsistent(p.epoch(write.group), write.standings, quorum.WriteQuorum(quorum.VoterCount(write.group)))
	if chosen == nil {
		return
	}
	if kept := write.record.GetTurn(); kept != nil {
		write.done = true
		p.acked = append(p.acked, kept.Id)
		return
	}
	if write.record.GetSettlement() != nil {
		write.done = true
		return
	}
	write.first = p.ledger(write, chosen)
	if p.broken == sumBeforeWrite || p.oneRound && p.countsInOneRound(write) {
		p.grant(write, write.first)
		return
	}
	write.written, write.asked, write.standings, write.entries = true, map[string]bool{}, nil, nil
}

// anyWrite returns a write. Where reservations count in one round it is one of the
// last, so that schedules are about those that meet.
func (p *proof) anyWrite() *proofWrite {
	if !p.oneRound {
		return p.writes[p.random.IntN(len(p.writes))]
	}
	recent := p.writes[max(0, len(p.writes)-4*proofRivals):]
	return recent[p.random.IntN(len(recent))]
}

// sum asks one member for the sum that a written reservation is part of.
func (p *proof) sum(write *proofWrite, node *proofNode) {
	if write.asked[node.name] {
		return
	}
	write.asked[node.name] = true
	program := write.record.GetReservation().Program
	request := &replicav1.AppendRequest{Epoch: write.group.Epoch, Partition: write.group.Partition, Programs: []string{program}}
	response, err := node.service.Append(context.Background(), connect.NewRequest(request))
	p.must(err)
	standing := p.standing(node, response.Msg.Standing)
	write.standings = append(write.standings, standing)
	write.entries = append(write.entries, response.Msg.Entries)
	if chosen := quorum.ChooseConsistent(p.epoch(write.group), write.standings, quorum.WriteQuorum(quorum.VoterCount(write.group))); chosen != nil {
		ledger := p.ledger(write, chosen)
		ledger.MergeLedger(write.first)
		p.grant(write, ledger)
	}
}

// countsInOneRound applies the breakages that concern reservations in one round.
func (p *proof) countsInOneRound(write *proofWrite) bool {
	took := p.steps - write.began
	switch p.broken {
	case longRound:
		took = 0
	case unsettledRound:
		return took <= proofRound
	}
	own := []string{write.record.GetReservation().Id}
	if write.loan != nil {
		own = append(own, write.loan.GetReservation().Id)
	}
	return quorum.OneRoundSuffices(write.first, took, proofRound, own...)
}

// ledger puts together what the chosen answers tell.
func (p *proof) ledger(write *proofWrite, chosen []int) turn.Ledger {
	ledger := make(turn.Ledger)
	for _, i := range chosen {
		ledger.Merge(write.entries[i])
	}
	return ledger
}

// standing applies the breakages that concern what a replica says of itself.
func (p *proof) standing(node *proofNode, standing *replicav1.Standing) *replicav1.Standing {
	if p.broken == anyPartition {
		for _, other := range p.partitions {
			standing.Recovered = standing.Recovered || node.state().currentIdentity(other.group.Partition).GetRecovered()
		}
	}
	if p.broken == ignoreSeen {
		standing.Seen = nil
	}
	if p.broken == skipFence && standing.Member {
		standing.Epoch = 0
	}
	return standing
}

func (p *proof) epoch(group *replicav1.Group) uint64 {
	if p.broken == skipFence {
		return 0
	}
	return group.Epoch
}

// grant ends a reservation whose sum is known.
func (p *proof) grant(write *proofWrite, ledger turn.Ledger) {
	write.done = true
	reservation := write.record.GetReservation()
	if p.lending != nil {
		p.grantBesideLoans(write, ledger)
		return
	}
	if !ledger.Fits(reservation.Id, reservation.Most, proofBudget) {
		return
	}
	p.granted[reservation.Program] += reservation.Most
	if p.oneRound {
		p.unsettled = append(p.unsettled, proofGrant{reservation: reservation, at: p.steps})
	}
	if p.granted[reservation.Program] > proofBudget {
		p.violation = "program " + reservation.Program + " was granted more than its budget"
	}
}

func (p *proof) beginRead() {
	if len(p.acked) == 0 {
		return
	}
	p.reads = append(p.reads, &proofRead{
		id: p.acked[p.random.IntN(len(p.acked))], group: p.group, asked: map[string]bool{}, acknowledged: true,
	})
}

// ask brings one read to one member.
func (p *proof) ask() {
	if len(p.reads) == 0 {
		return
	}
	read := p.reads[p.random.IntN(len(p.reads))]
	node := p.anyMember(read.group)
	if read.done || read.asked[node.name] || node.gone {
		return
	}
	read.asked[node.name] = true
	request := &replicav1.ReadChainRequest{Epoch: read.group.Epoch, Partition: read.group.Partition, Id: read.id}
	response, err := node.service.ReadChain(context.Background(), connect.NewRequest(request))
	p.must(err)
	if len(response.Msg.Turns) > 0 {
		read.found, read.done = true, true
		return
	}
	read.standings = append(read.standings, p.standing(node, response.Msg.Standing))
	size := quorum.ReadQuorum(quorum.VoterCount(read.group))
	if p.broken == readMinority {
		size--
	}
	if quorum.ChooseConsistent(p.epoch(read.group), read.standings, size) != nil {
		read.done = true
		p.violation = "acknowledged turn " + read.id + " was told as unknown"
	}
}
