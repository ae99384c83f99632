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

// The mutations that concern loans.
const (
	openForAnyIncarnation      mutation = "a holder opens a loan that names another incarnation"
	unsyncedDraw               mutation = "a draw is answered before it is on the disk"
	settleOpenLoan             mutation = "a loan is settled at the drawn amount before it is closed"
	forgetClosedLoansOnRestart mutation = "a holder forgets closed loans on restart"
	ignoreOpenLoans            mutation = "a loan counts as zero until it is settled"
	closeTooEarly              mutation = "a loan is closed immediately after it was opened"
	settleWithoutDraws         mutation = "a loan is settled without the unsettled draws"
	closeUnknownAsUnused       mutation = "an unknown loan is closed as unused by a holder that may have forgotten it"
	settleWithoutHolder        mutation = "a draw is settled at the majority without an answer of the holder"
	loanBeforeGrant            mutation = "a loan is opened before it is granted"
	settleLoanRefusedAgain     mutation = "an open loan is settled at zero because a repeated opening is refused"
)

const (
	// One in faultPeriod steps does not concern loans.
	faultPeriod = 10
	// loanSteps is the number of steps of a schedule.
	loanSteps = 3 * simSteps
	// stepDuration is the duration of a step on the holders' clocks.
	stepDuration = quorum.SettleDelay / simSettleDelay
	// reservationsPerProgram is the number of reservations that one program makes.
	reservationsPerProgram = 4
	// recentLoans is the number of most recent loans from which a step chooses.
	recentLoans = 3
)

// simLoanState is the state of a schedule that concerns loans.
type simLoanState struct {
	random *rand.Rand
	loans  []*simLoan
	draws  []*simDraw
	// used is the number of tokens that programs have finally used.
	used map[string]int64
}

// simLoan is a loan that a gateway has written.
type simLoan struct {
	reservation *replicav1.Reservation
	granted     bool
	returned    bool
	// opened is set once the holder was asked to open the loan. refused is set if it did not open
	// the loan then; it is not asked again, and the loan is settled at zero.
	opened, refused bool
}

// simDraw is a draw that a holder granted.
type simDraw struct {
	id, program, holder string
	most                int64
	settled             bool
}

// now returns the simulated time.
func (c *simCluster) now() time.Time {
	return time.Unix(5000, 0).Add(time.Duration(c.steps) * stepDuration)
}

func (w *simWrite) records() []*replicav1.Record {
	records := append([]*replicav1.Record{}, w.loanRecords...)
	records = append(records, w.record)
	if w.loan != nil {
		records = append(records, w.loan)
	}
	return records
}

// loanStep performs one random step that concerns loans.
func (p *simPartition) loanStep() {
	switch chance := p.loanState.random.IntN(100); {
	case chance < 3:
		p.startReservationWithLoan()
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
		p.injectHolderFault()
	default:
		p.deliverRecentWrite()
	}
}

// deliverRecentWrite delivers a write to one member, mostly one of the recent unfinished writes.
func (p *simPartition) deliverRecentWrite() {
	var unfinished []*simWrite
	for _, write := range p.writes {
		if !write.done {
			unfinished = append(unfinished, write)
		}
	}
	if len(unfinished) == 0 || p.loanState.random.IntN(6) == 0 {
		p.deliver()
		return
	}
	recent := unfinished[max(0, len(unfinished)-recentLoans):]
	write := recent[p.loanState.random.IntN(len(recent))]
	p.deliverTo(write, p.randomMember(write.group))
}

// startReservationWithLoan starts a turn and, mostly, a loan with it.
func (p *simPartition) startReservationWithLoan() {
	p.lastID++
	program := fmt.Sprintf("b%d", p.lastID/reservationsPerProgram)
	p.startWrite(&replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: &replicav1.Reservation{
		Id: fmt.Sprintf("r%d", p.lastID), Program: program, Most: simMaxTokens,
	}}})
	node := p.randomMember(p.group)
	identity := node.state().currentIdentity(p.group.Partition)
	if identity == nil || p.loanState.random.IntN(4) == 0 {
		return
	}
	loanReservation := &replicav1.Reservation{
		Id: fmt.Sprintf("l%d", p.lastID), Program: program, Most: int64(20 + p.loanState.random.IntN(50)),
		Holder: &replicav1.LoanHolder{Node: node.name, Incarnation: identity.Incarnation},
	}
	p.writes[len(p.writes)-1].loan = &replicav1.Record{Kind: &replicav1.Record_Reservation{Reservation: loanReservation}}
	p.loanState.loans = append(p.loanState.loans, &simLoan{reservation: loanReservation, granted: p.mutation == loanBeforeGrant})
}

