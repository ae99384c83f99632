package loan

const (
	// maxTurnsPerLoan is the maximum number of turns, at their maximum size, that a loan covers.
	// A larger value saves calls to a majority, but withholds more budget from the program's
	// turns in other zones.
	maxTurnsPerLoan = 3
	// remainingBudgetDivisor limits a loan to this fraction (one half) of the remaining budget,
	// so that turns in other zones seldom have to recall it.
	remainingBudgetDivisor = 2
)

// Amount returns how many tokens of a budget are lent with a turn that generates at most
// maxTokens. available is the rest of the budget without this turn. The result is 0 if the loan
// could not cover one such turn.
func Amount(maxTokens, available int64) int64 {
	amount := min(maxTurnsPerLoan*maxTokens, available/remainingBudgetDivisor)
	if maxTokens <= 0 || amount < maxTokens {
		return 0
	}
	return amount
}
