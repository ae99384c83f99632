package gateway

import (
	"cmp"
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
	// initialBudgetBackoff and maxBudgetBackoff bound the exponential backoff of a turn that
	// waits for other turns of its program to be settled.
	initialBudgetBackoff = 80 * time.Millisecond
	maxBudgetBackoff     = 160 * time.Millisecond
)

// turnState is the state of a turn: its reservation and the input to store.
type turnState struct {
	request *request
	// hasReservation is set while the turn has a reservation that must be settled.
	hasReservation bool
	// reservationID is unique for each attempt to reserve, also if a client reuses a request
	// id.
	reservationID string
	// grantedAt is when the reservation was granted; zero before that.
	grantedAt time.Time
	// loanHolder is the replica with the loan that the turn draws on; nil if a majority has its
	// reservation.
	loanHolder *quorum.LoanHolder
	// pendingDraw is the turn's draw that was not answered in time; nil if there is none.
	pendingDraw *pendingDraw
	// budgetTight is set if no other turn of the program fits the budget until this one is
	// settled.
	budgetTight bool
	// input is the turn's own input, without earlier turns.
	input []byte
}

// beginTurn admits the turn within its tenant's quota, reserves its maximum tokens and prepends
// the earlier turns to its input. Nothing is sent to a worker before all of that is done.
func (r *request) beginTurn(ctx context.Context) (*turnState, error) {
	state := &turnState{request: r, input: r.body}
	hasBudget := r.hasBudget()
	if !hasBudget && !r.route.Stateful {
		return state, r.admitWithWait(ctx)
	}
	if hasBudget {
		// This check needs no replica, and gives the more accurate reason if none answers.
		if err := r.checkKnownSpent(); err != nil {
			return nil, err
		}
	}
	if err := r.checkTurnStorable(); err != nil {
		return nil, err
	}
	availability, err := r.checkReplicas()
	if err != nil {
		var tooShort *TimeTooShort
		if errors.As(err, &tooShort) {
			return nil, err
		}
		return state.beginOnLoanOnly(ctx, err)
	}
	defer r.startWait(waitForState)()
	waitContext, cancel := context.WithTimeout(ctx, availability.WaitLimit)
	defer cancel()
	assembled, admitted, confirmed := make(chan error, 1), make(chan error, 1), make(chan error, 1)
	go func() { assembled <- r.assemblePrompt(waitContext) }()
	go func() { confirmed <- r.confirmTurnReplicas(waitContext) }()
	go func() { admitted <- r.admit(waitContext) }()
	if hasBudget {
		err = state.reserve(waitContext)
	}
	if assembleErr := <-assembled; err == nil {
		err = assembleErr
	}
	if confirmErr := <-confirmed; err == nil {
		err = confirmErr
	}
	if admitErr := <-admitted; err == nil {
		err = admitErr
	}
	if err != nil {
		state.settle(&stream{request: r})
		return nil, err
	}
	return state, nil
}

// checkReplicas returns how long a turn may wait for replicas. It fails at once if waiting is
// useless: no majority has answered for longer than usual, or none answers this gateway while
// other gateways may reach it.
func (r *request) checkReplicas() (quorum.Availability, error) {
	availability := r.majorityAvailability()
	if r.gateway.replicaHealth.isolated() {
		return availability, &Isolated{}
	}
	if retryAfter, cutOff := r.gateway.cutOffRetryAfter(); cutOff && !r.gateway.quorum.HasLocalMajority(r.programKey) {
		return availability, &ZoneCutOff{Zone: r.gateway.options.Zone, RetryAfter: retryAfter}
	}
	if availability.WaitLimit <= 0 {
		return availability, &MajorityUnavailable{UnavailableFor: availability.UnavailableFor, MemberAnswers: availability.MemberAnswers, RetryAfter: availability.RetryAfter}
	}
	if err := r.checkRemainingTime(); err != nil {
		return availability, err
	}
	availability.WaitLimit = min(availability.WaitLimit, r.slack())
	return availability, nil
}

// slack returns how long the request may wait and still leave a worker enough time to respond.
func (r *request) slack() time.Duration { return time.Until(r.deadline) - r.expectedResponseTime() }

// majorityAvailability returns the availability of the majority that stores the program's budget
// or of the majority that stores the turn, whichever is worse.
func (r *request) majorityAvailability() quorum.Availability {
	budgetAvailability := r.gateway.quorum.ProgramAvailability(r.programKey)
	scope := r.scope()
	if !r.route.Stateful || !r.gateway.quorum.StoresTurnsSeparately(scope) {
		return budgetAvailability
	}
	turnAvailability := r.gateway.quorum.ScopeAvailability(scope)
	if !r.hasBudget() || turnAvailability.WaitLimit < budgetAvailability.WaitLimit || turnAvailability.UnavailableFor > budgetAvailability.UnavailableFor {
		return turnAvailability
	}
	return budgetAvailability
}

