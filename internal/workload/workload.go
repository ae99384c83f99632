// Package workload gives the users' programs as seeded shapes: chains of model
// calls, tool calls, pauses and sub-agents that reveal one step at a time. The
// simulator and the lab's load share it. Whoever runs a program sees the next
// step only after the one before, so that nothing that schedules can look ahead.
//
// Sizes are in tokens; BytesPerToken turns them into text. All draws come from
// the generator's seed: the same seed gives the same programs.
package workload

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// BytesPerToken is the size of a token of the stand-in engines, in bytes.
const BytesPerToken = 4

// Kind says what a step does.
type Kind string

// The kinds of steps.
const (
	// KindModel is a call to a model.
	KindModel Kind = "model"
	// KindTool is a call to a tool service.
	KindTool Kind = "tool"
	// KindPause is a wait for a person: a rider who acts, a confirmation.
	KindPause Kind = "pause"
	// KindSpawn opens sub-agents and waits until all of them have ended.
	KindSpawn Kind = "spawn"
)

// Step is one step of a program.
type Step struct {
	Kind Kind
	// Target names the model or the tool.
	Target  string
	Adapter string
	// InputTokens is the length of the new input of a model call (what the
	// program adds to its history) or of a tool call's arguments.
	InputTokens int64
	// AnswerTokens is how long the model's answer is. Only stand-ins may look:
	// a scheduler knows the declared maximum alone.
	AnswerTokens int64
	// Repeatable is false for tool calls that must run at most once.
	Repeatable bool
	// Duration is how long a tool call or a pause takes.
	Duration time.Duration
	// ExpectedPause is the caller's hint of how long after this model call the
	// program's next model call comes; 0 means no hint.
	ExpectedPause time.Duration
	// Children are the sub-agents of a spawn step.
	Children []*Program
	// textSeed makes the step's text differ from all others.
	textSeed uint64
}

// Text returns the step's input: printable, InputTokens long and the same for
// the same step.
func (s Step) Text() []byte {
	return text(s.textSeed, s.InputTokens)
}

// Prefix is a start of the prompt that many programs share.
type Prefix struct {
	// Name identifies the text: equal names mean equal texts.
	Name   string
	Tokens int64
}

// Text returns the prefix's text, the same for the same name and length.
func (p Prefix) Text() []byte {
	hash := fnv.New64a()
	hash.Write([]byte(p.Name))
	return text(hash.Sum64(), p.Tokens)
}

// Program is one run of an agent program.
type Program struct {
	// Name and Tenant are as declared in the deployment.
	Name   structs.ProgramName
	Tenant structs.TenantID
	// Adapter of all model calls.
	Adapter string
	// CacheZones are where the program's cache may rest.
	CacheZones []structs.ZoneName
	// Key is unique in a generator; it serves as the idempotency key.
	Key string
	// Prefixes start the prompt of the first model call, outermost first.
	Prefixes []Prefix
	// InheritsHistory says that the prompt starts with the parent's history at
	// the time of the spawn, as a sub-agent that was handed the conversation.
	InheritsHistory bool
	// Deadline is the wanted latency of the whole program.
	Deadline time.Duration
	// Priority is the declared priority; higher goes first.
	Priority int
	// MaxAnswerTokens is the declared bound of one answer.
	MaxAnswerTokens int64
	script          func(*script)
	random          *rand.Rand
	steps           []Step
	position        int
	scripted        bool
}

// Next returns the next step, or false when the program has ended.
func (p *Program) Next() (Step, bool) {
	if !p.scripted {
		writer := script{program: p, random: p.random}
		p.script(&writer)
		p.steps = writer.steps
		p.scripted = true
	}
	if p.position >= len(p.steps) {
		return Step{}, false
	}
	p.position++
	return p.steps[p.position-1], true
}

// Arrival is a program and when it is opened, counted from the start of load.
type Arrival struct {
	At      time.Duration
	Program *Program
}

// Generator draws programs of one deployment.
type Generator struct {
	deployment Deployment
	random     *rand.Rand
	count      int
}

// NewGenerator returns a generator for a deployment ("voltkai" or "hofbauer").
// The error is an *UnknownDeployment.
func NewGenerator(deployment string, seed uint64) (*Generator, error) {
	found, err := DeploymentByName(deployment)
	if err != nil {
		return nil, err
	}
	return &Generator{deployment: found, random: newRandom(seed)}, nil
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seedStream)) }

// seedStream separates the generator's draws from other users of a seed.
const seedStream = 0x776f726b6c6f6164

// Next draws the next program.
func (g *Generator) Next() *Program {
	return g.build(g.deployment.pick(g.random))
}

func (g *Generator) build(kind programKind) *Program {
	g.count++
	random := rand.New(rand.NewPCG(g.random.Uint64(), uint64(g.count)))
	program := kind.build(random)
	program.Key = fmt.Sprintf("%s-%06d", program.Name, g.count)
	return program
}

// Arrivals draws the programs that open until the duration is over, as a
// Poisson process of openings. Its rate follows the deployment's cycle, around
// a mean that gives programsPerSecond.
func (g *Generator) Arrivals(programsPerSecond float64, duration time.Duration) []Arrival {
	var arrivals []Arrival
	at := time.Duration(0)
	openings := programsPerSecond / g.deployment.programsPerOpening()
	for programsPerSecond > 0 {
		gap := g.random.ExpFloat64() / (openings * peak)
		at += time.Duration(gap * float64(time.Second))
		if at >= duration {
			break
		}
		// Thinning: draws at the peak's rate are kept with the present rate's share.
		if g.random.Float64()*peak >= g.deployment.rate(at) {
			continue
		}
		kind := g.deployment.pick(g.random)
		for range kind.together {
			arrivals = append(arrivals, Arrival{At: at, Program: g.build(kind)})
		}
	}
	return arrivals
}

// text returns printable text of the given length in tokens.
func text(seed uint64, tokens int64) []byte {
	const alphabet = "abcdefghijklmnopqrstuvwxyz 012345"
	source := rand.NewPCG(seed, seedStream)
	content := make([]byte, tokens*BytesPerToken)
	for index := range content {
		content[index] = alphabet[source.Uint64()%uint64(len(alphabet))]
	}
	return content
}

// UnknownDeployment reports a deployment without a workload.
type UnknownDeployment struct {
	// Deployment is the name asked for.
	Deployment string
}

func (e *UnknownDeployment) Error() string {
	return fmt.Sprintf("no workload for deployment %q; known are voltkai and hofbauer", e.Deployment)
}
