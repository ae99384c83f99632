package transporttest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Head is a response by the name of what is odd in its head.
type Head struct {
	Name, Text string
}

// Heads makes responses with odd heads.
type Heads struct {
	// Fields are header lines that each response has, each ended, and Body is its body.
	Fields, Body string
}

// okLine begins responses whose status line is sound, oldOKLine sound ones in a version that has no chunks.
const (
	okLine    = "HTTP/1.1 200 OK\r\n"
	oldOKLine = "HTTP/1.0 200 OK\r\n"
)

// withLength returns a response with the length of its body. fields are further header lines, each ended.
func (h Heads) withLength(statusLine, fields string) string {
	return fmt.Sprintf("%s%s%sContent-Length: %d\r\n\r\n%s", statusLine, h.Fields, fields, len(h.Body), h.Body)
}

// chunked returns a chunked response. fields are further header lines and trailers trailer lines, each ended.
func (h Heads) chunked(statusLine, fields, trailers string) string {
	return fmt.Sprintf("%s%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", statusLine, h.Fields, fields, len(h.Body), h.Body, trailers)
}

// Whole returns a sound response.
func (h Heads) Whole() string { return h.withLength(okLine, "") }

// InvalidStatuses returns responses whose status is invalid, each alone and before a sound response.
func (h Heads) InvalidStatuses() (heads []Head) {
	for _, status := range []string{"000", "001", "020", "099", "600", "999", "-20", "+20", "+99"} {
		line := "HTTP/1.1 " + status + " Odd\r\n"
		heads = append(heads, Head{status, h.withLength(line, "")}, Head{status + " before an answer", line + "\r\n" + h.Whole()})
	}
	return heads
}

// InvalidNames returns responses with a field whose name is no token: in the head, in an interim head, and in a trailer.
func (h Heads) InvalidNames() (heads []Head) {
	names := map[string]string{
		"blank in a name": "X Odd", "blank after a name": "X-Odd ", "tab in a name": "X\tOdd", "tab after a name": "X-Odd\t", "byte 1 in a name": "X\x01Odd",
		"byte 0 in a name": "X\x00Odd", "byte 127 in a name": "X\x7fOdd", "byte 255 in a name": "X\xffOdd", "no name": "",
	}
	for name, text := range names {
		field := text + ": a\r\n"
		heads = append(heads,
			Head{name, h.withLength(okLine, field)},
			Head{name + ", interim", "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n" + h.Whole()},
			Head{name + ", trailer", h.chunked(okLine, "", field)})
	}
	return append(heads,
		Head{"blank after Content-Length", strings.Replace(h.Whole(), "Length:", "Length :", 1)},
		Head{"blank after Transfer-Encoding", strings.Replace(h.chunked(okLine, "", ""), "Encoding:", "Encoding :", 1)},
	)
}

// AmbiguousFraming returns responses whose heads do not clearly say where they end.
func (h Heads) AmbiguousFraming() (heads []Head) {
	length := len(h.Body)
	fields := map[string]string{
		"two lengths": fmt.Sprintf("Content-Length: %d\r\nContent-Length: %d\r\n", length, length-1), "list of lengths": fmt.Sprintf("Content-Length: %d, %[1]d\r\n", length),
		"length with a sign": fmt.Sprintf("Content-Length: +%d\r\n", length), "negative length": "Content-Length: -6\r\n", "empty length": "Content-Length:\r\n",
		"hexadecimal length": fmt.Sprintf("Content-Length: %#x\r\n", length), "unknown encoding": "Transfer-Encoding: gzip\r\n",
		"encoding behind chunks": "Transfer-Encoding: chunked, gzip\r\n", "chunked twice": "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"line without a colon": "X-Odd\r\n", "byte 0 in a value": "X-Odd: \x00\r\n", "carriage return in a value": "X-Odd: a\rb\r\n",
	}
	for name, text := range fields {
		heads = append(heads, Head{name, okLine + h.Fields + text + "\r\n" + h.Body})
	}
	return append(heads,
		Head{"first line folded", okLine + " folded\r\n" + h.Fields + "\r\n" + h.Body},
		Head{"chunks of HTTP/1.0", h.chunked(oldOKLine, "", "")},
		Head{"chunks of HTTP/1.0, lower case", strings.Replace(h.chunked(oldOKLine, "", ""), "Transfer-Encoding", "transfer-encoding", 1)},
		Head{"chunks of HTTP/1.0 after an interim", "HTTP/1.1 103 Early Hints\r\n\r\n" + h.chunked(oldOKLine, "", "")},
		Head{"HTTP/2.0", h.withLength("HTTP/2.0 200 OK\r\n", "")},
		Head{"HTTP/0.9", h.withLength("HTTP/0.9 200 OK\r\n", "")},
	)
}

// Odd returns responses whose heads are odd and valid.
func (h Heads) Odd() []Head {
	return []Head{
		{"no reason", h.withLength("HTTP/1.1 200\r\n", "")},
		{"empty reason", h.withLength("HTTP/1.1 200 \r\n", "")},
		{"length twice", h.withLength(okLine, fmt.Sprintf("Content-Length: %d\r\n", len(h.Body)))},
		{"folded value", h.withLength(okLine, "X-Odd: a\r\n b\r\n")},
		{"empty value", h.withLength(okLine, "X-Odd:\r\n")},
		{"all signs of a token", h.withLength(okLine, "!#$%&'*+-.^_`|~09azAZ: a\r\n")},
		{"no blank before a value", strings.Replace(h.Whole(), "Length: ", "Length:", 1)},
		{"line feeds alone", strings.ReplaceAll(h.Whole(), "\r\n", "\n")},
		{"lower case", h.withLength(okLine, "x-odd: a\r\n")},
		{"HTTP/1.0", h.withLength(oldOKLine, "")},
		{"HTTP/1.0, ended by its connection", oldOKLine + h.Fields + "\r\n" + h.Body},
		{"HTTP/1.0, an encoding's name in a value", h.withLength(oldOKLine, "X-Odd: Transfer-Encoding: chunked\r\n")},
		{"length beside chunks", h.chunked(okLine, "Content-Length: 99\r\n", "")},
		{"trailer", h.chunked(okLine, "", "X-Odd: a\r\n")},
		{"after an interim", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + h.Whole()},
	}
}

// ServeHeads starts a listener that reads one request of each connection, answers it with the next of the responses, the
// last one again and again, and closes.
func ServeHeads(t testing.TB, heads []Head) (address string) {
	var served atomic.Int64
	return serveOnce(t, func(connection net.Conn) {
		// A caller that has gone ends it.
		_, _ = io.WriteString(connection, heads[min(int(served.Add(1)), len(heads))-1].Text)
	})
}

// RequireNoResponses requires that none of the texts is accepted as a response. read makes a call and returns the body of its response.
func RequireNoResponses(t *testing.T, heads []Head, read func(address string) (body string, err error)) {
	for _, head := range heads {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			body, err := read(ServeHeads(t, []Head{head}))
			require.Error(t, err, "the body is %q", body)
		})
	}
}

// RequireResponses requires that each of the texts is a response with a body.
func RequireResponses(t *testing.T, heads []Head, body string, read func(address string) (body string, err error)) {
	for _, head := range heads {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			received, err := read(ServeHeads(t, []Head{head}))
			require.NoError(t, err)
			require.Equal(t, body, received)
		})
	}
}
