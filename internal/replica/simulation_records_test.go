package replica

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

func (p *simPartition) startRandomWrite() {
	p.lastID++
	record := &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: fmt.Sprintf("t%d", p.lastID)}}}
	if p.random.IntN(2) == 0 {
		program := fmt.Sprintf("p%d", p.random.IntN(4))
		record.Kind = &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{
			Id: fmt.Sprintf("r%d", p.lastID), Program: program, Most: simMaxTokens,
		}}
	}
	p.startWrite(record)
}

func (p *simPartition) startWrite(record *replicav1.Record) {
	p.writes = append(p.writes, &simWrite{record: record, group: p.group, delivered: map[string]bool{}, startStep: p.steps})
}

// budgetStep performs one random step that concerns budgets.
func (p *simPartition) budgetStep() {
	switch chance := p.budgetRandom.IntN(100); {
	case chance < 12:
		p.lastID++
		p.startWrite(&replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{
			Id: fmt.Sprintf("r%d", p.lastID), Program: fmt.Sprintf("b%d", p.lastID/competingReservations), Most: simMaxTokens,
		}}})
	case chance < 37:
		p.settle()
	default:
		p.deliver()
	}
}

// settle ends a granted turn that used some of its tokens, at the earliest simSettleDelay after its
// grant.
func (p *simPartition) settle() {
	if len(p.unsettled) == 0 {
		return
	}
	i := p.budgetRandom.IntN(len(p.unsettled))
	grant := p.unsettled[i]
	if p.steps-grant.step < simSettleDelay && p.mutation != earlySettlement {
		return
	}
	p.unsettled = append(p.unsettled[:i], p.unsettled[i+1:]...)
	used := int64(simMaxTokens - p.budgetRandom.IntN(simMaxTokens/3))
	p.granted[grant.reservation.Program] -= grant.reservation.Most - used
	if p.loanState != nil {
		p.loanState.used[grant.reservation.Program] += used
	}
	p.startWrite(&replicav1.Record{Kind: &replicav1.Record_Settlement{Settlement: &replicav1.Settlement{
		Id: grant.reservation.Id, Program: grant.reservation.Program, Used: used,
	}}})
}

// deliver delivers one write to one member.
func (p *simPartition) deliver() {
	if len(p.writes) == 0 {
		return
	}
	write := p.randomWrite()
	p.deliverTo(write, p.randomMember(write.group))
}

