package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/gen/replicav1"
	"github.com/barleyshelf/barleyshelf/internal/mechanism"
	"github.com/barleyshelf/barleyshelf/internal/pause"
	"github.com/barleyshelf/barleyshelf/internal/quorum"
)

const (
	// firstBudgetPause and lastBudgetPause bound the pauses, which double, of a turn
	// that waits for its program's other turns to be settled.
	firstBudgetPause = 80 * time.Millisecond
	lastBudgetPause  = 160 * time.Millisecond
)

// turnState is what a turn has reserved and is to keep.
type turnState struct {
	request *request
	// reserved is set if the turn counts against a budget.
	reserved bool
	// reservation names the reservation; it differs for each attempt, also where
	// a client uses a request id twice.
	reservation string
	// granted is when the reservation was granted; zero until then.
	granted time.Time
	// lender holds the loan that the turn draws on; nil where a majority has its
	// reservation.
	lender *quorum.LoanHolder
	// late is the turn's draw that was not answered in time; nil where there is none.
	late *lateDraw
	// tight is set where another turn of the program does not fit beside this one
	// until this one is settled.
	tight bool
	// input is the turn's own input.
	input []byte
}

// beginTurn lets the turn in within its tenant's limit, reserves its most tokens and puts
// the turns before it in front of its input. Nothing is sent to a worker before all are
// done.
func (r *request) beginTurn(ctx context.Context) (*turnState, error) {
	state := &turnState{request: r, input: r.body}
	budgeted := r.budgeted()
	if !budgeted && !r.route.Stateful {
		return state, r.admitAlone(ctx)
	}
	if budgeted {
		// This needs no replica, and is the truer reason where none answers.
		if err := r.knownSpent(); err != nil {
			return nil, err
		}
	}
	if err := r.checkKeepable(); err != nil {
		return nil, err
	}
	outlook, err := r.stateOutlook()
	if err != nil {
		var short *TimeTooShort
		if errors.As(err, &short) {
			return nil, err
		}
		return state.beginOnLoan(ctx, err)
	}
	defer r.hold(heldForState)()
	wait, cancel := context.WithTimeout(ctx, outlook.WaitLimit)
	defer cancel()
	assembled, admitted, confirmed := make(chan error, 1), make(chan error, 1), make(chan error, 1)
	go func() { assembled <- r.assemble(wait) }()
	go func() { confirmed <- r.confirmKeepers(wait) }()
	go func() { admitted <- r.admit(wait) }()
	if budgeted {
		err = state.reserve(wait)
	}
	if chainErr := <-assembled; err == nil {
		err = chainErr
	}
	if keepErr := <-confirmed; err == nil {
		err = keepErr
	}
	if quotaErr := <-admitted; err == nil {
		err = quotaErr
	}
	if err != nil {
		state.settle(&stream{request: r})
		return nil, err
	}
	return state, nil
}

// stateOutlook returns for how long a turn may wait for replicas. It fails at once where
// that is in vain: no majority has answered for longer than is usual, or none answers
// this gateway while others may reach them.
func (r *request) stateOutlook() (quorum.Availability, error) {
	outlook := r.outlook()
	if r.gateway.state.isolated() {
		return outlook, &Isolated{}
	}
	if after, cutOff := r.gateway.cutOffComeBack(); cutOff && !r.gateway.quorum.HasLocalMajority(r.program) {
		return outlook, &ZoneCutOff{Zone: r.gateway.options.Zone, RetryAfter: after}
	}
	if outlook.WaitLimit <= 0 {
		return outlook, &MajorityUnavailable{UnavailableFor: outlook.UnavailableFor, MemberAnswers: outlook.MemberAnswers, RetryAfter: outlook.RetryAfter}
	}
	outlook.WaitLimit = min(outlook.WaitLimit, r.timeToWait())
	if outlook.WaitLimit <= 0 {
		return outlook, r.checkTime()
	}
	return outlook, nil
}

// timeToWait is how long the request may wait so that a worker can still answer after it.
func (r *request) timeToWait() time.Duration { return time.Until(r.deadline) - r.fastest().Value() }

// outlook returns what is expected of the majorities that keep the program's budget and
// the request's turn: the worse of the two.
func (r *request) outlook() quorum.Availability {
	budget := r.gateway.quorum.ProgramAvailability(r.program)
	scope := r.scope()
	if !r.route.Stateful || !r.gateway.quorum.StoresTurnsSeparately(scope) {
		return budget
	}
	kept := r.gateway.quorum.ScopeAvailability(scope)
	if !r.budgeted() || kept.WaitLimit < budget.WaitLimit || kept.UnavailableFor > budget.UnavailableFor {
		return kept
	}
	return budget
}

