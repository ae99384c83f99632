package emulator

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// StreamOutcome is how a stream ended.
type StreamOutcome string

// The outcomes of a stream.
const (
	StreamRunning   StreamOutcome = "running"
	StreamFinished  StreamOutcome = "finished"
	StreamCancelled StreamOutcome = "cancelled"
	// StreamAbandoned streams ran out of the time without a reader.
	StreamAbandoned StreamOutcome = "abandoned"
	// StreamCut streams ended because an order took their model or role away.
	StreamCut StreamOutcome = "cut"
	// StreamLost streams ended with the engine's memory.
	StreamLost StreamOutcome = "lost"
)

// StreamRecord is a stream as it really was.
type StreamRecord struct {
	ID           string
	Incarnation  structs.Incarnation
	Holder       structs.ProgramID
	Model        structs.ModelName
	Version      string
	Adapter      string
	PromptDigest string
	Segments     int
	Priority     int
	PromptTokens int64
	AnswerTokens int64
	// ReusedTokens were cached when the stream started, PrefilledTokens were not.
	ReusedTokens    int64
	PrefilledTokens int64
	// WastedTokens were prefilled although the program's same prefix had been
	// computed before, on this engine or one that shares its history.
	WastedTokens int64
	Accepted     time.Time
	Started      time.Time
	FirstToken   time.Time
	Ended        time.Time
	Outcome      StreamOutcome
}

// OrderRecord is an order as the engine took or refused it.
type OrderRecord struct {
	Incarnation structs.Incarnation
	Fence       uint64
	Kind        string
	Model       structs.ModelName
	Version     string
	Adapter     string
	Role        structs.EngineRole
	Accepted    bool
	At          time.Time
	// StreamsCut counts the streams that the order ended.
	StreamsCut int
}

// EngineLedger is what really happened at an engine, over all incarnations.
type EngineLedger struct {
	Engine      structs.EngineID
	Zone        structs.ZoneName
	Incarnation structs.Incarnation
	Streams     []StreamRecord
	Orders      []OrderRecord
	// Holds are the programs whose memory the engine keeps now.
	Holds []structs.ProgramID
	// ImportedTokens counts the tokens of cache taken over from other engines.
	ImportedTokens int64
}
