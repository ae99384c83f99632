// Package promise checks what the system must always hold against evidence
// that does not come from the system: the ledgers of the stand-ins and the
// callers' own records. It does no I/O and reads no clock.
package promise

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Oracle computes what the stand-in engine must see and answer. Its functions
// are pure, so that a checker can compute them again from a caller's record.
type Oracle struct {
	// Digest is the digest of a whole prompt.
	Digest func(segments [][]byte) string
	// Answer is the whole answer to a prompt.
	Answer func(model, adapter string, segments [][]byte, maxTokens int64) []byte
	// ToolAnswer is the whole answer of a tool.
	ToolAnswer func(tool string, arguments []byte) []byte
}

// Evidence is everything that the checks read.
type Evidence struct {
	Oracle Oracle
	// Programs are the callers' records.
	Programs []Program
	// Streams are the engines' ledgers, of all incarnations.
	Streams []Stream
	// ToolRuns are the tools' ledgers.
	ToolRuns []ToolRun
	// Holds are the engines' own lists of holders at the end of the run.
	Holds []Hold
	// LastHeld is when an engine was last seen to hold memory for a program.
	LastHeld map[structs.ProgramID]time.Time
	// Collected is when Holds were read.
	Collected time.Time
	// Departures are the engines that were told to leave.
	Departures []Departure
	// Stops are the planned stops of daemons.
	Stops []PlannedStop
	// Accepted are the configurations that operators were told are accepted.
	Accepted []Accepted
	// Samples are versions that daemons were seen to act on.
	Samples []Sample
	// Impaired are the spans in which a fault kept a daemon from learning.
	Impaired []Impairment
	// ModelPrices are in millionths of a currency unit for a million tokens.
	ModelPrices map[string]int64
	// ToolPrices are in millionths of a currency unit for a call.
	ToolPrices map[string]int64
	// Bounds are the times that the promises state.
	Bounds Bounds
}

// Bounds are the times within which the promises must hold.
type Bounds struct {
	// Release is how long after its end a program may hold engine memory.
	Release time.Duration
	// Leaving is how long a leaving engine may still receive new work.
	Leaving time.Duration
	// InForce is how long an accepted configuration may take to be in force.
	InForce time.Duration
}

// DefaultBounds returns the bounds that the project promises.
func DefaultBounds() Bounds {
	return Bounds{
		Release: 10 * time.Second,
		Leaving: 3 * time.Second,
		InForce: 8 * time.Second,
	}
}

// Kind says what a call asks for.
type Kind string

// The kinds of calls.
const (
	ModelCall Kind = "model"
	ToolCall  Kind = "tool"
)

// Program is one program as its caller recorded it.
type Program struct {
	ID     structs.ProgramID
	Parent structs.ProgramID
	Tenant structs.TenantID
	Name   structs.ProgramName
	Budget structs.Amount
	// Calls are in the caller's order; Calls[i] has number i+1.
	Calls []Call
	// Ended is when the system confirmed the end; zero when it did not.
	Ended time.Time
}

// Call is one call as its caller recorded it.
type Call struct {
	Number          structs.CallNumber
	Kind            Kind
	Target          string
	Adapter         string
	Repeatable      bool
	Input           []byte
	MaxAnswerTokens int64
	// Attempts are the requests sent for the call, in order.
	Attempts []Attempt
	// Answer is the text assembled from all attempts.
	Answer []byte
	// Complete says that the answer was reported complete.
	Complete bool
	// FailureType is the stable type of the final failure, or empty.
	FailureType failure.Type
	// Outcome is what the final failure said of the call's effect.
	Outcome failure.Outcome
}

// Settled reports whether the caller got a final word on the call.
func (c Call) Settled() bool { return c.Complete || c.FailureType != "" }

// Result says how one request ended.
type Result string

// The ways in which a request ends.
const (
	// Answered requests delivered everything they were asked for.
	Answered Result = "answered"
	// Refused requests ended with a typed failure.
	Refused Result = "refused"
	// Broken requests lost their connection, or were cut off in an answer.
	Broken Result = "broken"
	// Unreached requests found no daemon to connect to.
	Unreached Result = "unreached"
	// Abandoned requests were given up by the caller itself.
	Abandoned Result = "abandoned"
)

// Attempt is one request as its caller saw it.
type Attempt struct {
	Daemon   structs.NodeID
	Sent     time.Time
	Finished time.Time
	Result   Result
	// FailureType and Outcome are set for refused requests.
	FailureType failure.Type
	Outcome     failure.Outcome
}

// Stream is one generation that an engine began, from the engine's ledger.
type Stream struct {
	Engine      structs.EngineID
	Incarnation structs.Incarnation
	ID          string
	Holder      structs.ProgramID
	Model       string
	Adapter     string
	Digest      string
	Started     time.Time
	// Finished is zero for a stream that was cancelled or lost.
	Finished     time.Time
	PromptTokens int64
	AnswerTokens int64
	ReusedTokens int64
}

// ToolRun is one effect of a tool, from the tool's ledger.
type ToolRun struct {
	Tool      string
	Key       string
	Arguments []byte
	Started   time.Time
	Finished  time.Time
}

// Hold is engine memory held for a program.
type Hold struct {
	Engine structs.EngineID
	Holder structs.ProgramID
}

// Departure is an engine that was told to leave.
type Departure struct {
	Engine structs.EngineID
	Since  time.Time
	// Until is when the engine came back; zero when it did not.
	Until time.Time
}

// PlannedStop is a daemon that was stopped in an orderly way.
type PlannedStop struct {
	Daemon structs.NodeID
	Begun  time.Time
	Done   time.Time
}

// Accepted is a configuration that an operator was told is accepted.
type Accepted struct {
	Version uint64
	At      time.Time
	// Lost says that the change was missing from the last declarations.
	Lost bool
}

// Sample is the version that a daemon acted on at a time. Daemons that do not
// answer, or hold no version yet, give no sample.
type Sample struct {
	Daemon  structs.NodeID
	At      time.Time
	Version uint64
}

// Impairment is a span in which a fault kept a daemon from learning.
type Impairment struct {
	Daemon structs.NodeID
	From   time.Time
	To     time.Time
}
