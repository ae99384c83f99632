package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// maxProblemBytes bounds how much of a failure's body is read.
const maxProblemBytes = 64 << 10

// GenerateRequest asks an engine for an answer to a prompt.
type GenerateRequest struct {
	// Holder is the program that the engine keeps cache for.
	Holder structs.ProgramID `json:"holder"`
	// StreamID names the stream: the same id again is the same stream.
	StreamID string `json:"streamID"`
	// Incarnation of the engine that may run it; 0 for whichever lives.
	Incarnation structs.Incarnation `json:"incarnation,omitempty"`
	Model       structs.ModelName   `json:"model"`
	Adapter     string              `json:"adapter,omitempty"`
	// Segments joined are the whole prompt. Cache is kept by whole segments, so
	// each input and each answer of the history is a segment of its own.
	Segments [][]byte `json:"-"`
	// MaxTokens bounds the answer.
	MaxTokens int64 `json:"maxTokens"`
	// Priority orders waiting streams; lower runs first.
	Priority int `json:"priority"`
	// RetainMilliseconds is how long the cache is wanted after its last use.
	RetainMilliseconds int64 `json:"retainMilliseconds"`
}

// Usage is what a finished stream cost.
type Usage struct {
	PromptTokens int64 `json:"promptTokens"`
	AnswerTokens int64 `json:"answerTokens"`
	// ReusedTokens of the prompt were cached and not prefilled.
	ReusedTokens int64 `json:"reusedTokens"`
}

// Chunk is a part of an answer.
type Chunk struct {
	// Offset is the place of Text in the answer, in bytes.
	Offset uint64
	Text   []byte
	// Done is set on the last chunk, which has the usage and no text.
	Done  bool
	Usage Usage
}

// Stream is an answer as it comes. It is used by one goroutine.
type Stream struct {
	address string
	body    io.ReadCloser
	lines   *transport.Lines
	done    bool
}

// line is a chunk as it is sent.
type line struct {
	Offset uint64 `json:"offset"`
	Text   string `json:"text"`
	Done   bool   `json:"done"`
	Usage  *Usage `json:"usage"`
	Error  string `json:"error"`
}

// Generate starts a stream, or joins the one that has the stream id, from its
// beginning. It returns when the engine has accepted the stream, which may then
// wait for its turn. Errors: *failure.EngineUnavailable (not accepted),
// *failure.EngineGone (another incarnation lives; not accepted),
// *failure.Malformed (the engine can never run it), *failure.StreamBroken (it
// may have been accepted).
func (c *Client) Generate(ctx context.Context, address string, r GenerateRequest) (*Stream, error) {
	body, err := newPromptBody(r)
	if err != nil {
		return nil, err
	}
	return c.open(ctx, address, http.MethodPost, "/v1/generate", body)
}

// Resume joins a stream from an offset in bytes. Errors: *failure.EngineGone
// when the engine does not know the stream, *failure.StreamBroken,
// *failure.EngineUnavailable (no connection).
func (c *Client) Resume(ctx context.Context, address, streamID string, offset uint64) (*Stream, error) {
	path := "/v1/streams/" + url.PathEscape(streamID) + "?offset=" + strconv.FormatUint(offset, 10)
	return c.open(ctx, address, http.MethodGet, path, nil)
}

func (c *Client) open(ctx context.Context, address, method, path string, body *promptBody) (*Stream, error) {
	traced, sent := traceSent(ctx)
	request, err := http.NewRequestWithContext(traced, method, strings.TrimSuffix(address, "/")+path, nil)
	if err != nil {
		return nil, &failure.EngineUnavailable{Engine: address, Wait: unavailableDelay}
	}
	if body != nil {
		body.attach(request)
	}
	response, err := c.http.Do(request)
	if err != nil {
		if sent.Load() {
			return nil, &failure.StreamBroken{Engine: address}
		}
		return nil, &failure.EngineUnavailable{Engine: address, Wait: unavailableDelay}
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, readProblem(address, response.Body)
	}
	return &Stream{address: address, body: response.Body, lines: c.inflow.NewLines(address, response.Body)}, nil
}

// traceSent returns a context whose request sets the flag as soon as any byte
// of it may have left: from the moment that a connection was had. net/http looks
// for another connection only after one on which it wrote nothing.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), &sent
}

// readProblem returns the failure that a body describes.
func readProblem(address string, body io.Reader) error {
	var p problem
	if err := json.NewDecoder(io.LimitReader(body, maxProblemBytes)).Decode(&p); err != nil {
		return &failure.StreamBroken{Engine: address}
	}
	return fromProblem(address, p)
}

// Next returns the next part as soon as it is here, and io.EOF after the one
// that is Done. Errors: *failure.StreamBroken (resume it from the last offset),
// *failure.EngineGone (the stream is lost), *failure.CallCancelled.
func (s *Stream) Next() (Chunk, error) {
	if s.done {
		return Chunk{}, io.EOF
	}
	data, err := s.lines.Next()
	if err != nil {
		return Chunk{}, &failure.StreamBroken{Engine: s.address}
	}
	var read line
	if json.Unmarshal(data, &read) != nil {
		return Chunk{}, &failure.StreamBroken{Engine: s.address}
	}
	switch read.Error {
	case "":
	case "cancelled":
		return Chunk{}, &failure.CallCancelled{}
	default:
		return Chunk{}, &failure.EngineGone{Engine: s.address}
	}
	s.done = read.Done
	part := Chunk{Offset: read.Offset, Text: []byte(read.Text), Done: read.Done}
	if read.Usage != nil {
		part.Usage = *read.Usage
	}
	return part, nil
}

// Close leaves the stream, which goes on at the engine for some time.
func (s *Stream) Close() error {
	s.lines.Close()
	return s.body.Close()
}
