package transporttest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// MaxEndlessBytes is where bytes without end end after all, for callers that take them in.
const MaxEndlessBytes = 48 << 20

// MaxRead returns how many bytes may be read of a response with a bound: beyond it, what each response may hold
// uncounted, what is read at once, and what heads and read buffers take, each less than 64 KB.
func MaxRead(bound int64) int64 { return bound + 3*64<<10 }

// endlessBlock is how much of them is written at a time.
const endlessBlock = 64 << 10

// ServeEndlessly starts a listener that answers each request with a beginning and then repeats a part until the
// caller closes. It returns the base URL.
func ServeEndlessly(t testing.TB, beginning, part string) (baseURL string) {
	return "http://" + ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			writeEndlessly(connection, beginning, part)
		}
	})
}

func writeEndlessly(to io.Writer, beginning, part string) {
	block := strings.Repeat(part, endlessBlock/len(part))
	written, err := io.WriteString(to, beginning)
	for err == nil && written < MaxEndlessBytes {
		var count int
		count, err = io.WriteString(to, block)
		written += count
	}
}