// hasBudget reports whether the turn counts against the token budget of a program.
func (r *request) hasBudget() bool { return r.metadata.TokenBudget >= 0 && r.metadata.Program != "" }

// checkTurnStorable fails if the turn has to be stored and no partition may store it.
func (r *request) checkTurnStorable() error {
	if !r.route.Stateful {
		return nil
	}
	_, err := r.gateway.quorum.TurnPartition(r.scope())
	return err
}

// confirmTurnReplicas waits until the majority that will store the turn answers, if it is not
// the one that stores the program's budget. Without this check a turn could run and then be
// lost.
func (r *request) confirmTurnReplicas(ctx context.Context) error {
	scope := r.scope()
	if !r.route.Stateful || !r.gateway.quorum.StoresTurnsSeparately(scope) {
		return nil
	}
	if err := r.gateway.quorum.ConfirmMajority(ctx, scope); err != nil {
		return r.stateUnavailableError(err)
	}
	return nil
}

// stateUnavailableError returns the error for a turn whose replicas did not answer in time.
func (r *request) stateUnavailableError(cause error) error {
	return &StateUnavailable{Cause: cause, RetryAfter: r.majorityAvailability().RetryAfter}
}

// reserve writes the reservation to a majority and checks the program's total as known to that
// majority. If the turn may fit once other turns of the program settle for less than their
// maximum, reserve waits a limited time for their settlements.
func (t *turnState) reserve(ctx context.Context) error {
	for backoff := initialBudgetBackoff; ; backoff *= 2 {
		err := t.reserveRecallingLoans(ctx)
		var spent *BudgetSpent
		if !errors.As(err, &spent) || !spent.Unsettled || backoff > maxBudgetBackoff {
			return err
		}
		// Withdraw the reservation during the wait, so that two turns do not wait for each
		// other.
		t.settle(&stream{request: t.request})
		endWait := t.request.startWait(waitForBudget)
		elapsed := pause.For(ctx, backoff/2+rand.N(backoff))
		endWait()
		if !elapsed {
			return err
		}
	}
}

// checkKnownSpent returns a BudgetSpent error if the turn does not fit beside the tokens that
// its program is known to have used.
func (r *request) checkKnownSpent() error {
	metadata := &r.metadata
	settled := r.gateway.spentTokens.get(r.programKey)
	if r.gateway.disabled(mechanism.SpentTokenCache) || settled+metadata.MaxTokens <= metadata.TokenBudget {
		return nil
	}
	return &BudgetSpent{Program: metadata.Program, Committed: settled, Budget: metadata.TokenBudget}
}

// reserveOnce tries to make one reservation.
func (t *turnState) reserveOnce(ctx context.Context) error {
	metadata, gateway := &t.request.metadata, t.request.gateway
	if err := t.request.checkKnownSpent(); err != nil {
		return err
	}
	t.hasReservation = true
	t.reservationID = newReservationID()
	if t.drawIfLikely(ctx, quorum.DrawTimeout) {
		return nil
	}
	reservation := &replicav1.Reservation{Id: t.reservationID, Program: t.request.programKey, Most: metadata.MaxTokens}
	record := &replicav1.Record{
		Kind:        &replicav1.Record_Reservation{Reservation: reservation},
		RetentionMs: t.request.recordRetention().Milliseconds(),
	}
	start := time.Now()
	loanRequest := t.newLoanRequest()
	ledger, err := gateway.quorum.Reserve(ctx, record, loanRequest.records()...)
	gateway.replicaHealth.recordCall(err, time.Since(start))
	if err != nil {
		loanRequest.withdraw()
		if t.awaitPendingDraw() {
			return nil
		}
		return t.request.stateUnavailableError(err)
	}
	t.releasePendingDraw()
	loanRequest.removeFrom(ledger)
	settled := ledger.Settled()
	gateway.spentTokens.record(t.request.programKey, settled)
	if !ledger.Fits(t.reservationID, metadata.MaxTokens, metadata.TokenBudget) {
		loanRequest.withdraw()
		if loans := ledger.Loans(); len(loans) > 0 && ledger.FitsWithoutLoans(t.reservationID, metadata.MaxTokens, metadata.TokenBudget) {
			return &blockedByLoans{loans: loans}
		}
		return &BudgetSpent{
			Program: metadata.Program, Committed: ledger.Committed(t.reservationID), Budget: metadata.TokenBudget,
			Unsettled: settled+metadata.MaxTokens <= metadata.TokenBudget,
		}
	}
	t.grantedAt = time.Now()
	t.budgetTight = !ledger.Fits(t.reservationID, 2*metadata.MaxTokens, metadata.TokenBudget)
	t.request.addLogEntry(eventBudgetReserved, "reservation", t.reservationID, "most", metadata.MaxTokens,
		"committed", ledger.Committed(t.reservationID), "budget", metadata.TokenBudget)
	loanRequest.openIfFits(ledger)
	return nil
}

