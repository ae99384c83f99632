package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/loan"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/turn"
)

// The breakages that concern loans.
const (
	openAnyLife     breakage = "a holder opens a loan that names another life of its folder"
	unsyncedDraw    breakage = "a draw is answered before it is on the disk"
	settleOpenLoan  breakage = "a loan is settled at what was drawn before it is closed"
	forgetClosing   breakage = "a holder forgets at its restart which loans were closed"
	loanAsNothing   breakage = "a loan counts as nothing until it is settled"
	earlyClosing    breakage = "a loan is closed right after it was opened"
	dropDraws       breakage = "a loan is settled without the draws that are under way"
	closeUnknown    breakage = "a folder that may have forgotten a loan closes it as unused"
	settleUntold    breakage = "a draw is settled at the majority without a word of the holder"
	loanBeforeGrant breakage = "a loan is opened before it is granted"
	refusedAgain    breakage = "a loan that was opened is settled at nothing because it is not opened again"
)

const (
	// faultsInLoans is the part of the steps, one in so many, that concern no loan.
	faultsInLoans = 10
	// loanSteps is the length of a schedule.
	loanSteps = 3 * proofSteps
	// stepTime is what a step lasts for the holders' clocks.
	stepTime = quorum.SettleDelay / proofSettle
	// loanRivals is how many reservations one program makes.
	loanRivals = 4
	// loansPlayed is how many of the last loans are called for.
	loansPlayed = 3
)

// proofLending is what a schedule knows of loans.
type proofLending struct {
	random *rand.Rand
	loans  []*proofLoan
	draws  []*proofDraw
	// used is what programs have used for good.
	used map[string]int64
}

// proofLoan is a loan that a gateway has written.
type proofLoan struct {
	reservation *replicav1.Reservation
	granted     bool
	returned    bool
	// opened is set once the holder was told of the loan, refused where it did not open it
	// then: it is not told again, and the loan is settled at nothing.
	opened, refused bool
}

// proofDraw is a draw that a holder granted.
type proofDraw struct {
	id, program, holder string
	most                int64
	settled             bool
}

// now is the time of the schedule.
func (f *proofFleet) now() time.Time {
	return time.Unix(5000, 0).Add(time.Duration(f.steps) * stepTime)
}

func (w *proofWrite) records() []*replicav1.Record {
	records := append([]*replicav1.Record{}, w.before...)
	records = append(records, w.record)
	if w.loan != nil {
		records = append(records, w.loan)
	}
	return records
}

// loanStep does one thing that concerns loans.
func (p *proof) loanStep() {
	switch chance := p.lending.random.IntN(100); {
	case chance < 3:
		p.lend()
	case chance < 16:
		p.openLoan()
	case chance < 36:
		p.drawLoan()
	case chance < 44:
		p.settleDraw()
	case chance < 48:
		p.closeLoan()
	case chance < 52:
		p.settle()
	case chance < 55:
		p.disturbHolder()
	default:
		p.deliverUnfinished()
	}
}

// deliverUnfinished brings a write to one member, mostly one of the writes that are not done.
func (p *proof) deliverUnfinished() {
	var unfinished []*proofWrite
	for _, write := range p.writes {
		if !write.done {
			unfinished = append(unfinished, write)
		}
	}
	if len(unfinished) == 0 || p.lending.random.IntN(6) == 0 {
		p.deliver()
		return
	}
	recent := unfinished[max(0, len(unfinished)-loansPlayed):]
	write := recent[p.lending.random.IntN(len(recent))]
	p.deliverTo(write, p.anyMember(write.group))
}

// lend begins a turn and, mostly, a loan with it.
func (p *proof) lend() {
	p.serial++
	program := fmt.Sprintf("b%d", p.serial/loanRivals)
	p.begin(&replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{
		Id: fmt.Sprintf("r%d", p.serial), Program: program, Most: proofMost,
	}}})
	node := p.anyMember(p.group)
	identity := node.state().currentIdentity(p.group.Partition)
	if identity == nil || p.lending.random.IntN(4) == 0 {
		return
	}
	lent := &replicav1.Reservation{
		Id: fmt.Sprintf("l%d", p.serial), Program: program, Most: int64(20 + p.lending.random.IntN(50)),
		Holder: &replicav1.LoanHolder{Node: node.name, Incarnation: identity.Incarnation},
	}
	p.writes[len(p.writes)-1].loan = &replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: lent}}
	p.lending.loans = append(p.lending.loans, &proofLoan{reservation: lent, granted: p.broken == loanBeforeGrant})
}

