package transporttest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// RequireHeadRefused sends a call whose head is longer than a number of bytes to an address, and requires that it is
// refused for that.
func RequireHeadRefused(t testing.TB, address string, headBytes int) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", http.NoBody)
	require.NoError(t, err)
	request.Header.Set("Filler", strings.Repeat("x", headBytes))
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}

// HeadCut is a response that ends within its head.
type HeadCut struct {
	// Sent is what is sent of the response, and End how the connection ends.
	Sent string
	End  ConnectionEnd
}

// ConnectionEnd is how a peer ends a connection.
type ConnectionEnd string

// The ends of a connection.
const (
	Closed     ConnectionEnd = "closed"
	Reset      ConnectionEnd = "reset"
	HalfClosed ConnectionEnd = "half closed"
	// ReadOn is an end of the peer's side alone: it reads the request to its end before it closes.
	ReadOn ConnectionEnd = "read on"
)

// halfClosedFor is how long a peer keeps its half of a connection open.
const halfClosedFor = 200 * time.Millisecond

// CutHeads returns a response with the head, cut after each of its bytes but the last one, and ended in each way.
func CutHeads(head string) (cuts []HeadCut) {
	for length := range len(head) {
		for _, end := range []ConnectionEnd{Closed, Reset, HalfClosed} {
			cuts = append(cuts, HeadCut{Sent: head[:length], End: end})
		}
	}
	return cuts
}

// ServeCutHeads starts a listener that reads one request of each connection and answers it with the next of the cuts,
// the last one again and again.
func ServeCutHeads(t testing.TB, cuts []HeadCut) (address string) {
	var served atomic.Int64
	return serveOnce(t, func(connection net.Conn) {
		cut := cuts[min(int(served.Add(1)), len(cuts))-1]
		if _, err := io.WriteString(connection, cut.Sent); err != nil {
			return
		}
		endConnection(connection, cut.End)
	})
}

// serveOnce starts a listener that reads one request of each connection, answers it with a function, and closes.
func serveOnce(t testing.TB, answer func(connection net.Conn)) (address string) {
	return ServeConnections(t, func(connection net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			answer(connection)
		}
	})
}

// endConnection ends a connection that ServeConnections closes afterwards.
func endConnection(connection net.Conn, end ConnectionEnd) {
	tcp, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		return
	}
	switch end {
	case Reset:
		// Best effort: a connection that is closed already needs no reset.
		_ = tcp.SetLinger(0)
	case HalfClosed:
		if tcp.CloseWrite() == nil {
			time.Sleep(halfClosedFor)
		}
	}
}