// assemblePrompt prepends the inputs and outputs of the earlier turns to the input of a
// stateful turn.
func (r *request) assemblePrompt(ctx context.Context) error {
	if !r.route.Stateful || r.metadata.PreviousTurnID == "" {
		return nil
	}
	scope := r.scope()
	chain, err := r.gateway.turns.chain(ctx, scope, r.metadata.PreviousTurnID)
	var unknown *quorum.UnknownTurn
	var elsewhere *quorum.TurnRegionMismatch
	if errors.As(err, &unknown) || errors.As(err, &elsewhere) {
		return err
	}
	if err != nil {
		return r.stateUnavailableError(err)
	}
	if len(chain) > 0 && chain[0].Tenant != r.tenantName() {
		// The error is the same as for a turn that does not exist. All turns of a chain belong
		// to one tenant.
		return &quorum.UnknownTurn{Turn: r.metadata.PreviousTurnID}
	}
	for _, previous := range chain {
		if err := r.gateway.quorum.CheckContinuation(scope, previous); err != nil {
			return err
		}
	}
	if len(chain) > 0 && !r.gateway.quorum.SamePartition(quorum.ScopeOf(chain[0]), scope) {
		r.copiedTurns = chain
	}
	if len(chain) > 0 {
		r.chainID = chain[len(chain)-1].Id
	}
	size := len(r.body)
	for _, previous := range chain {
		size += len(previous.Input) + len(previous.Output)
	}
	if err := r.reserveBody(size - len(r.body)); err != nil {
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

// store writes the turn to a majority. The response must not end before that.
func (t *turnState) store(ctx context.Context, response *stream) error {
	r := t.request
	if !r.route.Stateful {
		return nil
	}
	turn := &replicav1.Turn{
		Id: r.metadata.RequestID, Previous: r.metadata.PreviousTurnID, Program: r.programKey,
		Input: t.input, Output: response.output, Tenant: r.tenantName(), Regions: r.scope().Regions,
		Chain: cmp.Or(r.chainID, r.metadata.RequestID),
	}
	retention := r.recordRetention().Milliseconds()
	records := []*replicav1.Record{{Kind: &replicav1.Record_Turn{Turn: turn}, RetentionMs: retention}}
	for _, copied := range r.copiedTurns {
		records = append(records, &replicav1.Record{Kind: &replicav1.Record_Turn{Turn: copied}, RetentionMs: retention})
	}
	scope := r.scope()
	if t.hasReservation && t.loanHolder == nil && t.settlementDelay(response) <= 0 && !r.gateway.quorum.StoresTurnsSeparately(scope) {
		records = append(records, t.settlementRecord(response))
		t.hasReservation = false
	}
	if err := r.gateway.quorum.AppendTurns(ctx, scope, records...); err != nil {
		return err
	}
	r.addLogEntry(eventTurnStored, "turn", turn.Id, "previous", turn.Previous, "tokens", t.usedTokens(response))
	r.gateway.turns.add(turn)
	return nil
}

// settle replaces the reservation by the tokens actually used, after settlementDelay.
func (t *turnState) settle(response *stream) {
	if !t.hasReservation {
		return
	}
	t.hasReservation = false
	record, wait, client := t.settlementRecord(response), t.settlementDelay(response), t.request.gateway.quorum
	// Without a settlement the reservation remains active, which only costs budget.
	if t.loanHolder != nil {
		settle := client.SettleDraw
		if t.budgetTight {
			settle = client.SettleDrawNow
		}
		settle(t.loanHolder, record)
		t.loanHolder = nil
		return
	}
	write := client.AppendDeferred
	if t.budgetTight {
		write = client.AppendInBackground
	}
	if wait == 0 {
		write(record)
		return
	}
	time.AfterFunc(wait, func() { write(record) })
}

// settlementDelay returns how long the settlement has to wait. A turn's usage must not be
// reported earlier than quorum.SettleDelay after its grant; reservations granted in one round
// rely on that.
func (t *turnState) settlementDelay(response *stream) time.Duration {
	if t.grantedAt.IsZero() || t.usedTokens(response) == 0 {
		return 0
	}
	return max(0, quorum.SettleDelay-time.Since(t.grantedAt))
}

// usedTokens returns the number of tokens sent to the client.
func (t *turnState) usedTokens(response *stream) int64 {
	if engine := t.request.service.Engine; engine != nil && engine.Stride > 0 {
		return response.eventCount * engine.Stride
	}
	return response.eventCount
}

func (t *turnState) settlementRecord(response *stream) *replicav1.Record {
	r := t.request
	settlement := &replicav1.Settlement{
		Id: t.reservationID, Program: r.programKey, Used: t.usedTokens(response),
	}
	return &replicav1.Record{
		Kind:        &replicav1.Record_Settlement{Settlement: settlement},
		RetentionMs: r.recordRetention().Milliseconds(),
	}
}

func (r *request) recordRetention() time.Duration {
	if r.route.Retention > 0 {
		return r.route.Retention
	}
	return defaultRecordRetention
}