// grantBesideLoans ends a reservation, and the loan that goes with it, whose sum is known.
func (p *proof) grantBesideLoans(write *proofWrite, ledger turn.Ledger) {
	fits := ledger.Fits
	if p.broken == loanAsNothing {
		fits = ledger.FitsWithoutLoans
	}
	reservation, lent := write.record.GetReservation(), write.loan.GetReservation()
	if ledger.Settled() > p.lending.used[reservation.Program] {
		p.violation = "program " + reservation.Program + " was told to have used what it has not"
	}
	without := make(turn.Ledger, len(ledger))
	for id, entry := range ledger {
		if id != lent.GetId() {
			without[id] = entry
		}
	}
	fitsAlone := without.Fits
	if p.broken == loanAsNothing {
		fitsAlone = without.FitsWithoutLoans
	}
	if !fitsAlone(reservation.Id, reservation.Most, proofBudget) {
		return
	}
	p.unsettled = append(p.unsettled, proofGrant{reservation: reservation, at: p.steps})
	p.handOut(reservation.Program, reservation.Most)
	if lent == nil || !fits(lent.Id, lent.Most, proofBudget) {
		return
	}
	for _, each := range p.lending.loans {
		each.granted = each.granted || each.reservation == lent
	}
}

func (p *proof) handOut(program string, tokens int64) {
	p.granted[program] += tokens
	if p.granted[program] > proofBudget {
		p.violation = "program " + program + " was handed more than its budget"
	}
}

// callLoan calls a node's service; a node that is gone gives no answer.
func (p *proof) callLoan(name string, request *replicav1.LoanRequest) *replicav1.LoanResponse {
	node := p.nodes[name]
	if node.gone {
		return nil
	}
	request.Partition = p.group.Partition
	if p.broken == unsyncedDraw && request.GetDraw() != nil {
		node.disk.SkipSync = true
		defer func() { node.disk.SkipSync = false }()
	}
	response, err := node.service.Loan(context.Background(), connect.NewRequest(request))
	p.must(err)
	return response.Msg
}

// anyLoan returns one of the last loans, so that schedules are about those that meet.
func (p *proof) anyLoan() *proofLoan {
	loans := p.lending.loans
	if len(loans) == 0 {
		return nil
	}
	recent := loans[max(0, len(loans)-loansPlayed):]
	return recent[p.lending.random.IntN(len(recent))]
}

// openLoan brings the word that a loan is granted to its holder, perhaps late or again.
func (p *proof) openLoan() {
	each := p.anyLoan()
	if each == nil || !each.granted || each.refused {
		return
	}
	lent := each.reservation
	incarnation := lent.Holder.Incarnation
	if p.broken == openAnyLife {
		incarnation = p.nodes[lent.Holder.Node].state().currentIdentity(p.group.Partition).GetIncarnation()
	}
	response := p.callLoan(lent.Holder.Node, &replicav1.LoanRequest{Program: lent.Program, Call: &replicav1.LoanRequest_Open{
		Open: &replicav1.LoanOpening{Loan: lent.Id, Amount: lent.Most, Incarnation: incarnation},
	}})
	first := !each.opened
	each.opened = true
	notOpened := response != nil && response.Outcome != replicav1.LoanOutcome_LOAN_OUTCOME_DONE
	if notOpened && (first || p.broken == refusedAgain) {
		each.refused = first
		p.begin(&replicav1.Record{Kind: &replicav1.Record_Settlement{Settlement: &replicav1.Settlement{Id: lent.Id, Program: lent.Program}}})
	}
}

// disturbHolder restarts a node that holds a loan, or takes its power, or takes any disk.
func (p *proof) disturbHolder() {
	each := p.anyLoan()
	if each == nil || p.nodes[each.reservation.Holder.Node].gone {
		return
	}
	if p.lending.random.IntN(4) == 0 {
		p.wipe()
		return
	}
	p.restart(p.nodes[each.reservation.Holder.Node], p.lending.random.IntN(2) == 0)
}