// grantWithLoan completes a reservation, and the loan written with it, whose sum is known.
func (p *simPartition) grantWithLoan(write *simWrite, ledger turn.Ledger) {
	fits := ledger.Fits
	if p.mutation == ignoreOpenLoans {
		fits = ledger.FitsWithoutLoans
	}
	reservation, loanReservation := write.record.GetReservation(), write.loan.GetReservation()
	if ledger.Settled() > p.loanState.used[reservation.Program] {
		p.violation = "program " + reservation.Program + " has more settled tokens than it has used"
	}
	without := make(turn.Ledger, len(ledger))
	for id, entry := range ledger {
		if id != loanReservation.GetId() {
			without[id] = entry
		}
	}
	fitsAlone := without.Fits
	if p.mutation == ignoreOpenLoans {
		fitsAlone = without.FitsWithoutLoans
	}
	if !fitsAlone(reservation.Id, reservation.Most, simBudget) {
		return
	}
	p.unsettled = append(p.unsettled, simGrant{reservation: reservation, step: p.steps})
	p.addGrantedTokens(reservation.Program, reservation.Most)
	if loanReservation == nil || !fits(loanReservation.Id, loanReservation.Most, simBudget) {
		return
	}
	for _, entry := range p.loanState.loans {
		entry.granted = entry.granted || entry.reservation == loanReservation
	}
}

func (p *simPartition) addGrantedTokens(program string, tokens int64) {
	p.granted[program] += tokens
	if p.granted[program] > simBudget {
		p.violation = "program " + program + " was granted more tokens than its budget"
	}
}

// callLoan calls a node's service. A node that is down returns no answer.
func (p *simPartition) callLoan(name string, request *replicav1.LoanRequest) *replicav1.LoanResponse {
	node := p.nodes[name]
	if node.down {
		return nil
	}
	request.Partition = p.group.Partition
	if p.mutation == unsyncedDraw && request.GetDraw() != nil {
		node.disk.SkipSync = true
		defer func() { node.disk.SkipSync = false }()
	}
	response, err := node.service.Loan(context.Background(), connect.NewRequest(request))
	p.must(err)
	return response.Msg
}

// randomLoan returns one of the recent loans, so that concurrent steps concern the same loans.
func (p *simPartition) randomLoan() *simLoan {
	loans := p.loanState.loans
	if len(loans) == 0 {
		return nil
	}
	recent := loans[max(0, len(loans)-recentLoans):]
	return recent[p.loanState.random.IntN(len(recent))]
}

// openLoan tells the holder that a loan was granted, possibly late or repeatedly.
func (p *simPartition) openLoan() {
	entry := p.randomLoan()
	if entry == nil || !entry.granted || entry.refused {
		return
	}
	loanReservation := entry.reservation
	incarnation := loanReservation.Holder.Incarnation
	if p.mutation == openForAnyIncarnation {
		incarnation = p.nodes[loanReservation.Holder.Node].state().currentIdentity(p.group.Partition).GetIncarnation()
	}
	response := p.callLoan(loanReservation.Holder.Node, &replicav1.LoanRequest{Program: loanReservation.Program, Call: &replicav1.LoanRequest_Open{
		Open: &replicav1.LoanOpening{Loan: loanReservation.Id, Amount: loanReservation.Most, Incarnation: incarnation},
	}})
	first := !entry.opened
	entry.opened = true
	notOpened := response != nil && response.Outcome != replicav1.LoanOutcome_LOAN_OUTCOME_DONE
	if notOpened && (first || p.mutation == settleLoanRefusedAgain) {
		entry.refused = first
		p.startWrite(&replicav1.Record{Kind: &replicav1.Record_Settlement{Settlement: &replicav1.Settlement{Id: loanReservation.Id, Program: loanReservation.Program}}})
	}
}

// injectHolderFault restarts a node that holds a loan, cuts its power, or replaces any node's disk.
func (p *simPartition) injectHolderFault() {
	entry := p.randomLoan()
	if entry == nil || p.nodes[entry.reservation.Holder.Node].down {
		return
	}
	if p.loanState.random.IntN(4) == 0 {
		p.loseDiskIfTolerated()
		return
	}
	p.restart(p.nodes[entry.reservation.Holder.Node], p.loanState.random.IntN(2) == 0)
}

