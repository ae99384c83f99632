package workload

// Demand is the mean work of one program, sub-agents included, with every
// prompt token prefilled once.
type Demand struct {
	// NewTokens are prompt tokens that no earlier call of the program computed.
	// Shared instructions are not counted: engines hold them ready.
	NewTokens float64
	// AnswerTokens are decoded one step each.
	AnswerTokens float64
	// ContextTokens is the mean context that a decoded token attends to.
	ContextTokens float64
}

// MeanDemand returns the mean demand over a sample of programs of a deployment.
// The error is an *UnknownDeployment.
func MeanDemand(deployment string, sample int) (Demand, error) {
	found, err := DeploymentByName(deployment)
	if err != nil {
		return Demand{}, err
	}
	// Kinds are counted by their weights, not by a draw: rare long ones would
	// make the mean depend on the seed.
	var sum Demand
	weights := 0.0
	for index, kind := range found.kinds {
		generator := &Generator{deployment: found, random: newRandom(uint64(index))}
		for range sample {
			var one Demand
			one.count(generator.build(kind), 0)
			sum.NewTokens += kind.weight * one.NewTokens
			sum.AnswerTokens += kind.weight * one.AnswerTokens
			sum.ContextTokens += kind.weight * one.ContextTokens
		}
		weights += kind.weight * float64(sample)
	}
	return Demand{
		NewTokens:     sum.NewTokens / weights,
		AnswerTokens:  sum.AnswerTokens / weights,
		ContextTokens: sum.ContextTokens / sum.AnswerTokens,
	}, nil
}

// count adds a program that starts with the given context. Its member
// ContextTokens is a sum over answer tokens.
func (d *Demand) count(program *Program, context float64) {
	for _, prefix := range program.Prefixes {
		context += float64(prefix.Tokens)
	}
	for step, more := program.Next(); more; step, more = program.Next() {
		for _, child := range step.Children {
			d.count(child, context)
		}
		if step.Kind != KindModel {
			continue
		}
		answer := float64(step.AnswerTokens)
		context += float64(step.InputTokens) + answer
		d.NewTokens += float64(step.InputTokens)
		d.AnswerTokens += answer
		d.ContextTokens += answer * context
	}
}