// drawLoan begins a turn on a loan at one of the nodes that may hold one, or asks for an
// earlier turn once more.
func (p *proof) drawLoan() {
	each := p.anyLoan()
	if each == nil {
		return
	}
	program, holder := each.reservation.Program, each.reservation.Holder.Node
	if len(p.lending.draws) > 0 && p.lending.random.IntN(10) == 0 {
		again := p.lending.draws[p.lending.random.IntN(len(p.lending.draws))]
		p.callLoan(again.holder, &replicav1.LoanRequest{Program: again.program, Call: &replicav1.LoanRequest_Draw{
			Draw: &replicav1.LoanDraw{Id: again.id, Most: again.most},
		}})
		return
	}
	draw := &proofDraw{
		id: fmt.Sprintf("d%d", p.steps), program: program, holder: holder, most: int64(1 + p.lending.random.IntN(proofMost)),
	}
	response := p.callLoan(holder, &replicav1.LoanRequest{Program: program, Call: &replicav1.LoanRequest_Draw{
		Draw: &replicav1.LoanDraw{Id: draw.id, Most: draw.most},
	}})
	if response.GetOutcome() != replicav1.LoanOutcome_LOAN_OUTCOME_DONE {
		return
	}
	p.lending.draws = append(p.lending.draws, draw)
	p.handOut(program, draw.most)
	if p.lending.random.IntN(10) == 0 {
		p.restart(p.nodes[holder], true)
	}
}

// settleDraw ends a turn on a loan. What its holder does not take goes to the majority.
func (p *proof) settleDraw() {
	if len(p.lending.draws) == 0 {
		return
	}
	draw := p.lending.draws[p.lending.random.IntN(len(p.lending.draws))]
	if draw.settled {
		return
	}
	draw.settled = true
	used := draw.most - int64(p.lending.random.IntN(int(draw.most)))
	p.granted[draw.program] -= draw.most - used
	p.lending.used[draw.program] += used
	settlement := &replicav1.Settlement{Id: draw.id, Program: draw.program, Used: used}
	for range 1 + p.lending.random.IntN(2) {
		response := p.callLoan(draw.holder, &replicav1.LoanRequest{
			Program: draw.program, Settlements: []*replicav1.Settlement{proto.CloneOf(settlement)},
		})
		if response != nil && len(response.NotTaken) > 0 || p.broken == settleUntold {
			p.begin(&replicav1.Record{Kind: &replicav1.Record_Settlement{Settlement: settlement}})
		}
	}
}

// closeLoan takes a loan back.
func (p *proof) closeLoan() {
	each := p.anyLoan()
	if each == nil || !each.granted && p.lending.random.IntN(8) > 0 {
		return
	}
	lent := each.reservation
	closed := p.closed(lent)
	if closed == nil {
		return
	}
	each.returned = true
	returned := loan.ReturnRecords(closed, 0)
	p.begin(returned[len(returned)-1])
	if p.broken != dropDraws {
		p.writes[len(p.writes)-1].before = returned[:len(returned)-1]
	}
}

// closed returns a loan's account once it is closed, with the breakages that concern that.
func (p *proof) closed(lent *replicav1.Reservation) *replicav1.Account {
	closing := &replicav1.LoanClosing{Loan: lent.Id, Incarnation: lent.Holder.Incarnation}
	book := p.nodes[lent.Holder.Node].state().partition(p.group.Partition).book
	switch p.broken {
	case settleOpenLoan:
		for _, account := range book.Accounts() {
			if account.Loan == lent.Id {
				return account.Account
			}
		}
		return nil
	case earlyClosing:
		present := p.nodes[lent.Holder.Node].state().currentIdentity(p.group.Partition).GetIncarnation()
		ended := book.Close(p.now().Add(quorum.SettleDelay), lent.Program, closing, present)
		if ended.MustWrite {
			p.must(p.nodes[lent.Holder.Node].state().write(accountRecord(p.group.Partition, ended.Account, 0)))
		}
		return ended.Account
	case closeUnknown:
		closing.Incarnation = p.nodes[lent.Holder.Node].state().currentIdentity(p.group.Partition).GetIncarnation()
	}
	response := p.callLoan(lent.Holder.Node, &replicav1.LoanRequest{
		Program: lent.Program, Call: &replicav1.LoanRequest_Close{Close: closing},
	})
	if response.GetOutcome() != replicav1.LoanOutcome_LOAN_OUTCOME_DONE {
		return nil
	}
	return response.Closed
}

// forgetClosedLoans makes a state anew whose books lack the accounts that are closed.
func forgetClosedLoans(opened *state) {
	for _, partition := range opened.partitions {
		kept := loan.NewAccountSet(quorum.SettleDelay)
		for _, account := range partition.book.Accounts() {
			if !account.Closed {
				kept.Apply(opened.now(), account.Account, account.Retention)
			}
		}
		partition.book = kept
	}
}