// budgeted reports whether the turn counts against a program's budget.
func (r *request) budgeted() bool { return r.envelope.TokenBudget >= 0 && r.envelope.Program != "" }

// checkKeepable fails where the turn is to be kept and no partition may keep it.
func (r *request) checkKeepable() error {
	if !r.route.Stateful {
		return nil
	}
	_, err := r.gateway.quorum.TurnPartition(r.scope())
	return err
}

// confirmKeepers waits until a majority answers that is to keep the turn, where that is
// not the one which keeps the program's budget: what ran and cannot be kept is lost.
func (r *request) confirmKeepers(ctx context.Context) error {
	scope := r.scope()
	if !r.route.Stateful || !r.gateway.quorum.StoresTurnsSeparately(scope) {
		return nil
	}
	if err := r.gateway.quorum.ConfirmMajority(ctx, scope); err != nil {
		return r.unavailable(err)
	}
	return nil
}

// unavailable is the failure of a turn whose replicas did not answer in time.
func (r *request) unavailable(cause error) error {
	return &StateUnavailable{Cause: cause, RetryAfter: r.outlook().RetryAfter}
}

// reserve writes the reservation to a majority and checks the program's sum as
// that majority knows it. Where the turn would fit if the program's other turns use
// less than their most, it waits a little for their settlements.
func (t *turnState) reserve(ctx context.Context) error {
	for wait := firstBudgetPause; ; wait *= 2 {
		err := t.reserveBesideLoans(ctx)
		var spent *BudgetSpent
		if !errors.As(err, &spent) || !spent.Unsettled || wait > lastBudgetPause {
			return err
		}
		// Withdrawn meanwhile, so that two turns do not wait for each other.
		t.settle(&stream{request: t.request})
		settled := t.request.hold(heldForBudget)
		goesOn := pause.For(ctx, wait/2+rand.N(wait))
		settled()
		if !goesOn {
			return err
		}
	}
}

// knownSpent returns the failure of a turn whose program is known to have used so much
// that the turn does not fit, or nil.
func (r *request) knownSpent() error {
	envelope := &r.envelope
	settled := r.gateway.spent.of(r.program)
	if r.gateway.disabled(mechanism.SpentTokenCache) || settled+envelope.MaxTokens <= envelope.TokenBudget {
		return nil
	}
	return &BudgetSpent{Program: envelope.Program, Committed: settled, Budget: envelope.TokenBudget}
}

// tryToReserve makes one reservation.
func (t *turnState) tryToReserve(ctx context.Context) error {
	envelope, gateway := &t.request.envelope, t.request.gateway
	if err := t.request.knownSpent(); err != nil {
		return err
	}
	t.reserved = true
	t.reservation = newReservationID()
	if t.draw(ctx, quorum.DrawTimeout) {
		return nil
	}
	reservation := &replicav1.Reservation{Id: t.reservation, Program: t.request.program, Most: envelope.MaxTokens}
	record := &replicav1.Record{
		Kind:        &replicav1.Record_Reservation{Reservation: reservation},
		RetentionMs: t.request.retention().Milliseconds(),
	}
	began := time.Now()
	wish := t.wishLoan()
	ledger, err := gateway.quorum.Reserve(ctx, record, wish.records()...)
	gateway.state.note(err, time.Since(began))
	if err != nil {
		wish.withdraw()
		if t.drawLate() {
			return nil
		}
		return t.request.unavailable(err)
	}
	t.abandonLateDraw()
	wish.takeFrom(ledger)
	settled := ledger.Settled()
	gateway.spent.note(t.request.program, settled)
	if !ledger.Fits(t.reservation, envelope.MaxTokens, envelope.TokenBudget) {
		wish.withdraw()
		if loans := ledger.Loans(); len(loans) > 0 && ledger.FitsWithoutLoans(t.reservation, envelope.MaxTokens, envelope.TokenBudget) {
			return &budgetLent{loans: loans}
		}
		return &BudgetSpent{
			Program: envelope.Program, Committed: ledger.Committed(t.reservation), Budget: envelope.TokenBudget,
			Unsettled: settled+envelope.MaxTokens <= envelope.TokenBudget,
		}
	}
	t.granted = time.Now()
	t.tight = !ledger.Fits(t.reservation, 2*envelope.MaxTokens, envelope.TokenBudget)
	t.request.note(eventReserved, "reservation", t.reservation, "most", envelope.MaxTokens,
		"committed", ledger.Committed(t.reservation), "budget", envelope.TokenBudget)
	wish.grant(ledger)
	return nil
}

