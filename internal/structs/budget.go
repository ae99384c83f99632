package structs

// Amount is a quantity of everything a budget bounds. It is used for budgets,
// reservations and spending alike.
type Amount struct {
	// Tokens counts prompt and generated tokens together.
	Tokens int64 `json:"tokens"`
	// CostMicros is money in millionths of the tenant's currency unit.
	CostMicros int64 `json:"costMicros"`
	// Turns counts model and tool calls.
	Turns int64 `json:"turns"`
	// Milliseconds is time in which a call of the program was under way.
	Milliseconds int64 `json:"milliseconds"`
}

// Plus returns the sum of both amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{
		Tokens:       a.Tokens + b.Tokens,
		CostMicros:   a.CostMicros + b.CostMicros,
		Turns:        a.Turns + b.Turns,
		Milliseconds: a.Milliseconds + b.Milliseconds,
	}
}

// Minus returns a less b. Members may become negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{
		Tokens:       a.Tokens - b.Tokens,
		CostMicros:   a.CostMicros - b.CostMicros,
		Turns:        a.Turns - b.Turns,
		Milliseconds: a.Milliseconds - b.Milliseconds,
	}
}

// Within reports whether no member of a exceeds that of limit.
func (a Amount) Within(limit Amount) bool {
	return a.Tokens <= limit.Tokens &&
		a.CostMicros <= limit.CostMicros &&
		a.Turns <= limit.Turns &&
		a.Milliseconds <= limit.Milliseconds
}

// Negative reports whether any member is below zero.
func (a Amount) Negative() bool {
	return a.Tokens < 0 || a.CostMicros < 0 || a.Turns < 0 || a.Milliseconds < 0
}