// newLoanProof returns a fleet whose programs' budgets are lent in parts.
func newLoanProof(t require.TestingT, seed uint64, broken breakage) *proof {
	p := newProof(t, seed, broken)
	p.oneRound, p.timing = true, rand.New(rand.NewPCG(seed, 11))
	p.lending = &proofLending{random: rand.New(rand.NewPCG(seed, 17)), used: make(map[string]int64)}
	return p
}

// runLoanProof plays one schedule and returns the first broken promise.
func runLoanProof(t require.TestingT, seed uint64, broken breakage) string {
	p := newLoanProof(t, seed, broken)
	defer p.close()
	for range loanSteps {
		if p.step(); p.violation != "" {
			return p.violation
		}
	}
	return ""
}

func TestLoansDoNotOverdrawBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.Empty(t, runLoanProof(t, rapid.Uint64().Draw(t, "seed"), noBreakage))
	})
}

// TestSimulationDetectsEachLoanMutation plays schedules with one deliberate fault.
func TestSimulationDetectsEachLoanMutation(t *testing.T) {
	requireSeen(t, 600, runLoanProof,
		openAnyLife, settleOpenLoan, forgetClosing, loanAsNothing, dropDraws, closeUnknown, loanBeforeGrant,
		settleUntold, refusedAgain,
	)
}

// loansLeft lets rounds without a fault follow on a schedule, takes all loans back, and
// returns what still does not work.
func (p *proof) loansLeft() string {
	if stuck := p.stuckAfter(livenessRounds); stuck != "" {
		return stuck
	}
	p.steps += proofSettle
	for _, each := range p.lending.loans {
		if closed := p.closed(each.reservation); closed != nil {
			p.begin(&replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: "after " + closed.Loan}}})
			p.writes[len(p.writes)-1].before = loan.ReturnRecords(closed, 0)
			for _, member := range p.group.Members {
				p.deliverTo(p.writes[len(p.writes)-1], p.nodes[member.Node])
			}
		}
	}
	for _, each := range p.lending.loans {
		if lost := p.outstanding(each.reservation); lost != "" {
			return lost
		}
	}
	return ""
}

// outstanding returns why a loan that is not settled should be: its holder is there, in
// the life that the loan names.
func (p *proof) outstanding(lent *replicav1.Reservation) string {
	holder := p.nodes[lent.Holder.Node]
	if holder.gone || holder.state().currentIdentity(p.group.Partition).GetIncarnation() != lent.Holder.Incarnation {
		return ""
	}
	ledger := make(turn.Ledger)
	for _, member := range p.group.Members {
		ledger.Merge(p.nodes[member.Node].state().partition(p.group.Partition).store.Entries(lent.Program))
	}
	if entry := ledger[lent.Id]; entry != nil && !entry.Settled {
		return "loan " + lent.Id + " cannot be taken back"
	}
	return ""
}

// TestEveryLoanOfPresentHolderIsReturned searches for schedules after whose last fault
// a loan counts for ever although its holder could give it back.
func TestEveryLoanOfPresentHolderIsReturned(t *testing.T) {
	for seed := range uint64(300) {
		p := newLoanProof(t, seed, noBreakage)
		p.announce(seed)
		for range loanSteps {
			p.step()
		}
		require.Empty(t, p.violation, "seed %d", seed)
		require.Empty(t, p.loansLeft(), "seed %d", seed)
		p.close()
	}
}

// TestLoanSchedulesExerciseLoans keeps the search from becoming empty.
func TestLoanSchedulesExerciseLoans(t *testing.T) {
	granted, returned, draws, settled := 0, 0, 0, 0
	for seed := range uint64(20) {
		p := newLoanProof(t, seed, noBreakage)
		for range loanSteps {
			p.step()
		}
		for _, each := range p.lending.loans {
			if each.granted {
				granted++
			}
			if each.granted && each.returned {
				returned++
			}
		}
		draws += len(p.lending.draws)
		for _, draw := range p.lending.draws {
			if draw.settled {
				settled++
			}
		}
		p.close()
	}
	t.Logf("in 20 schedules %d loans granted, %d of them closed, %d draws, %d settled", granted, returned, draws, settled)
	require.Greater(t, granted, 50)
	require.Greater(t, returned, 20)
	require.Greater(t, draws, 50)
	require.Greater(t, settled, 20)
}
