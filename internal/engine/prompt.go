package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/barleyshelf/barleyshelf/internal/failure"
)

// promptBody is the body of a generation: one line of JSON, and then the
// segments as they are. A long history is neither copied nor encoded.
type promptBody struct {
	header   []byte
	segments [][]byte
	length   int64
}

// promptHeader is the line of JSON.
type promptHeader struct {
	GenerateRequest
	// SegmentBytes are the lengths of the segments that follow.
	SegmentBytes []int `json:"segmentBytes"`
}

func newPromptBody(r GenerateRequest) (*promptBody, error) {
	header := promptHeader{GenerateRequest: r, SegmentBytes: make([]int, 0, len(r.Segments))}
	body := &promptBody{segments: r.Segments}
	for _, segment := range r.Segments {
		header.SegmentBytes = append(header.SegmentBytes, len(segment))
		body.length += int64(len(segment))
	}
	line, err := json.Marshal(header)
	if err != nil {
		return nil, &failure.Malformed{Field: "generate", Reason: err.Error()}
	}
	body.header = append(line, '\n')
	body.length += int64(len(body.header))
	return body, nil
}

// reader returns the body from its beginning.
func (b *promptBody) reader() io.ReadCloser {
	parts := make([]io.Reader, 0, len(b.segments)+1)
	parts = append(parts, bytes.NewReader(b.header))
	for _, segment := range b.segments {
		parts = append(parts, bytes.NewReader(segment))
	}
	return io.NopCloser(io.MultiReader(parts...))
}

// attach makes it the request's body.
func (b *promptBody) attach(request *http.Request) {
	request.Body = b.reader()
	request.GetBody = func() (io.ReadCloser, error) { return b.reader(), nil }
	request.ContentLength = b.length
	request.Header.Set("Content-Type", "application/octet-stream")
}
