package promise

import (
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// tokensPerPrice is the number of tokens that a model's price is stated for.
const tokensPerPrice = 1_000_000

// checkBudget: what the ledgers show for a program and its sub-agents stays
// within the budget that the caller was given.
func checkBudget(evidence *Evidence, x *index, verdict *Verdict) {
	own := make(map[structs.ProgramID]structs.Amount, len(x.programs))
	for id := range x.programs {
		own[id] = spending(evidence, x.runs[id])
	}
	total := make(map[structs.ProgramID]structs.Amount, len(x.programs))
	for id := range x.programs {
		for ancestor := id; ancestor != ""; ancestor = parentOf(x, ancestor) {
			total[ancestor] = total[ancestor].Plus(own[id])
		}
	}
	for id, program := range x.programs {
		spent := total[id]
		verdict.check(spent.Within(program.Budget), "%s spent %+v of %+v", id, spent, program.Budget)
	}
}

func parentOf(x *index, id structs.ProgramID) structs.ProgramID {
	if program, known := x.programs[id]; known {
		return program.Parent
	}
	return ""
}

// spending sums tokens, cost and turns of the runs. Time is bounded by the
// system's own clock and is not in the ledgers.
func spending(evidence *Evidence, runs []run) structs.Amount {
	var spent structs.Amount
	turns := map[structs.CallNumber]bool{}
	modelCost := int64(0)
	for _, each := range runs {
		turns[each.number] = true
		if each.kind == ToolCall {
			spent.CostMicros += evidence.ToolPrices[each.target]
			continue
		}
		spent.Tokens += each.tokens
		modelCost += each.tokens * evidence.ModelPrices[each.target]
	}
	spent.CostMicros += modelCost / tokensPerPrice
	spent.Turns = int64(len(turns))
	return spent
}

// checkMemory: no engine holds memory, or was seen to hold it, for a program
// that had ended longer ago than the bound.
func checkMemory(evidence *Evidence, x *index, verdict *Verdict) {
	held := map[structs.ProgramID]structs.EngineID{}
	for _, hold := range evidence.Holds {
		held[hold.Holder] = hold.Engine
		_, known := x.programs[hold.Holder]
		if !known {
			verdict.check(false, "engine %s holds memory for %s, which no caller opened", hold.Engine, hold.Holder)
		}
	}
	for id, program := range x.programs {
		if !usedEngine(x.runs[id]) || program.Ended.IsZero() {
			continue
		}
		late := evidence.LastHeld[id].Sub(program.Ended)
		verdict.check(late <= evidence.Bounds.Release, "an engine held memory for %s until %s after its end", id, late)
		engine, still := held[id]
		since := evidence.Collected.Sub(program.Ended)
		if still && since < evidence.Bounds.Release {
			continue
		}
		verdict.check(!still, "engine %s holds memory for %s, ended %s before", engine, id, since)
	}
}

func usedEngine(runs []run) bool {
	for _, each := range runs {
		if each.kind == ModelCall {
			return true
		}
	}
	return false
}

// checkLeaving: streams that began anywhere after the bound did not begin at
// the leaving engine.
func checkLeaving(evidence *Evidence, _ *index, verdict *Verdict) {
	for _, departure := range evidence.Departures {
		closed := departure.Since.Add(evidence.Bounds.Leaving)
		for _, stream := range evidence.Streams {
			after := stream.Started.After(closed)
			returned := !departure.Until.IsZero() && stream.Started.After(departure.Until)
			if !after || returned {
				continue
			}
			verdict.check(stream.Engine != departure.Engine, "engine %s began stream %s %s after it was told to leave",
				departure.Engine, stream.ID, stream.Started.Sub(departure.Since))
		}
	}
}
