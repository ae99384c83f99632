package emulator

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// generateRequest is the first line of the body of POST /v1/generate; the
// segments follow it as they are.
type generateRequest struct {
	Holder             structs.ProgramID   `json:"holder"`
	StreamID           string              `json:"streamID"`
	Incarnation        structs.Incarnation `json:"incarnation,omitempty"`
	Model              structs.ModelName   `json:"model"`
	Adapter            string              `json:"adapter,omitempty"`
	SegmentBytes       []int               `json:"segmentBytes"`
	MaxTokens          int64               `json:"maxTokens"`
	Priority           int                 `json:"priority"`
	RetainMilliseconds int64               `json:"retainMilliseconds"`

	segments [][]byte
}

// readGenerateRequest reads the body of a generation.
func readGenerateRequest(body io.Reader) (generateRequest, error) {
	reader := bufio.NewReader(body)
	var r generateRequest
	line, err := reader.ReadBytes('\n')
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(line, &r); err != nil {
		return r, err
	}
	for _, length := range r.SegmentBytes {
		if length < 0 || length > maxPromptBytes {
			return r, &refusal{http.StatusBadRequest, "bad_request", "segmentBytes: out of range"}
		}
		segment := make([]byte, length)
		if _, err := io.ReadFull(reader, segment); err != nil {
			return r, err
		}
		r.segments = append(r.segments, segment)
	}
	return r, nil
}

// usage is what a finished stream cost.
type usage struct {
	PromptTokens int64 `json:"promptTokens"`
	AnswerTokens int64 `json:"answerTokens"`
	ReusedTokens int64 `json:"reusedTokens"`
}

// chunk is one line of an answer stream.
type chunk struct {
	Offset uint64 `json:"offset"`
	Text   string `json:"text,omitempty"`
	Done   bool   `json:"done,omitempty"`
	Usage  *usage `json:"usage,omitempty"`
	// Error ends the stream: "cancelled" or "engine_gone".
	Error string `json:"error,omitempty"`
}

// stream is a generation, from its acceptance until it is forgotten.
type stream struct {
	record   *StreamRecord
	links    []link
	root     chainDigest
	retain   time.Duration
	sequence uint64
	// running streams hold pins on pinned leading links and private tokens.
	running     bool
	pinned      int
	private     int64
	prefillLeft int64
	answer      []byte
	// emittedAt has the time of each token that the stream has given.
	emittedAt []time.Time
	readers   int
	// readAt is when the last reader left, or when the stream was accepted.
	readAt time.Time
	// changed is closed at the next progress; nil while no reader waits.
	changed chan struct{}
}

// ended reports whether the stream gives no more tokens.
func (s *stream) ended() bool { return s.record.Outcome != StreamRunning }

// emitted returns the number of answer bytes that exist by a time.
func (s *stream) emitted(by time.Time) uint64 {
	count := len(s.emittedAt)
	for count > 0 && s.emittedAt[count-1].After(by) {
		count--
	}
	return uint64(min(count*bytesPerToken, len(s.answer)))
}

// context returns the tokens that a step of the stream attends to.
func (s *stream) context() int64 { return s.record.PromptTokens + int64(len(s.emittedAt)) }

// notify wakes the readers.
func (s *stream) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// wait returns a channel that closes at the next progress.
func (s *stream) wait() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// before orders the waiting queue: lower priority first, then first come.
func (s *stream) before(other *stream) bool {
	if s.record.Priority != other.record.Priority {
		return s.record.Priority < other.record.Priority
	}
	return s.sequence < other.sequence
}