func (p *simPartition) deliverTo(write *simWrite, node *simNode) {
	if node.down {
		return
	}
	if write.written && !write.done {
		p.readSum(write, node)
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
	if p.mutation == dropReservation && write.record.GetReservation() != nil && p.random.IntN(2) == 0 {
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
	if stored := write.record.GetTurn(); stored != nil {
		write.done = true
		p.acknowledged = append(p.acknowledged, stored.Id)
		return
	}
	if write.record.GetSettlement() != nil {
		write.done = true
		return
	}
	write.firstLedger = p.ledger(write, chosen)
	if p.mutation == sumBeforeWrite || p.allowOneRound && p.countsInOneRound(write) {
		p.grant(write, write.firstLedger)
		return
	}
	write.written, write.queried, write.standings, write.entries = true, map[string]bool{}, nil, nil
}

// randomWrite returns a write. If reservations may count in one round, it is a recent one, so that
// concurrent reservations meet.
func (p *simPartition) randomWrite() *simWrite {
	if !p.allowOneRound {
		return p.writes[p.random.IntN(len(p.writes))]
	}
	recent := p.writes[max(0, len(p.writes)-4*competingReservations):]
	return recent[p.random.IntN(len(recent))]
}

// readSum reads the sum that includes a written reservation from one member.
func (p *simPartition) readSum(write *simWrite, node *simNode) {
	if write.queried[node.name] {
		return
	}
	write.queried[node.name] = true
	program := write.record.GetReservation().Program
	request := &replicav1.AppendRequest{Epoch: write.group.Epoch, Partition: write.group.Partition, Programs: []string{program}}
	response, err := node.service.Append(context.Background(), connect.NewRequest(request))
	p.must(err)
	standing := p.standing(node, response.Msg.Standing)
	write.standings = append(write.standings, standing)
	write.entries = append(write.entries, response.Msg.Entries)
	if chosen := quorum.ChooseConsistent(p.epoch(write.group), write.standings, quorum.WriteQuorum(quorum.VoterCount(write.group))); chosen != nil {
		ledger := p.ledger(write, chosen)
		ledger.MergeLedger(write.firstLedger)
		p.grant(write, ledger)
	}
}

// countsInOneRound reports whether a reservation counts after one round. It applies the mutations
// that concern this.
func (p *simPartition) countsInOneRound(write *simWrite) bool {
	elapsed := p.steps - write.startStep
	switch p.mutation {
	case oneRoundIgnoresDuration:
		elapsed = 0
	case oneRoundIgnoresPending:
		return elapsed <= simRoundLimit
	}
	own := []string{write.record.GetReservation().Id}
	if write.loan != nil {
		own = append(own, write.loan.GetReservation().Id)
	}
	return quorum.OneRoundSuffices(write.firstLedger, elapsed, simRoundLimit, own...)
}

// ledger merges the entries of the chosen answers.
func (p *simPartition) ledger(write *simWrite, chosen []int) turn.Ledger {
	ledger := make(turn.Ledger)
	for _, i := range chosen {
		ledger.Merge(write.entries[i])
	}
	return ledger
}

// standing applies the mutations that concern the standing that a replica reports.
func (p *simPartition) standing(node *simNode, standing *replicav1.Standing) *replicav1.Standing {
	if p.mutation == recoveredInAnyPartition {
		for _, other := range p.partitions {
			standing.Recovered = standing.Recovered || node.state().currentIdentity(other.group.Partition).GetRecovered()
		}
	}
	if p.mutation == ignoreSeenIncarnations {
		standing.Seen = nil
	}
	if p.mutation == ignoreEpoch && standing.Member {
		standing.Epoch = 0
	}
	return standing
}

func (p *simPartition) epoch(group *replicav1.Group) uint64 {
	if p.mutation == ignoreEpoch {
		return 0
	}
	return group.Epoch
}

// grant completes a reservation whose sum is known.
func (p *simPartition) grant(write *simWrite, ledger turn.Ledger) {
	write.done = true
	reservation := write.record.GetReservation()
	if p.loanState != nil {
		p.grantWithLoan(write, ledger)
		return
	}
	if !ledger.Fits(reservation.Id, reservation.Most, simBudget) {
		return
	}
	p.granted[reservation.Program] += reservation.Most
	if p.allowOneRound {
		p.unsettled = append(p.unsettled, simGrant{reservation: reservation, step: p.steps})
	}
	if p.granted[reservation.Program] > simBudget {
		p.violation = "program " + reservation.Program + " was granted more than its budget"
	}
}

func (p *simPartition) startRandomRead() {
	if len(p.acknowledged) == 0 {
		return
	}
	p.reads = append(p.reads, &simRead{
		id: p.acknowledged[p.random.IntN(len(p.acknowledged))], group: p.group, queried: map[string]bool{}, acknowledged: true,
	})
}

// deliverRead delivers one read to one member.
func (p *simPartition) deliverRead() {
	if len(p.reads) == 0 {
		return
	}
	read := p.reads[p.random.IntN(len(p.reads))]
	node := p.randomMember(read.group)
	if read.done || read.queried[node.name] || node.down {
		return
	}
	read.queried[node.name] = true
	request := &replicav1.ReadChainRequest{Epoch: read.group.Epoch, Partition: read.group.Partition, Id: read.id}
	response, err := node.service.ReadChain(context.Background(), connect.NewRequest(request))
	p.must(err)
	if len(response.Msg.Turns) > 0 {
		read.found, read.done = true, true
		return
	}
	read.standings = append(read.standings, p.standing(node, response.Msg.Standing))
	size := quorum.ReadQuorum(quorum.VoterCount(read.group))
	if p.mutation == readTooFew {
		size--
	}
	if quorum.ChooseConsistent(p.epoch(read.group), read.standings, size) != nil {
		read.done = true
		p.violation = "acknowledged turn " + read.id + " was reported as unknown"
	}
}
