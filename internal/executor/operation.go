package executor

import (
	"encoding/json"

	"github.com/barleyshelf/barleyshelf/internal/caller"
	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// operationName is the kind of a request that one daemon forwards to another.
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

// operation is one request to the leader of a shard. Every operation may be
// sent again: openings are told apart by key, calls by number and content.
type operation struct {
	name    operationName
	tenant  structs.TenantID
	program structs.ProgramID
	// body is the operation's own argument in JSON.
	body []byte
}

// openBody is an opening with everything that the declarations decided, so
// that the leader does not decide it again under another configuration.
type openBody struct {
	Request      caller.OpenRequest `json:"request"`
	Budget       structs.Amount     `json:"budget"`
	DeadlineMS   int64              `json:"deadlineMilliseconds"`
	IdleMS       int64              `json:"idleMilliseconds"`
	Priority     int                `json:"priority"`
	HistoryZones []structs.ZoneName `json:"historyZones"`
	CacheZones   []structs.ZoneName `json:"cacheZones"`
}

// callBody is a call.
type callBody struct {
	Request caller.CallRequest `json:"request"`
}

// readBody asks for the answer of a call.
type readBody struct {
	Number structs.CallNumber `json:"number"`
}

type cancelBody struct {
	Number structs.CallNumber `json:"number"`
}

// orphansBody lists programs that an engine holds memory for.
type orphansBody struct {
	Engine      structs.EngineID    `json:"engine"`
	Incarnation structs.Incarnation `json:"incarnation"`
	Programs    []structs.ProgramID `json:"programs"`
}

// orphansAnswer lists those that the journal knows no hold of.
type orphansAnswer struct {
	Orphans []structs.ProgramID `json:"orphans"`
}

// encodeBody encodes one of the structs above, which cannot fail to encode.
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
