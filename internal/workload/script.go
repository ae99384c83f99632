package workload

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// script writes the steps of one program. Every draw is from the program's own
// source, so that programs do not depend on how far others have run.
type script struct {
	program *Program
	random  *rand.Rand
	steps   []Step
}

// span is a range of a uniform draw, both ends included.
type span struct{ low, high int64 }

func (s *script) draw(r span) int64 {
	return r.low + s.random.Int64N(r.high-r.low+1)
}

// chance is true with the given probability.
func (s *script) chance(probability float64) bool {
	return s.random.Float64() < probability
}

// milliseconds draws a duration from a range given in milliseconds.
func (s *script) milliseconds(r span) time.Duration {
	return time.Duration(s.draw(r)) * time.Millisecond
}

// model adds a model call. The input is what the program adds to its history.
func (s *script) model(model structs.ModelName, input, answer span) {
	s.steps = append(s.steps, Step{
		Kind: KindModel, Target: string(model), Adapter: s.program.Adapter, Repeatable: true,
		InputTokens: s.draw(input), AnswerTokens: s.draw(answer), textSeed: s.random.Uint64(),
	})
}

// tool adds a tool call; its result is part of the next model call's input.
func (s *script) tool(call toolCall) {
	s.steps = append(s.steps, Step{
		Kind: KindTool, Target: string(call.name), Repeatable: call.repeatable,
		InputTokens: toolArgumentTokens, Duration: s.milliseconds(call.duration), textSeed: s.random.Uint64(),
	})
}

// pause adds a wait for a person and hints its usual length to the model call
// before it. The hint is the middle of the range, not the draw.
func (s *script) pause(duration span) {
	hint := time.Duration((duration.low+duration.high)/2) * time.Millisecond
	for index := len(s.steps) - 1; index >= 0; index-- {
		if s.steps[index].Kind == KindModel {
			s.steps[index].ExpectedPause += hint
			break
		}
	}
	s.steps = append(s.steps, Step{Kind: KindPause, Duration: s.milliseconds(duration)})
}

// spawn adds sub-agents that inherit the program's history.
func (s *script) spawn(count int64, build func(*rand.Rand) *Program) {
	children := make([]*Program, count)
	for index := range children {
		child := build(rand.New(rand.NewPCG(s.random.Uint64(), uint64(index))))
		child.Key = s.program.Key + "/" + strconv.Itoa(len(s.steps)) + "." + strconv.Itoa(index)
		child.Tenant = s.program.Tenant
		child.Adapter = s.program.Adapter
		child.InheritsHistory = true
		children[index] = child
	}
	s.steps = append(s.steps, Step{Kind: KindSpawn, Children: children})
}

// toolArgumentTokens is the length of a tool call's arguments.
const toolArgumentTokens = 24

// toolCall describes calls to one tool.
type toolCall struct {
	name       structs.ToolName
	repeatable bool
	// duration is a range in milliseconds.
	duration span
}