// assemble makes the prompt of a kept line: the inputs and outputs before, and
// the new input.
func (r *request) assemble(ctx context.Context) error {
	if !r.route.Stateful || r.envelope.PreviousTurnID == "" {
		return nil
	}
	scope := r.scope()
	chain, err := r.gateway.chains.get(ctx, scope, r.envelope.PreviousTurnID)
	var unknown *quorum.UnknownTurn
	var elsewhere *quorum.TurnRegionMismatch
	if errors.As(err, &unknown) || errors.As(err, &elsewhere) {
		return err
	}
	if err != nil {
		return r.unavailable(err)
	}
	if len(chain) > 0 && chain[0].Tenant != r.tenantName() {
		// Said alike of a turn that does not exist. The turns before it are its tenant's too.
		return &quorum.UnknownTurn{Turn: r.envelope.PreviousTurnID}
	}
	for _, before := range chain {
		if err := r.gateway.quorum.CheckContinuation(scope, before); err != nil {
			return err
		}
	}
	if len(chain) > 0 && !r.gateway.quorum.SamePartition(quorum.ScopeOf(chain[0]), scope) {
		r.adopted = chain
	}
	size := len(r.body)
	for _, before := range chain {
		size += len(before.Input) + len(before.Output)
	}
	if err := r.takeBody(size - len(r.body)); err != nil {
		return err
	}
	prompt := make([]byte, 0, size)
	for i := len(chain) - 1; i >= 0; i-- {
		prompt = append(prompt, chain[i].Input...)
		prompt = append(prompt, chain[i].Output...)
	}
	r.body = append(prompt, r.body...)
	return nil
}

// keep writes the turn to a majority. The answer must not end before.
func (t *turnState) keep(ctx context.Context, out *stream) error {
	r := t.request
	if !r.route.Stateful {
		return nil
	}
	turn := &replicav1.Turn{
		Id: r.envelope.RequestID, Previous: r.envelope.PreviousTurnID, Program: r.program,
		Input: t.input, Output: out.output, Tenant: r.tenantName(), Regions: r.scope().Regions,
	}
	retention := r.retention().Milliseconds()
	records := []*replicav1.Record{{Kind: &replicav1.Record_Turn{Turn: turn}, RetentionMs: retention}}
	for _, before := range r.adopted {
		records = append(records, &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: before}, RetentionMs: retention})
	}
	scope := r.scope()
	if t.reserved && t.lender == nil && t.settleIn(out) <= 0 && !r.gateway.quorum.StoresTurnsSeparately(scope) {
		records = append(records, t.settlement(out))
		t.reserved = false
	}
	if err := r.gateway.quorum.AppendTurns(ctx, scope, records...); err != nil {
		return err
	}
	r.note(eventKept, "turn", turn.Id, "previous", turn.Previous, "tokens", t.used(out))
	r.gateway.chains.add(turn)
	return nil
}

// settle replaces the reservation by what was handed out, a little later.
func (t *turnState) settle(out *stream) {
	if !t.reserved {
		return
	}
	t.reserved = false
	record, wait, client := t.settlement(out), t.settleIn(out), t.request.gateway.quorum
	// Without the settlement the reservation stands, which only costs budget.
	if t.lender != nil {
		settle := client.SettleDraw
		if t.tight {
			settle = client.SettleDrawNow
		}
		settle(t.lender, record)
		t.lender = nil
		return
	}
	write := client.AppendDeferred
	if t.tight {
		write = client.AppendInBackground
	}
	if wait == 0 {
		write(record)
		return
	}
	time.AfterFunc(wait, func() { write(record) })
}

// settleIn returns how long the settlement must wait: what a turn has used may
// not be told sooner than quorum.SettleDelay after the grant, which reservations
// in one round rest on.
func (t *turnState) settleIn(out *stream) time.Duration {
	if t.granted.IsZero() || t.used(out) == 0 {
		return 0
	}
	return max(0, quorum.SettleDelay-time.Since(t.granted))
}

// used returns the tokens that were handed out.
func (t *turnState) used(out *stream) int64 {
	if engine := t.request.service.Engine; engine != nil && engine.Stride > 0 {
		return out.events * engine.Stride
	}
	return out.events
}

func (t *turnState) settlement(out *stream) *replicav1.Record {
	r := t.request
	settlement := &replicav1.Settlement{
		Id: t.reservation, Program: r.program, Used: t.used(out),
	}
	return &replicav1.Record{
		Kind:        &replicav1.Record_Settlement{Settlement: settlement},
		RetentionMs: r.retention().Milliseconds(),
	}
}

func (r *request) retention() time.Duration {
	if r.route.Retention > 0 {
		return r.route.Retention
	}
	return defaultRetention
}
