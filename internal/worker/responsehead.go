package worker

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/barleyshelf/barleyshelf/internal/flowcontrol"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

const (
	// maxHeadBytes bounds one head of a response.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of one head. A parsed line takes many times the bytes of a short one.
	maxHeadLines = 256
	// maxInterimResponses bounds the interim (1xx) responses before a response.
	maxInterimResponses = 8
	// DefaultLargeHeadsBytes bounds the memory for all heads that exceed readBufferBytes, unless the pool is given
	// another bound.
	DefaultLargeHeadsBytes = 4 << 20
)

const (
	// responsePrefix is what each response begins with.
	responsePrefix = "HTTP/"
	// majorVersion is the major version of HTTP.
	majorVersion = 1
)

// readFinalResponse reads a response and skips interim ones. No head is parsed before it is known to be within its
// bounds.
func (c *connection) readFinalResponse(outgoing *http.Request) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		head, err := c.awaitHead()
		if err != nil {
			return nil, err
		}
		var encoding transport.EncodingScan
		if err := encoding.Next(head); err != nil {
			return nil, &MalformedResponse{Cause: err}
		}
		response, err := http.ReadResponse(c.reader, outgoing)
		if err != nil {
			return nil, &MalformedResponse{Cause: err}
		}
		if err := transport.CheckHead(response, majorVersion); err != nil {
			return nil, &MalformedResponse{Cause: err}
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, &MalformedResponse{Cause: &UnrequestedUpgrade{}}
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
	return nil, &ResponseTooLarge{Part: PartInterimHeads, Limit: maxInterimResponses}
}

// awaitHead waits until the next head is buffered completely, and returns its lines, which are valid until the next read.
// It fails as soon as the head exceeds a bound or cannot become one.
func (c *connection) awaitHead() (head []byte, err error) {
	var scan headScan
	for {
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, err
		}
		complete, err := scan.next(buffered)
		if complete || err != nil {
			return buffered[:scan.scanned], err
		}
		if len(buffered) == c.reader.Size() {
			if err := c.enlargeReader(buffered); err != nil {
				return nil, err
			}
		}
		_, err = c.reader.Peek(len(buffered) + 1)
		if err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// headScan looks for the end of a head in a growing prefix of a stream.
type headScan struct {
	// scanned is how many bytes were looked at, lineStart where the current line begins, and lines how many
	// lines have ended.
	scanned, lineStart, lines int
}

// next looks at the bytes that were not looked at before and reports whether the head is complete.
func (s *headScan) next(buffered []byte) (complete bool, err error) {
	if prefix := buffered[:min(len(buffered), len(responsePrefix))]; string(prefix) != responsePrefix[:len(prefix)] {
		return false, &MalformedResponse{Cause: &NoStatusLine{}}
	}
	for s.scanned < len(buffered) {
		length := bytes.IndexByte(buffered[s.scanned:], '\n')
		if length < 0 {
			s.scanned = len(buffered)
			break
		}
		line := bytes.TrimSuffix(buffered[s.lineStart:s.scanned+length], []byte("\r"))
		if len(line) == 0 {
			return true, nil
		}
		if s.lines++; s.lines > maxHeadLines {
			return false, &ResponseTooLarge{Part: PartHeadLines, Limit: maxHeadLines}
		}
		s.scanned += length + 1
		s.lineStart = s.scanned
	}
	return false, nil
}

// enlargeReader gives the connection a buffer for the largest head, with what is buffered, until the response
// has ended.
func (c *connection) enlargeReader(buffered []byte) error {
	if c.reader.Size() >= maxHeadBytes {
		return &ResponseTooLarge{Part: PartHead, Limit: maxHeadBytes}
	}
	if c.largeHead = c.pool.largeHeads.NewReservation(nil); !c.largeHead.TryAcquire(maxHeadBytes) {
		c.largeHead = nil
		return &flowcontrol.BudgetExhausted{Wanted: maxHeadBytes, Limit: c.pool.largeHeads.Limit()}
	}
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c), maxHeadBytes)
	_, err := c.reader.Peek(len(buffered))
	return err
}

// releaseLargeHead gives the memory for a large head back.
func (c *connection) releaseLargeHead() {
	if c.largeHead == nil {
		return
	}
	c.largeHead.ReleaseAll()
	c.largeHead = nil
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
}

// boundedBody fails once more than a number of bytes was read.
type boundedBody struct {
	source           io.Reader
	remaining, limit int64
}

func (b *boundedBody) Read(data []byte) (int, error) {
	if int64(len(data)) > b.remaining+1 {
		data = data[:b.remaining+1]
	}
	count, err := b.source.Read(data)
	if int64(count) > b.remaining {
		return int(b.remaining), &ResponseTooLarge{Part: PartBody, Limit: b.limit}
	}
	b.remaining -= int64(count)
	return count, err
}

// boundBody returns the body of a response with the bound of its request; 0 is none. It fails at once if the
// declared length exceeds the bound.
func boundBody(response *http.Response, limit int64) (io.Reader, error) {
	if limit <= 0 {
		return response.Body, nil
	}
	if bodyLength(response) > limit {
		return nil, &ResponseTooLarge{Part: PartBody, Limit: limit}
	}
	return &boundedBody{source: response.Body, remaining: limit, limit: limit}, nil
}
