package executor

import (
	"encoding/json"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// operationName identifies the kind of an operation that daemons forward to each
// other.
type operationName string

const (
	operationOpen    operationName = "open"
	operationCall    operationName = "call"
	operationRead    operationName = "read"
	operationCancel  operationName = "cancel"
	operationEnd     operationName = "end"
	operationStatus  operationName = "status"
	operationOrphans operationName = "orphans"
)

// operation is one request to the leader of a shard. Every operation can be resent:
// opens are deduplicated by key, calls by number and content.
type operation struct {
	name    operationName
	tenant  structs.TenantID
	program structs.ProgramID
	// body is the operation's argument, encoded as JSON.
	body []byte
}

// openBody is a request to open a program, with all values resolved from the
// declarations, because the leader might have another configuration.
type openBody struct {
	Request      caller.OpenRequest `json:"request"`
	Budget       structs.Amount     `json:"budget"`
	DeadlineMS   int64              `json:"deadlineMilliseconds"`
	IdleMS       int64              `json:"idleMilliseconds"`
	Priority     int                `json:"priority"`
	HistoryZones []structs.ZoneName `json:"historyZones"`
	CacheZones   []structs.ZoneName `json:"cacheZones"`
}

// callBody is a request to make a call.
type callBody struct {
	Request caller.CallRequest `json:"request"`
}

// readBody is a request to read the answer of a call.
type readBody struct {
	Number structs.CallNumber `json:"number"`
}

type cancelBody struct {
	Number structs.CallNumber `json:"number"`
}

// orphansBody lists the programs for which an engine holds memory.
type orphansBody struct {
	Engine      structs.EngineID    `json:"engine"`
	Incarnation structs.Incarnation `json:"incarnation"`
	Programs    []structs.ProgramID `json:"programs"`
}

// orphansAnswer lists the programs for which the journal has no hold.
type orphansAnswer struct {
	Orphans []structs.ProgramID `json:"orphans"`
}

// encodeBody encodes one of the types above. Their encoding cannot fail.
func encodeBody(body any) []byte {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return encoded
}

func decodeBody(encoded []byte, into any) error {
	if err := json.Unmarshal(encoded, into); err != nil {
		return &failure.Malformed{Field: "body", Reason: err.Error()}
	}
	return nil
}