// drawLoan starts a turn on a loan at its holder, or repeats an earlier draw.
func (p *simPartition) drawLoan() {
	entry := p.randomLoan()
	if entry == nil {
		return
	}
	program, holder := entry.reservation.Program, entry.reservation.Holder.Node
	if len(p.loanState.draws) > 0 && p.loanState.random.IntN(10) == 0 {
		earlier := p.loanState.draws[p.loanState.random.IntN(len(p.loanState.draws))]
		p.callLoan(earlier.holder, &replicav1.LoanRequest{Program: earlier.program, Call: &replicav1.LoanRequest_Draw{
			Draw: &replicav1.LoanDraw{Id: earlier.id, Most: earlier.most},
		}})
		return
	}
	draw := &simDraw{
		id: fmt.Sprintf("d%d", p.steps), program: program, holder: holder, most: int64(1 + p.loanState.random.IntN(simMaxTokens)),
	}
	response := p.callLoan(holder, &replicav1.LoanRequest{Program: program, Call: &replicav1.LoanRequest_Draw{
		Draw: &replicav1.LoanDraw{Id: draw.id, Most: draw.most},
	}})
	if response.GetOutcome() != replicav1.LoanOutcome_LOAN_OUTCOME_DONE {
		return
	}
	p.loanState.draws = append(p.loanState.draws, draw)
	p.addGrantedTokens(program, draw.most)
	if p.loanState.random.IntN(10) == 0 {
		p.restart(p.nodes[holder], true)
	}
}

// settleDraw ends a turn on a loan. A settlement that the holder does not accept is written to the
// majority.
func (p *simPartition) settleDraw() {
	if len(p.loanState.draws) == 0 {
		return
	}
	draw := p.loanState.draws[p.loanState.random.IntN(len(p.loanState.draws))]
	if draw.settled {
		return
	}
	draw.settled = true
	used := draw.most - int64(p.loanState.random.IntN(int(draw.most)))
	p.granted[draw.program] -= draw.most - used
	p.loanState.used[draw.program] += used
	settlement := &replicav1.Settlement{Id: draw.id, Program: draw.program, Used: used}
	for range 1 + p.loanState.random.IntN(2) {
		response := p.callLoan(draw.holder, &replicav1.LoanRequest{
			Program: draw.program, Settlements: []*replicav1.Settlement{proto.CloneOf(settlement)},
		})
		if response != nil && len(response.NotTaken) > 0 || p.mutation == settleWithoutHolder {
			p.startWrite(&replicav1.Record{Kind: &replicav1.Record_Settlement{Settlement: settlement}})
		}
	}
}

// closeLoan closes a loan and returns what it has left.
func (p *simPartition) closeLoan() {
	entry := p.randomLoan()
	if entry == nil || !entry.granted && p.loanState.random.IntN(8) > 0 {
		return
	}
	loanReservation := entry.reservation
	closed := p.closedAccount(loanReservation)
	if closed == nil {
		return
	}
	entry.returned = true
	returned := loan.ReturnRecords(closed, 0)
	p.startWrite(returned[len(returned)-1])
	if p.mutation != settleWithoutDraws {
		p.writes[len(p.writes)-1].loanRecords = returned[:len(returned)-1]
	}
}

// closedAccount returns a loan's account once it is closed, or nil. It applies the mutations that
// concern closing.
func (p *simPartition) closedAccount(loanReservation *replicav1.Reservation) *replicav1.Account {
	closing := &replicav1.LoanClosing{Loan: loanReservation.Id, Incarnation: loanReservation.Holder.Incarnation}
	accounts := p.nodes[loanReservation.Holder.Node].state().partition(p.group.Partition).accounts
	switch p.mutation {
	case settleOpenLoan:
		for _, account := range accounts.Accounts() {
			if account.Loan == loanReservation.Id {
				return account.Account
			}
		}
		return nil
	case closeTooEarly:
		incarnation := p.nodes[loanReservation.Holder.Node].state().currentIdentity(p.group.Partition).GetIncarnation()
		result := accounts.Close(p.now().Add(quorum.SettleDelay), loanReservation.Program, closing, incarnation)
		if result.MustWrite {
			p.must(p.nodes[loanReservation.Holder.Node].state().write(accountRecord(p.group.Partition, result.Account, 0)))
		}
		return result.Account
	case closeUnknownAsUnused:
		closing.Incarnation = p.nodes[loanReservation.Holder.Node].state().currentIdentity(p.group.Partition).GetIncarnation()
	}
	response := p.callLoan(loanReservation.Holder.Node, &replicav1.LoanRequest{
		Program: loanReservation.Program, Call: &replicav1.LoanRequest_Close{Close: closing},
	})
	if response.GetOutcome() != replicav1.LoanOutcome_LOAN_OUTCOME_DONE {
		return nil
	}
	return response.Closed
}

// forgetClosedLoans replaces the account sets of a state by sets without the closed accounts.
func forgetClosedLoans(opened *state) {
	for _, partition := range opened.partitions {
		openLoans := loan.NewAccountSet(quorum.SettleDelay)
		for _, account := range partition.accounts.Accounts() {
			if !account.Closed {
				openLoans.Apply(opened.now(), account.Account, account.Retention)
			}
		}
		partition.accounts = openLoans
	}
}

// newLoanSimulation returns the partition of a cluster whose programs get loans from their budgets.
func newLoanSimulation(t require.TestingT, seed uint64, m mutation) *simPartition {
	p := newSimPartition(t, seed, m)
	p.allowOneRound, p.budgetRandom = true, rand.New(rand.NewPCG(seed, 11))
	p.loanState = &simLoanState{random: rand.New(rand.NewPCG(seed, 17)), used: make(map[string]int64)}
	return p
}

// runLoanSimulation runs one schedule and returns the first violated guarantee.
func runLoanSimulation(t require.TestingT, seed uint64, m mutation) string {
	p := newLoanSimulation(t, seed, m)
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
		require.Empty(t, runLoanSimulation(t, rapid.Uint64().Draw(t, "seed"), noMutation))
	})
}

func TestSimulationDetectsEachLoanMutation(t *testing.T) {
	requireDetected(t, 600, runLoanSimulation,
		openForAnyIncarnation, settleOpenLoan, forgetClosedLoansOnRestart, ignoreOpenLoans, settleWithoutDraws, closeUnknownAsUnused, loanBeforeGrant,
		settleWithoutHolder, settleLoanRefusedAgain,
	)
}

// loanReturnFailure runs fault-free rounds after a schedule, closes all loans, and returns what
// still does not work.
func (p *simPartition) loanReturnFailure() string {
	if problem := p.livenessFailure(livenessRounds); problem != "" {
		return problem
	}
	p.steps += simSettleDelay
	for _, entry := range p.loanState.loans {
		if closed := p.closedAccount(entry.reservation); closed != nil {
			p.startWrite(&replicav1.Record{Kind: &replicav1.Record_Turn{Turn: &replicav1.Turn{Id: "after " + closed.Loan}}})
			p.writes[len(p.writes)-1].loanRecords = loan.ReturnRecords(closed, 0)
			for _, member := range p.group.Members {
				p.deliverTo(p.writes[len(p.writes)-1], p.nodes[member.Node])
			}
		}
	}
	for _, entry := range p.loanState.loans {
		if problem := p.outstandingLoan(entry.reservation); problem != "" {
			return problem
		}
	}
	return ""
}

// outstandingLoan returns an error text if a loan is not settled although its holder is running
// with the incarnation that the loan names.
func (p *simPartition) outstandingLoan(loanReservation *replicav1.Reservation) string {
	holder := p.nodes[loanReservation.Holder.Node]
	if holder.down || holder.state().currentIdentity(p.group.Partition).GetIncarnation() != loanReservation.Holder.Incarnation {
		return ""
	}
	ledger := make(turn.Ledger)
	for _, member := range p.group.Members {
		ledger.Merge(p.nodes[member.Node].state().partition(p.group.Partition).store.Entries(loanReservation.Program))
	}
	if entry := ledger[loanReservation.Id]; entry != nil && !entry.Settled {
		return "loan " + loanReservation.Id + " cannot be returned"
	}
	return ""
}

// Searches for schedules after whose last fault a loan remains unsettled although its holder could
// return it.
func TestEveryLoanOfPresentHolderIsReturned(t *testing.T) {
	for seed := range uint64(300) {
		p := newLoanSimulation(t, seed, noMutation)
		p.enableAnnouncements(seed)
		for range loanSteps {
			p.step()
		}
		require.Empty(t, p.violation, "seed %d", seed)
		require.Empty(t, p.loanReturnFailure(), "seed %d", seed)
		p.close()
	}
}

// Ensures that the schedules actually grant, draw on and close loans.
func TestLoanSchedulesExerciseLoans(t *testing.T) {
	granted, returned, draws, settled := 0, 0, 0, 0
	for seed := range uint64(20) {
		p := newLoanSimulation(t, seed, noMutation)
		for range loanSteps {
			p.step()
		}
		for _, entry := range p.loanState.loans {
			if entry.granted {
				granted++
			}
			if entry.granted && entry.returned {
				returned++
			}
		}
		draws += len(p.loanState.draws)
		for _, draw := range p.loanState.draws {
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
